import { silentLogger } from "@marigolddrift/common";
import { DiskLog } from "@marigolddrift/gateway";
import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";

import { withDir } from "./withDir.js";

const payloadBytes = 10_000;
const payloads = 40;

/** Appends payloads in a process whose files may not grow beyond some blocks, and prints which of them were acknowledged. */
const writerSource = (dir: string): string => `
    import { silentLogger } from ${JSON.stringify(import.meta.resolve("@marigolddrift/common"))};
    import { DiskLog } from ${JSON.stringify(import.meta.resolve("@marigolddrift/gateway"))};
    const disk = new DiskLog(${JSON.stringify(dir)}, silentLogger);
    await disk.open(0);
    const kept = [];
    for (let index = 0; index < ${payloads}; index++) {
        const payload = Buffer.alloc(${payloadBytes}, String.fromCharCode(65 + index));
        await disk.append(payload).then(() => kept.push(payload[0]), () => {});
    }
    console.log(JSON.stringify(kept));
`;

describe("a disk that becomes full", () => {
    // Guards against a write that the system has cut short, and a turn that counts as kept but cannot be read again.
    it("should keep all that it has acknowledged", () =>
        withDir(async dir => {
            const command = `ulimit -f 64 && exec "${process.execPath}" --input-type=module`;
            const { stdout } = spawnSync("sh", ["-c", command], { input: writerSource(dir), encoding: "utf8" });
            const kept = JSON.parse(stdout) as number[];
            const disk = new DiskLog(dir, silentLogger);
            const readable = new Set<number>();
            await disk.open(0, payload => readable.add(payload[0]!));
            await disk.close();
            expect(kept.length > 0 && kept.length < payloads).toEqual(true);
            expect(kept.filter(first => !readable.has(first))).toEqual([]);
        }));
});
