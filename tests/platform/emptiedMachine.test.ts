import { ProblemError, Progress, silentLogger } from "@marigolddrift/common";
import type { PeerClient } from "@marigolddrift/gateway";
import { parseSettings, PlatformStandin, PlatformStore, StoreMachine } from "@marigolddrift/platform";
import { expect } from "earl";
import { describe, it } from "node:test";

import { baseBounds } from "../bounds.js";
import { withDir } from "../gateway/withDir.js";
import { waitUntil } from "./deployment.js";
import { connectToDisk, keepTurn, memberKey } from "./diskClient.js";
import { machineSettings } from "./machineSettings.js";

const slowReadMs = 1_000;

/** Number of the copy that the machine keeps. */
const copy = 1;

/** A store whose reads of the requests to empty machines are slow, as when an answer is lost. */
class SlowRequestsStore extends PlatformStore {
    override async range(...args: Parameters<PlatformStore["range"]>): ReturnType<PlatformStore["range"]> {
        if (args[0].startsWith("op/retire/")) {
            await new Promise(resolve => setTimeout(resolve, slowReadMs));
        }
        return await super.range(...args);
    }
}

/** A store that never answers reads of the requests to empty machines, as if it rejected the calls of this machine. */
class SilentRequestsStore extends PlatformStore {
    override range(...args: Parameters<PlatformStore["range"]>): ReturnType<PlatformStore["range"]> {
        return args[0].startsWith("op/retire/") ? new Promise(() => {}) : super.range(...args);
    }
}

const isDeadlineError = (err: unknown): boolean => err instanceof ProblemError && err.code === "deadline_exceeded";

const settingsOf = (dataDir: string, store: string) =>
    parseSettings(machineSettings({
        node: "disk-1",
        ip: "127.0.0.1",
        innerPorts: [0, 0],
        fields: ["firstStart = true", `dataDir = ${JSON.stringify(dataDir)}`],
        store,
    }));

describe("machine that is to be emptied", () => {
    // Guards against turns lost with a machine that had reported to be empty, and took turns again after a restart.
    for (const isRequested of [true, false]) {
        // A machine that is to take turns soon may answer one late, as when its disk is slow. One that may never take any has to answer all.
        const keep = (client: PeerClient, id: string): Promise<unknown> =>
            keepTurn(client, id, copy).catch((err: unknown) => {
                if (isRequested || !isDeadlineError(err)) {
                    throw err;
                }
            });

        it(`should ${isRequested ? "never" : "soon"} take turns after a restart if that is ${isRequested ? "" : "not "}requested`, () =>
            withDir(async dir => {
                const platform = new PlatformStandin();
                await platform.start();
                const store = new SlowRequestsStore(platform.address);
                if (isRequested) {
                    platform.put("op/retire/disk-1", { durationS: 5 });
                }
                const settings = { current: settingsOf(dir, platform.address) };
                const machine = new StoreMachine({ settings, instance: "disk-1-1", store, log: silentLogger });
                const started = machine.start();
                await waitUntil(() => platform.state.get(memberKey) !== undefined);
                const client = connectToDisk(platform);
                // Ends what would keep the test file running also after a failure.
                try {
                    const answers: unknown[] = [];
                    const endsAt = performance.now() + baseBounds.contactMs;
                    for (let turn = 0; performance.now() < endsAt; turn++) {
                        answers.push(await keep(client, `t${turn}`));
                        await new Promise(resolve => setTimeout(resolve, 50));
                    }
                    expect([answers.includes(true), answers.includes("uncounted")]).toEqual([!isRequested, false]);
                    expect(platform.state.get("status/retire/disk-1") !== undefined).toEqual(isRequested);
                    await started;
                }
                finally {
                    client.close();
                    await machine.stop();
                    await store.close();
                    platform.close();
                }
            }));
    }

    // Guards against turns that are not found while a machine that has restarted can't learn whether it is to be emptied.
    it("should find the turns on its disk after a restart before it knows whether that is requested", () =>
        withDir(async dir => {
            const platform = new PlatformStandin();
            await platform.start();
            const settings = { current: settingsOf(dir, platform.address) };
            const run = async (store: PlatformStore, use: (client: PeerClient) => Promise<void>): Promise<void> => {
                platform.remove(memberKey);
                const machine = new StoreMachine({ settings, instance: "disk-1-1", store, log: silentLogger });
                void machine.start();
                await waitUntil(() => platform.state.get(memberKey) !== undefined);
                const client = connectToDisk(platform);
                await use(client);
                client.close();
                await machine.stop();
                await store.close();
            };
            await run(new PlatformStore(platform.address), async client => {
                while (await keepTurn(client, "t1", copy) !== true) {
                    await new Promise(resolve => setTimeout(resolve, 50));
                }
            });
            await run(new SilentRequestsStore(platform.address), async client => {
                const endsAt = performance.now() + baseBounds.contactMs;
                let found: { record?: unknown; } | undefined;
                while (found?.record === undefined && performance.now() < endsAt) {
                    const progress = new Progress(1_000);
                    found = await client.ask({ kind: "findTurn", id: "t1" }, progress);
                    progress.dispose();
                    await new Promise(resolve => setTimeout(resolve, 50));
                }
                expect(found?.record).not.toEqual(undefined);
                expect(await keepTurn(client, "t2", copy)).toEqual(false);
            });
            platform.close();
        }));
});
