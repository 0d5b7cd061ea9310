import { delay, Progress } from "@marigolddrift/common";
import type { PeerClient } from "@marigolddrift/gateway";
import { PlatformStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { waitUntil } from "../platform/deployment.js";
import { connectToDisk, memberKey } from "../platform/diskClient.js";
import { machineSettings } from "../platform/machineSettings.js";
import { ChildProgram } from "../processes/childProgram.js";
import { buildBundle, bundledProgram, memoryOf } from "./hostileFront.js";

const memoryMb = 220;

/** Size of the parts in which fronts save large turns. */
const recordBytes = 250 * 1024;

const fronts = 6;

/** Records that a front has on their way at the same time: parts of different turns. */
const recordsPerFront = 4;

/** Size of what a stream has passed on. */
const eventBytes = 100 * 1024;

/** Pause after a record that the machine has not taken. */
const refusedPauseMs = 20;

const outageMs = 4_500;
const timeoutMs = 5_000;
const startTimeoutMs = 15_000;

// Guards against machines with disks that go over their memory, and lose what they were about to say, when large turns come fast.
describe("a machine with a disk", () => {
    const dir = mkdtempSync(join(tmpdir(), "disk-"));
    const store = new PlatformStandin();
    const kept: string[] = [];
    let machine: ChildProgram;
    let clients: PeerClient[] = [];
    before(async () => {
        buildBundle();
        await store.start();
        const file = join(dir, "disk.toml");
        writeFileSync(
            file,
            machineSettings({
                node: "disk-1",
                ip: `127.${20 + process.pid % 200}.13.1`,
                store: store.address,
                fields: ["firstStart = true", `dataDir = "${join(dir, "data")}"`],
                limits: [`memoryMb = ${memoryMb}`, "fds = 1024"],
            }),
        );
        machine = new ChildProgram(["--max-old-space-size=96", bundledProgram, "store"], file);
        await waitUntil(() => machine.logLines("journal is open").length > 0, startTimeoutMs);
        await waitUntil(() => store.state.get(memberKey) !== undefined, startTimeoutMs);
        clients = Array.from({ length: fronts }, () => connectToDisk(store));
    });
    after(async () => {
        clients.forEach(client => client.close());
        await machine.kill();
        store.close();
        rmSync(dir, { recursive: true, force: true });
    });

    const ask = async <T>(question: (progress: Progress) => Promise<T>): Promise<T | undefined> => {
        const progress = new Progress(timeoutMs);
        try {
            return await question(progress);
        }
        catch {
            return undefined;
        }
        finally {
            progress.dispose();
        }
    };

    /** Sends records one after the other until stopped, with what a stream has passed on, and reads one of them again. */
    const press = async (client: PeerClient, name: string, isStopped: () => boolean): Promise<void> => {
        for (let index = 0; !isStopped(); index++) {
            const id = `${name}-${index}`;
            const turn = { id, record: randomBytes(recordBytes), keepMs: 60_000, copy: 0, holders: [] };
            const isKept = await ask(progress => client.ask({ kind: "keepTurn", turn }, progress)) === true;
            if (isKept) {
                kept.push(id);
            }
            const events = [{ id: "0", data: "x".repeat(eventBytes) }];
            const update = { calls: [id], inherited: 0, from: 0, events, keepMs: 60_000 };
            await ask(progress => client.ask({ kind: "recordBeginning", update }, progress));
            const known = kept[Math.floor(kept.length * 0.9)];
            if (known !== undefined) {
                await ask(progress => client.ask({ kind: "findTurn", id: known }, progress));
            }
            await delay(isKept ? 0 : refusedPauseMs);
        }
    };

    it("should stay within its memory while large turns come fast and the store is away, and keep what it has taken", async t => {
        let isStopped = false;
        const pressing = clients.flatMap((client, front) =>
            Array.from(
                { length: recordsPerFront },
                (_, index) => press(client, `t-${front}-${index}`, () => isStopped),
            )
        );
        await delay(4_000);
        store.fault = "down";
        await delay(outageMs);
        store.fault = "none";
        await delay(4_000);
        isStopped = true;
        await Promise.all(pressing);
        const { residentMb, peakMb } = memoryOf(machine.pid);
        t.diagnostic(JSON.stringify({ residentMb, peakMb, kept: kept.length }));
        expect([machine.exit, kept.length > 100]).toEqual([undefined, true]);
        expect(Math.max(residentMb, peakMb)).toSatisfy(mb => mb < memoryMb);
        const newest = kept.slice(-20);
        const found = await Promise.all(
            newest.map(id => ask(progress => clients[0]!.ask({ kind: "findTurn", id }, progress))),
        );
        const stored = (id: string): boolean =>
            [...store.state.range("marigolddrift/turns/", "marigolddrift/turns/\uffff")].some(({ key }) =>
                key.includes(id)
            );
        expect(newest.filter((id, index) => found[index]?.record === undefined && !stored(id))).toEqual([]);
    });
});
