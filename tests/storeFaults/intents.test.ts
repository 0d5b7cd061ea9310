import type { Problem } from "@marigolddrift/common";
import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce, inOneZone } from "../../bench/sampleBundle.js";

const layout = inOneZone(barbeDouce, { daemons: 1, engines: 1 });

/** Lifetime of an instance's lease; it is renewed each third of it. */
const leaseMs = 6_000;

/** Pause before a refused call is sent again. */
const retryDelayMs = 200;

describe("calls while the store is unavailable", () => {
    const fleet = new LocalFleet({ layout });
    const client = new Client(layout.callerKey);

    before(() => fleet.start());
    after(async () => {
        await client.close();
        await fleet.stop();
    });

    const placeOrder = (key: string, timeout: string): ReturnType<Client["service"]> =>
        client.service(fleet.url(0), "cart-ops/orders", { "idempotency-key": key, "request-timeout": timeout }, {
            key,
        });
    const setStoreDown = (isDown: boolean): void =>
        fleet.standins.store.server.faults.apply({ fault: "down", on: isDown, ms: 0, count: 0 });
    const executions = (): Map<string, number> => [...fleet.standins.services.values()][0]!.executionsByKey();

    /** Retries while the instance has not renewed its lease, which takes a third of the lease's lifetime at most. */
    const retryOrder = async (key: string): ReturnType<Client["service"]> => {
        const endsAt = performance.now() + leaseMs / 3 + retryDelayMs;
        for (;;) {
            const res = await placeOrder(key, "20");
            if (res.status !== 503 || performance.now() > endsAt) {
                return res;
            }
            expect(res.value as Problem).toHaveSubset({ verdict: "notRun" });
            expect(executions().get(key)).toEqual(undefined);
            await new Promise(resolve => setTimeout(resolve, retryDelayMs));
        }
    };

    for (
        const [title, outageMs] of [["a short outage", 0], [
            "an outage longer than its lease",
            leaseMs + 1_000,
        ]] as const
    ) {
        it(`should report that an order did not run, and run it once when it is retried after ${title}`, async () => {
            const key = `o-${outageMs}`;
            setStoreDown(true);
            const first = await placeOrder(key, "1");
            expect(first.value as Problem).toHaveSubset({ verdict: "notRun" });
            const second = await placeOrder(key, "1");
            expect(second.value as Problem).toHaveSubset({ verdict: "notRun" });
            expect(executions().get(key)).toEqual(undefined);
            await new Promise(resolve => setTimeout(resolve, outageMs));
            setStoreDown(false);
            const third = await retryOrder(key);
            expect(third.status).toEqual(200);
            expect(executions().get(key)).toEqual(1);
        });
    }

    it("should go on with model calls and new programs", async () => {
        setStoreDown(true);
        const { id } = await client.open(fleet.url(0), { agent: "restock-planner" });
        const answer = await client.chat(fleet.url(0), id, [{ role: "user", content: "a [[tokens=3]]" }], { call: 1 });
        setStoreDown(false);
        expect(answer.status).toEqual(200);
    });
});
