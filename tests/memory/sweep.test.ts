import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce, inOneZone } from "../../bench/sampleBundle.js";

const layout = inOneZone(barbeDouce, { daemons: 3, engines: 2 });
const maxPolls = 200;
const pollMs = 100;

describe("engine memory of a program whose owner died", () => {
    const fleet = new LocalFleet({ layout, timing: { leaseSeconds: 2 } });
    const client = new Client(layout.callerKey);

    before(() => fleet.start());
    after(async () => {
        await client.close();
        await fleet.stop();
    });

    const isHeld = (id: string): boolean =>
        [...fleet.standins.engines.values()].some(engine => engine.core.cache.heldKeys().includes(id));

    it("should be released by the sweep once the program's deadline has passed", async () => {
        const { id } = await client.open(fleet.url(0), { agent: "restock-planner", deadline_seconds: 2 });
        await client.chat(fleet.url(0), id, [{ role: "user", content: "a [[tokens=3]]" }], { call: 1 });
        expect(isHeld(id)).toEqual(true);
        const [owner] = fleet.daemons.splice(0, 1);
        await owner!.stop();
        for (let polls = 0; isHeld(id) && polls < maxPolls; polls++) {
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
        expect(isHeld(id)).toEqual(false);
    });

    it("should let another daemon go on with a program whose owner died", async () => {
        const [first] = fleet.daemons;
        const { id } = await client.open(fleet.url(0), { agent: "restock-planner" });
        const history = [{ role: "user" as const, content: "a [[tokens=3]]" }];
        const answer = await client.chat(fleet.url(1), id, history, { call: 1 });
        await first!.stop();
        fleet.daemons.shift();
        const more = [...history, { role: "assistant" as const, content: answer.text }, {
            role: "user" as const,
            content: "b [[tokens=3]]",
        }];
        const next = await client.chat(fleet.url(0), id, more, { call: 2, timeoutSeconds: 20 });
        expect([next.status, next.call]).toEqual([200, 2]);
    });
});

describe("rotation of keys", () => {
    it("should let daemons with old and new keys communicate without a restart", async () => {
        const fleet = new LocalFleet({ layout });
        const client = new Client(layout.callerKey);
        await fleet.start();
        const oldKey = fleet.daemons[0]!.cfg.peer.key;
        const rotate = (key: string, previousKey: string): void =>
            fleet.daemons.forEach(daemon =>
                daemon.reloadKeys({ ...daemon.cfg, peer: { ...daemon.cfg.peer, key, previousKey } })
            );
        const { id } = await client.open(fleet.url(0), { agent: "restock-planner" });
        rotate(oldKey, "a-new-key-of-this-fleet");
        rotate("a-new-key-of-this-fleet", oldKey);
        await fleet.startDaemon(layout.zones[0]!, 4);
        await fleet.waitUntilSettled();
        const answer = await client.chat(fleet.url(3), id, [{ role: "user", content: "a [[tokens=3]]" }], { call: 1 });
        expect(answer.status).toEqual(200);
        await client.close();
        await fleet.stop();
    });
});
