import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce, inOneZone } from "../../bench/sampleBundle.js";

const layout = inOneZone(barbeDouce, { daemons: 2, engines: 2 });
const leavingDelayMs = 3_000;

describe("an engine that leaves", () => {
    const fleet = new LocalFleet({ layout });
    const client = new Client(layout.callerKey);

    before(() => fleet.start());
    after(async () => {
        await client.close();
        await fleet.stop();
    });

    it("should get no new calls from any daemon after three seconds", async () => {
        const [leaving] = [...fleet.standins.engines.values()];
        const call = async (index: number): Promise<number> => {
            const { id } = await client.open(fleet.url(index), { agent: "restock-planner" });
            return (await client.chat(fleet.url(index), id, [{ role: "user", content: `a ${index} [[tokens=3]]` }], {
                call: 1,
            })).status;
        };
        await Promise.all(Array.from({ length: 8 }, (_, index) => call(index)));
        leaving!.server.faults.apply({ fault: "leave", on: true, ms: 0, count: 0 });
        await new Promise(resolve => setTimeout(resolve, leavingDelayMs));
        const before = leaving!.core.counters.calls;
        const statuses = await Promise.all(Array.from({ length: 20 }, (_, index) => call(index)));
        expect(leaving!.core.counters.calls - before).toEqual(0);
        expect(statuses).toEqual(statuses.map(() => 200));
    });
});
