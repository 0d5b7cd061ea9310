import { silentLogger } from "@marigolddrift/common";
import { DiskLog } from "@marigolddrift/gateway";
import { expect } from "earl";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, it } from "node:test";

import { withDir } from "./withDir.js";

/** Opens the log in a directory as a process that starts does, and returns the texts of its payloads. */
const readTexts = async (dir: string): Promise<string[]> => {
    const texts: string[] = [];
    await new DiskLog(dir, silentLogger).open(0, payload => texts.push(payload.toString()));
    return texts;
};

describe("disk log", () => {
    it("should read payloads that several processes have appended", () =>
        withDir(async dir => {
            const first = new DiskLog(dir, silentLogger);
            expect((await first.open(60_000)).incompleteMs).toEqual(60_000);
            await Promise.all(["a", "b"].map(payload => first.append(Buffer.from(payload))));
            await first.close();
            const second = new DiskLog(dir, silentLogger);
            await second.open(60_000);
            await second.append(Buffer.from("c"));
            await second.close();
            expect(await readTexts(dir)).toEqual(["a", "b", "c"]);
        }));

    // Guards against a machine that said after a restart that turns which its lost disk had held did not exist.
    it("should count a new disk as incomplete for the whole time, also after restarts", () =>
        withDir(async dir => {
            const open = async () => (await new DiskLog(dir, silentLogger).open(60_000)).incompleteMs;
            expect(await open()).toEqual(60_000);
            const afterRestart = await open();
            expect(afterRestart > 50_000 && afterRestart <= 60_000).toEqual(true);
            await writeFile(join(dir, "disk-state"), "complete-at 1");
            expect(await open()).toEqual(60_000);
            await writeFile(join(dir, "disk-state"), `complete-at ${Date.now() + 600_000}\n`);
            expect(await open()).toEqual(60_000);
            await writeFile(join(dir, "disk-state"), `complete-at ${Date.now() - 1}\n`);
            expect(await open()).toEqual(0);
        }));

    it("should count a disk of an earlier version, and all disks at the first start, as complete", () =>
        withDir(async dir => {
            await writeFile(join(dir, "identity"), "");
            expect((await new DiskLog(dir, silentLogger).open(60_000)).incompleteMs).toEqual(0);
            expect((await new DiskLog(join(dir, "first"), silentLogger).open(0)).incompleteMs).toEqual(0);
            expect((await new DiskLog(join(dir, "first"), silentLogger).open(60_000)).incompleteMs).toEqual(0);
        }));

    it("should leave out a truncated or corrupted end of the log", () =>
        withDir(async dir => {
            const log = new DiskLog(dir, silentLogger);
            await log.open(0);
            await log.append(Buffer.from("whole"));
            await log.append(Buffer.from("torn later"));
            await log.close();
            const path = join(dir, (await readdir(dir)).find(name => name.endsWith(".log"))!);
            const bytes = await readFile(path);
            const lastFrame = bytes.subarray(0, -("torn later".length + 8));
            const tornEnds = [
                bytes.subarray(0, -3),
                Buffer.concat([bytes.subarray(0, -3), Buffer.alloc(3)]),
                // Guards against machines that did not start after a torn write that began with zeros.
                Buffer.concat([lastFrame, Buffer.alloc(18)]),
                Buffer.concat([lastFrame, Buffer.alloc(512)]),
            ];
            for (const torn of tornEnds) {
                await writeFile(path, torn);
                expect(await readTexts(dir)).toEqual(["whole"]);
            }
        }));
});
