import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";

import { countResumptions, resume } from "../../bench/soak/streamCallers.js";
import { waitUntil } from "./deployment.js";
import { pause, streams, VersionedFleet } from "./versionedFleet.js";

/** Time in which fronts that respond declare a new version. */
const declaredMs = 2_000;

/** Time limit of the stand-in's streams. */
const timeoutMs = 3_000;

describe("streams that are taken up while a new version comes", () => {
    let fleet: VersionedFleet;
    beforeEach(async () => {
        fleet = await VersionedFleet.start({ v1: 3 });
        await fleet.startFronts();
        // Later than a stream that began before the start of the fronts can be taken up.
        await pause(timeoutMs);
    });
    afterEach(() => fleet.close());

    // Guards against streams of a front that ended before it knew of the new version, of which nobody else had a record (LOST).
    it("should go on if their front has ended just before", async () => {
        const begun = await fleet.begin(-2);
        fleet.deployment.gateways.at(-2)!.close();
        await fleet.addWorkers("v2", 2);
        await pause(declaredMs);
        const fresh = await fleet.begin(-1, streams / 2);
        const began = fresh.filter(({ events }) => events.length > 0).length;
        const counts = await fleet.resumeAll(begun, -1);
        expect([counts.joined, counts.other, began]).toEqual([0, 0, streams / 2]);
        expect(counts.wentOn >= streams / 2).toEqual(true);
    });

    // Guards against a take-up that is known by nobody once its own front has ended, too (LOST).
    it("should go on once more if the front at which they were taken up ends, too", async () => {
        const begun = await fleet.begin(-2);
        fleet.deployment.gateways.at(-2)!.close();
        await fleet.addWorkers("v2", 2);
        await waitUntil(() => fleet.deployment.gateways.at(-1)!.upstreams.size >= 6);
        const parts = await Promise.all(begun.map(part => resume(fleet.front(-1), part, part.events.at(-1), 3)));
        await pause(declaredMs);
        fleet.killFronts();
        await fleet.startFronts();
        await pause(timeoutMs + declaredMs);
        const pairs = begun.map(async (part, index) => {
            const last = parts[index]!.events.at(-1) ?? part.events.at(-1);
            const events = [...part.events, ...parts[index]!.events];
            return [{ ...part, events }, await resume(fleet.front(-1), part, last)] as const;
        });
        const counts = countResumptions(await Promise.all(pairs));
        expect([counts.joined, counts.other]).toEqual([0, 0]);
        expect(counts.wentOn >= streams / 2).toEqual(true);
    });

    // Guards against a release that waits for good for a front that has gone.
    it("should be followed by streams of the new version once they have ended", async () => {
        fleet.deployment.gateways.at(-2)!.close();
        await fleet.addWorkers("v2", 2);
        await pause(declaredMs);
        const early = await fleet.declaredVersions();
        await pause(2 * timeoutMs);
        expect([early, await fleet.declaredVersions()]).toEqual([["v1"], ["v1", "v2"]]);
    });

    // Guards against a release that waits although all fronts respond.
    it("should not keep streams from beginning at the new version if all fronts respond", async () => {
        const begun = await fleet.begin(-2);
        await fleet.addWorkers("v2", 2);
        await pause(declaredMs);
        expect(await fleet.declaredVersions()).toEqual(["v1", "v2"]);
        fleet.deployment.gateways.at(-2)!.close();
        const counts = await fleet.resumeAll(begun, -1);
        expect([counts.joined, counts.other]).toEqual([0, 0]);
        expect(counts.wentOn >= streams / 2).toEqual(true);
    });
});
