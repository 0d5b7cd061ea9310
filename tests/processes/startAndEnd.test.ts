import { delay } from "@marigolddrift/common";
import { expect } from "earl";
import { Packr } from "msgpackr";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { WebSocketServer } from "ws";

import { ports, Surroundings, until } from "./programProcess.js";

/** Time for which a port is taken, or settings are not whole. */
const awayMs = 1_000;

describe("processes that start", () => {
    let around: Surroundings;
    beforeEach(async () => around = await Surroundings.start());
    afterEach(() => around.close());

    for (const name of ["front", "ready", "metrics", "inner"] as const) {
        // Guards against a process that ends for good because a port is not free when it starts.
        it(`should serve callers if its ${name} port is taken at first`, async () => {
            const ip = around.newAddress();
            const giveBack = await around.takePort(ip, name === "inner" ? ports.lastInner : ports[name]);
            const front = around.startProcess({ role: "front", ip });
            await delay(awayMs);
            giveBack();
            expect(await front.becomesReady()).toEqual(true);
            expect(await front.call()).toEqual(200);
        });
    }

    // As above, on a machine with a disk.
    it("should join the others on a machine with a disk if its inner port is taken at first", async () => {
        const ip = around.newAddress();
        const giveBack = await around.takePort(ip, ports.inner);
        const machine = around.startProcess({ role: "store", ip });
        await delay(awayMs);
        giveBack();
        expect(await machine.logs("journal is open")).toEqual(true);
    });

    // Guards against an endpoint that only observes, and ends what serves.
    it("should serve callers while others have its metrics port", async () => {
        const ip = around.newAddress();
        const giveBack = await around.takePort(ip, ports.metrics);
        const front = around.startProcess({ role: "front", ip });
        expect(await front.becomesReady()).toEqual(true);
        expect(await front.call()).toEqual(200);
        giveBack();
    });

    // Guards against a port that is the same for all processes of an address.
    it("should serve callers at one address, each process at ports of its own", async () => {
        const ip = around.newAddress();
        const fronts = [0, 100].map(portOffset => around.startProcess({ role: "front", ip, portOffset }));
        expect(await Promise.all(fronts.map(front => front.becomesReady()))).toEqual([true, true]);
        expect(await Promise.all(fronts.map(front => front.call()))).toEqual([200, 200]);
    });

    // Guards against a process that uses one of its inner ports only, which another process of the machine has for good.
    it("should use another of its inner ports if the one that it tries first stays taken", async () => {
        const ip = around.newAddress();
        const giveBack = await around.takePort(ip, ports.lastInner);
        const front = around.startProcess({ role: "front", ip });
        expect(await front.becomesReady()).toEqual(true);
        giveBack();
    });

    // Guards against a front that takes the only port that the machine with a disk at its address can use.
    it("should join the others on a machine with a disk beside a front that has started first", async () => {
        const ip = around.newAddress();
        const front = around.startProcess({ role: "front", ip });
        expect(await front.becomesReady()).toEqual(true);
        const machine = around.startProcess({ role: "store", ip });
        expect(await machine.logs("journal is open")).toEqual(true);
    });

    // Guards against a successor that ends because its predecessor still answers its last calls.
    it("should take over from a process that still answers its last calls", async () => {
        const ip = around.newAddress();
        const first = around.startProcess({ role: "front", ip });
        await first.becomesReady();
        around.worker.delayMs = 700;
        const calls = Array.from({ length: 4 }, () => first.call());
        await delay(50);
        first.signal("SIGTERM");
        await delay(300);
        const next = around.startProcess({ role: "front", ip, firstStart: false });
        expect(await Promise.all(calls)).toEqual([200, 200, 200, 200]);
        expect(await until(() => first.exit !== undefined)).toEqual(true);
        expect(await next.becomesReady()).toEqual(true);
        expect(await next.call()).toEqual(200);
        expect([first.exit, next.exit]).toEqual(["0", undefined]);
    });

    // Guards against two processes of one machine that write into the same disk log.
    it("should not open the disk before the process before it has ended", async () => {
        const settings = { role: "store" as const, ip: around.newAddress() };
        const first = around.startProcess(settings);
        await first.logs("journal is open");
        const next = around.startProcess({ ...settings, firstStart: false });
        await delay(2 * awayMs);
        expect(next.lines("journal is open").length).toEqual(0);
        first.signal("SIGTERM");
        expect(await next.logs("journal is open")).toEqual(true);
        expect([first.exit, next.exit]).toEqual(["0", undefined]);
    });

    // Guards against settings that are read while they are written.
    for (const [what, share] of [["empty", 0], ["half written", 0.5]] as const) {
        it(`should serve callers if its settings are ${what} at first`, async () => {
            const settings = { role: "front" as const, ip: around.newAddress() };
            const text = around.settingsText(settings);
            const front = around.startProcess(settings, text.slice(0, text.length * share));
            await delay(awayMs);
            writeFileSync(front.settingsFile, text);
            expect(await front.becomesReady()).toEqual(true);
        });
    }

    // Guards against a machine that is refused for a table of the settings which it does not need.
    it("should join the others on a machine with a disk without addresses for callers", async () => {
        const settings = { role: "store" as const, ip: around.newAddress() };
        const machine = around.startProcess(settings, around.settingsText(settings).replace("[listen]\n", ""));
        expect(await machine.logs("journal is open")).toEqual(true);
    });

    // Guards against a machine that ends because its disk is not there yet.
    it("should open its disk once its folder can be made", async () => {
        const parent = join(around.dir, "late");
        writeFileSync(parent, "in the way");
        const machine = around.startProcess({
            role: "store",
            ip: around.newAddress(),
            dataDir: join(parent, "data"),
        });
        await delay(2 * awayMs);
        rmSync(parent);
        mkdirSync(parent);
        expect(await machine.logs("journal is open")).toEqual(true);
    });

    // Guards against an end whose reason only the standard error has.
    it("should say in its log why it could not start", async () => {
        const front = around.startProcess({ role: "front", ip: around.newAddress() }, "node = \"front-1\"\n");
        expect(await until(() => front.exit !== undefined)).toEqual(true);
        expect(front.exit).toEqual("2");
        expect(front.lines("start failed").length).toEqual(1);
    });

    // Guards against a stop signal that is not heeded while a process waits.
    it("should end when it is told to while it waits for a port", async () => {
        const ip = around.newAddress();
        const giveBack = await around.takePort(ip, ports.front);
        const front = around.startProcess({ role: "front", ip });
        await front.logs("start");
        await delay(awayMs);
        front.signal("SIGTERM");
        expect(await until(() => front.exit !== undefined, 8_000)).toEqual(true);
        expect(front.exit).toEqual("0");
        giveBack();
    });
});

describe("processes among others", () => {
    let around: Surroundings;
    beforeEach(async () => around = await Surroundings.start());
    afterEach(() => around.close());

    // Guards against a peer, or what took over its address, whose bytes end every process that asks it.
    it("should go on if a peer answers with frames that cannot be decoded", async () => {
        const host = around.newAddress();
        const peer = new WebSocketServer({ host, port: ports.inner });
        const packr = new Packr({ useRecords: false });
        const odd = [Buffer.from([0xc1, 0xff]), packr.pack(null), packr.pack("text"), packr.pack({ id: 1, error: 7 })];
        let frames = 0;
        peer.on("connection", socket => {
            socket.on("message", () => socket.send(odd[frames++ % odd.length]!));
            socket.send(odd[frames++ % odd.length]!);
        });
        const member = { instance: "odd-1", host, port: ports.inner, zone: "north-a", region: "north" };
        around.store.put("marigolddrift/members/odd", { ...member, keepsTurns: false });
        around.store.put("marigolddrift/members/odd-disk", { ...member, instance: "odd-2", keepsTurns: true });
        const front = around.startProcess({ role: "front", ip: around.newAddress() });
        await front.becomesReady();
        await until(() => frames > odd.length, 6_000);
        const status = await front.call();
        peer.close();
        peer.clients.forEach(socket => socket.terminate());
        expect([front.exit, frames > 0, status]).toEqual([undefined, true, 200]);
    });
});
