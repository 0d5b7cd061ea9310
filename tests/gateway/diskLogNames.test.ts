import { silentLogger } from "@marigolddrift/common";
import { DiskLog } from "@marigolddrift/gateway";
import { expect } from "earl";
import fsPromises from "node:fs/promises";
import { syncBuiltinESMExports } from "node:module";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { withDir } from "./withDir.js";

/** A file system on which a power loss keeps a new name only if its directory has been synced since. */
class ForgetfulNames {
    private readonly originalOpen = fsPromises.open;
    private readonly durableNames = new Map<string, ReadonlySet<string>>();

    install(): void {
        fsPromises.open = async (...args) => {
            const handle = await this.originalOpen(...args);
            const sync = handle.sync.bind(handle);
            handle.sync = async () => {
                await sync();
                if ((await handle.stat()).isDirectory()) {
                    const dir = String(args[0]);
                    this.durableNames.set(dir, new Set(await fsPromises.readdir(dir)));
                }
            };
            return handle;
        };
        syncBuiltinESMExports();
    }

    uninstall(): void {
        fsPromises.open = this.originalOpen;
        syncBuiltinESMExports();
    }

    /** Removes what a power loss may remove. */
    async losePower(dir: string): Promise<void> {
        const durable = this.durableNames.get(dir) ?? new Set();
        for (const entry of await fsPromises.readdir(dir, { withFileTypes: true })) {
            const path = join(dir, entry.name);
            if (!durable.has(entry.name)) {
                await fsPromises.rm(path, { recursive: true });
            }
            else if (entry.isDirectory()) {
                await this.losePower(path);
            }
        }
    }
}

describe("disk log after a power loss", () => {
    const names = new ForgetfulNames();
    before(() => names.install());
    after(() => names.uninstall());

    // Guards against turns lost with a file whose name was not on the disk yet when the power was lost.
    it("should have what was appended, and the age of the disk, where names last only with their directory", () =>
        withDir(async base => {
            const dir = join(base, "machine", "journal");
            const log = new DiskLog(dir, silentLogger);
            await log.open(0);
            await log.append(Buffer.from("kept"));
            await log.close();
            await names.losePower(base);
            const texts: string[] = [];
            const { incompleteMs } = await new DiskLog(dir, silentLogger).open(
                60_000,
                payload => texts.push(payload.toString()),
            );
            expect([texts, incompleteMs]).toEqual([["kept"], 0]);
        }));
});
