import { delay, silentLogger } from "@marigolddrift/common";
import { DiskLog } from "@marigolddrift/gateway";
import { WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { Packr } from "msgpackr";
import { mkdirSync, writeFileSync } from "node:fs";
import { Agent, get } from "node:http";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";

import { ports, Surroundings, until } from "./programProcess.js";

describe("processes that start", () => {
    let around: Surroundings;
    beforeEach(async () => around = await Surroundings.start());
    afterEach(() => around.close());

    // Guards against a front that keeps the only inner port which a machine with a disk at the same address uses.
    it("should open the disk of a machine beside a front that has started first at its address", async () => {
        const ip = around.newAddress();
        const front = around.startProcess({ role: "front", ip });
        expect(await front.becomesReady()).toEqual(true);
        const machine = around.startProcess({ role: "store", ip });
        const isOpen = await machine.logs("journal is open", 8_000);
        expect(isOpen).toEqual(true);
    });

    // Guards against a stop that a disk which can't be opened holds up.
    it("should end when it is told to while it waits for its disk", async () => {
        const parent = join(around.dir, "in-the-way");
        writeFileSync(parent, "a file");
        const machine = around.startProcess({ role: "store", ip: around.newAddress(), dataDir: join(parent, "data") });
        expect(await machine.logs("disk not opened")).toEqual(true);
        machine.signal("SIGTERM");
        await until(() => machine.exit !== undefined, 8_000);
        expect(machine.exit).toEqual("0");
    });

    // Guards against a stop that is reported as a failed start.
    it("should end in order when it is told to while it waits for its settings", async () => {
        const front = around.startProcess({ role: "front", ip: around.newAddress() }, "");
        expect(await front.logs("waiting for settings")).toEqual(true);
        await delay(200);
        front.signal("SIGTERM");
        await until(() => front.exit !== undefined, 8_000);
        expect([front.exit, front.lines("start failed").length]).toEqual(["0", 0]);
    });

    // Guards against an entry of the log by another version of the program, which ends the machine at each start.
    it("should open its disk if the log has an entry that it does not know", async () => {
        const dataDir = join(around.dir, "known.disk");
        mkdirSync(join(dataDir, "journal"), { recursive: true });
        const disk = new DiskLog(join(dataDir, "journal"), silentLogger);
        await disk.open(0);
        await disk.append(new Packr({ useRecords: false }).pack({ later: ["a"] }));
        await disk.close();
        const machine = around.startProcess({ role: "store", ip: around.newAddress(), dataDir });
        const isOpen = await machine.logs("journal is open", 6_000);
        expect(isOpen).toEqual(true);
    });

    // Guards against a list of all ports of a range that no memory holds: the process is ended before it can say why.
    it("should say why it does not start if its inner ports are none", async () => {
        const settings = { role: "front", ip: around.newAddress() } as const;
        const text = around.settingsText(settings).replace(/innerPorts = .*/, "innerPorts = [1, 4000000000]");
        const front = around.startProcess(settings, text);
        // The last lines may be read only after the end of the process has been seen.
        expect(await until(() => front.lines("start failed").length > 0, 12_000)).toEqual(true);
    });

    // Guards against records of streams that are bounded by their number, not by the size of the ids that callers choose.
    it("should outlive callers of resumable streams with long ids", async () => {
        const worker = new WorkerStandin("i-brain", "brain", true);
        await worker.start();
        worker.events = 1;
        const route = { host: "carts.example", timeoutMs: 4_000, latencyGoalMs: 300, priority: 0, maxAttempts: 1 };
        around.store.put("op/config", {
            version: 2,
            routes: [
                { ...route, service: "ops", name: "look", prefix: "/look/", kind: "safe" },
                { ...route, service: "brain", name: "talk", prefix: "/talk/", kind: "stream", resumable: true },
            ],
            services: [{ name: "ops", maxConns: 96 }, { name: "brain", maxConns: 400 }],
            limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        });
        around.store.put("servers/i-brain", { ...worker.entry(), slots: 64 });
        const ip = around.newAddress();
        const front = around.startProcess({ role: "front", ip });
        expect(await front.becomesReady()).toEqual(true);
        await delay(1_000);
        const agent = new Agent({ keepAlive: true, maxSockets: 20 });
        const statuses = new Map<number | string, number>();
        let next = 0;
        const caller = async (): Promise<void> => {
            while (next < 14_000 && front.exit === undefined) {
                const id = `${next++}-`.padEnd(12_000, "a");
                const headers = { "Host": "carts.example", "Request-Id": id, "Deadline-Ms": "3500" };
                const status = await new Promise<number | string>(resolve => {
                    const req = get({ host: ip, port: ports.front, path: "/talk/1", headers, agent }, res => {
                        res.resume();
                        res.on("end", () => resolve(res.statusCode!));
                        res.on("error", err => resolve(err.message));
                    });
                    req.on("error", err => resolve(err.message));
                });
                worker.ran.length = 0;
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            }
        };
        await Promise.all(Array.from({ length: 20 }, () => caller()));
        agent.destroy();
        worker.close();
        expect(front.exit).toEqual(undefined);
    });
});
