import type { Problem } from "@marigolddrift/common";
import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce } from "../../bench/sampleBundle.js";

const layout = {
    ...barbeDouce,
    zones: [{ zone: "tunis-a", region: "tunis-north", daemons: 1, engines: 1, services: 1 }],
};

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

    it("should report that an order did not run, and run it once when it is retried after the outage", async () => {
        setStoreDown(true);
        const first = await placeOrder("o-1", "1");
        expect(first.value as Problem).toHaveSubset({ verdict: "notRun" });
        const second = await placeOrder("o-1", "1");
        expect(second.value as Problem).toHaveSubset({ verdict: "notRun" });
        expect(executions().get("o-1")).toEqual(undefined);
        setStoreDown(false);
        const third = await placeOrder("o-1", "20");
        expect(third.status).toEqual(200);
        expect(executions().get("o-1")).toEqual(1);
    });

    it("should go on with model calls and new programs", async () => {
        setStoreDown(true);
        const { id } = await client.open(fleet.url(0), { agent: "restock-planner" });
        const answer = await client.chat(fleet.url(0), id, [{ role: "user", content: "a [[tokens=3]]" }], { call: 1 });
        setStoreDown(false);
        expect(answer.status).toEqual(200);
    });
});
