import { silentLogger } from "@marigolddrift/common";
import { DiskLog } from "@marigolddrift/gateway";
import { expect } from "earl";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { describe, it } from "node:test";

import { withDir } from "./withDir.js";

const payloadTexts = (payloads: readonly { payload: Buffer; }[]): string[] =>
    payloads.map(({ payload }) => payload.toString());

describe("disk log", () => {
    it("should read payloads that several processes have appended", () =>
        withDir(async dir => {
            const first = new DiskLog(dir, silentLogger);
            expect((await first.open()).isNew).toEqual(true);
            await Promise.all(["a", "b"].map(payload => first.append(Buffer.from(payload))));
            await first.close();
            const second = new DiskLog(dir, silentLogger);
            expect((await second.open()).isNew).toEqual(false);
            await second.append(Buffer.from("c"));
            await second.close();
            expect(payloadTexts((await new DiskLog(dir, silentLogger).open()).payloads)).toEqual(["a", "b", "c"]);
        }));

    it("should leave out a truncated or corrupted end of the log", () =>
        withDir(async dir => {
            const log = new DiskLog(dir, silentLogger);
            await log.open();
            await log.append(Buffer.from("whole"));
            await log.append(Buffer.from("torn later"));
            await log.close();
            const path = join(dir, (await readdir(dir)).find(name => name.endsWith(".log"))!);
            const bytes = await readFile(path);
            for (const torn of [bytes.subarray(0, -3), Buffer.concat([bytes.subarray(0, -3), Buffer.alloc(3)])]) {
                await writeFile(path, torn);
                expect(payloadTexts((await new DiskLog(dir, silentLogger).open()).payloads)).toEqual(["whole"]);
            }
        }));
});
