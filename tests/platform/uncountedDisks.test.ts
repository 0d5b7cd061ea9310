import { silentLogger } from "@marigolddrift/common";
import { JournalServer } from "@marigolddrift/gateway";
import type { PeerClient } from "@marigolddrift/gateway";
import { PlatformStandin, PlatformStore, SettingsFile } from "@marigolddrift/platform";
import { expect } from "earl";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, it } from "node:test";

import { baseBounds } from "../bounds.js";
import { withDir } from "../gateway/withDir.js";
import { waitUntil } from "./deployment.js";
import { connectToDisk, keepTurn } from "./diskClient.js";
import { machineSettings } from "./machineSettings.js";

const host = "127.0.0.1";
const catchUpMs = baseBounds.catchupS * 1_000;

interface DiskOptions {
    readonly firstStart: boolean;
    readonly isCounted: () => boolean;
}

/** A machine with a disk, the store, and a connection of a front. */
class DiskMachine {
    private readonly keeper: JournalServer;
    private readonly store: PlatformStore;
    private client: PeerClient | undefined;

    private constructor(dir: string, options: DiskOptions, address: string) {
        this.store = new PlatformStore(address);
        this.keeper = new JournalServer({
            peerAddress: { instance: "disk-1-1", host, zone: "z", region: "r" },
            machine: "disk-1",
            peerPort: 0,
            dir,
            catchUpMs,
            mayTakeTurns: Promise.resolve(),
            store: this.store,
            log: silentLogger,
            ...options,
        });
    }

    static async run(
        dir: string,
        options: DiskOptions,
        test: (machine: DiskMachine, platform: PlatformStandin) => Promise<void>,
    ): Promise<void> {
        const platform = new PlatformStandin();
        await platform.start();
        const machine = new DiskMachine(dir, options, platform.address);
        try {
            await machine.connect(platform);
            await test(machine, platform);
        }
        finally {
            await machine.close();
            platform.close();
        }
    }

    /** Sends a copy of a turn and returns what the machine says about it. */
    keep(id: string): Promise<unknown> {
        return keepTurn(this.client!, id, 0);
    }

    private async connect(platform: PlatformStandin): Promise<void> {
        await this.keeper.start();
        this.client = connectToDisk(platform);
    }

    private async close(): Promise<void> {
        this.client?.close();
        await this.keeper.close();
        await this.store.close();
    }
}

const settingsText = (inTolerance: boolean): string =>
    machineSettings({ node: "store-north-a-1", fields: [`inTolerance = ${inTolerance}`] });

describe("disks that may be lost besides the tolerated ones", () => {
    // Guards against turns lost with a new machine, which may be lost besides the tolerated number until it has caught up.
    it("should not count until a new machine has caught up", () =>
        withDir(dir =>
            DiskMachine.run(dir, { firstStart: false, isCounted: () => true }, async machine => {
                expect(await machine.keep("t1")).toEqual("uncounted");
                await new Promise(resolve => setTimeout(resolve, catchUpMs));
                expect(await machine.keep("t2")).toEqual(true);
            })
        ));

    it("should count at once on the first start, and after a restart with the same disk", () =>
        withDir(async dir => {
            const isCounted = () => true;
            await DiskMachine.run(dir, { firstStart: true, isCounted }, async machine => {
                expect(await machine.keep("t1")).toEqual(true);
            });
            await DiskMachine.run(dir, { firstStart: false, isCounted }, async machine => {
                expect(await machine.keep("t2")).toEqual(true);
            });
        }));

    it("should not count as long as the store is unavailable while the machine catches up", () =>
        withDir(dir => {
            const options = { firstStart: false, isCounted: () => true };
            return DiskMachine.run(dir, options, async (machine, platform) => {
                platform.fault = "down";
                const answers = new Set<unknown>();
                const endsAt = performance.now() + 2 * catchUpMs;
                for (let turn = 0; performance.now() < endsAt; turn++) {
                    answers.add(await machine.keep(`t${turn}`));
                    await new Promise(resolve => setTimeout(resolve, 200));
                }
                expect([...answers]).toEqual(["uncounted"]);
                platform.fault = "none";
                await new Promise(resolve => setTimeout(resolve, 2 * catchUpMs));
                expect(await machine.keep("after")).toEqual(true);
            });
        }));

    it("should count or not as the settings say now, also when they change without a signal", () =>
        withDir(async dir => {
            await mkdir(join(dir, "journal"));
            const file = join(dir, "settings.toml");
            await writeFile(file, settingsText(false));
            const settings = new SettingsFile(file);
            settings.watch(silentLogger);
            const options = { firstStart: true, isCounted: () => settings.current.inTolerance };
            await DiskMachine.run(join(dir, "journal"), options, async machine => {
                expect(await machine.keep("t1")).toEqual("uncounted");
                await writeFile(file, settingsText(true));
                await waitUntil(() => settings.current.inTolerance);
                expect(await machine.keep("t2")).toEqual(true);
                await writeFile(file, "not = [valid");
                settings.reload(silentLogger);
                expect(await machine.keep("t3")).toEqual(true);
            });
            settings.unwatch();
        }));
});
