import { silentLogger } from "@marigolddrift/common";
import { UncountedServers } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("servers whose copies do not count", () => {
    // Guards against disks that count again and are not asked, since each turn used up the probe of the one that was due.
    it("should all be tried again by one turn in a burst, although they are due at different times", async () => {
        const uncounted = new UncountedServers(silentLogger);
        const servers = ["a:1", "b:1", "c:1"].map(name => ({ name }));
        for (const { name } of servers) {
            uncounted.onAnswer(name, false);
            await sleep(200);
        }
        const endsAt = performance.now() + 2_000;
        let selected: unknown[] = [];
        while (selected.length < servers.length && performance.now() < endsAt) {
            selected = uncounted.select(servers, servers.length);
            await sleep(1);
        }
        expect(selected.length).toEqual(servers.length);
    });
});
