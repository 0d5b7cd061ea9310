import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { DrainSchedule } from "@marigolddrift/gateway";
import { Deployment, waitUntil } from "./deployment.js";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Time between the signal and the end of the process in {@link Deployment}. */
const graceMs = 4_000;

/** Slots of the plain worker while calls are sent throughout a stop. */
const workerSlots = 12;

/** Just below the size above which an upstream's reply counts as endless. */
const longAnswerBytes = 4_100_000;

/** A caller that has opened a connection and sends its request later. */
class LateCaller {
    received = "";
    isSent = false;
    private readonly socket: Socket;

    constructor(readonly id: string, port: number) {
        this.socket = connect(port, "127.0.0.1");
        this.socket.setEncoding("latin1");
        this.socket.on("data", (text: string) => this.received += text);
        this.socket.on("error", () => {});
    }

    send(path: string, deadlineMs: number): void {
        const head = `Host: carts.example\r\nRequest-Id: ${this.id}\r\nDeadline-Ms: ${deadlineMs}`;
        this.isSent = this.socket.writable;
        this.socket.write(`POST ${path} HTTP/1.1\r\n${head}\r\nContent-Length: 4\r\n\r\nonce`);
    }

    get status(): string | undefined {
        return /^HTTP\/1\.1 (\d+)/.exec(this.received)?.[1];
    }

    /** Whether the whole answer has arrived, as its length or its last chunk says. */
    get isWhole(): boolean {
        const [head, body] = this.received.split("\r\n\r\n");
        const length = /content-length: (\d+)/i.exec(head ?? "")?.[1];
        return length === undefined ? this.received.endsWith("\r\n0\r\n\r\n") : body?.length === Number(length);
    }
}

describe("an instance that is stopping", () => {
    let deployment: Deployment;
    beforeEach(async () => deployment = await Deployment.start(1));
    afterEach(() => deployment.close());

    /** Stops the instance as the program does at SIGTERM. */
    const stop = async (): Promise<number> => {
        const startedAt = performance.now();
        const gateway = deployment.gateways[0]!;
        await gateway.drain();
        gateway.close();
        return performance.now() - startedAt;
    };

    const sendThroughout = async (deadlineMs: number, callMs: number): Promise<LateCaller[]> => {
        const { plainWorker, store, gateways } = deployment;
        const [gateway] = gateways;
        plainWorker.delayMs = callMs;
        // As many slots as the instance has connections, so that calls do not end at their limits while they wait for one.
        store.put("servers/i-ops", { ...plainWorker.entry(), slots: workerSlots });
        await waitUntil(() => gateway!.upstreams.get("i-ops")?.entry.slots === workerSlots);
        const callers = Array.from({ length: 90 }, (_, index) => new LateCaller(`late-${index}`, gateway!.port));
        await sleep(100);
        const stopped = stop();
        const startedAt = performance.now();
        for (const [index, caller] of callers.entries()) {
            await sleep(startedAt + index * graceMs / callers.length - performance.now());
            caller.send("/order/1", deadlineMs);
        }
        expect(await stopped).toSatisfy(ms => ms <= graceMs);
        await sleep(200);
        return callers;
    };

    const ranWithoutAnswer = (callers: readonly LateCaller[]): string[] => {
        const ran = new Set(deployment.plainWorker.ran.map(({ id }) => id));
        return callers.filter(({ id, isWhole }) => ran.has(id) && !isWhole).map(({ id }) => id);
    };

    // Guards against calls that were taken late in the grace period, through connections opened before, and cut at its end.
    for (const [deadlineMs, callMs] of [[2_000, 700], [600, 300], [2_500, 60]] as const) {
        it(`should answer each call that it passes on, with ${callMs} ms of work and a limit of ${deadlineMs} ms`, async () => {
            const callers = await sendThroughout(deadlineMs, callMs);
            expect(ranWithoutAnswer(callers)).toEqual([]);
            expect(callers.filter(({ status }) => status === "200").length).toSatisfy(count => count >= 10);
            const ran = new Set(deployment.plainWorker.ran.map(({ id }) => id));
            expect(callers.filter(({ id, status }) => status === "503" && ran.has(id))).toEqual([]);
        });
    }

    it("should refuse a call at once that cannot end in time, and say so", async () => {
        const caller = new LateCaller("late", deployment.gateways[0]!.port);
        deployment.plainWorker.delayMs = 3_100;
        const running = deployment.call("GET", "/look/1", { "Deadline-Ms": "2900" }).catch(() => undefined);
        await sleep(50);
        const stopped = stop();
        await sleep(2_700);
        caller.send("/order/1", 2_000);
        await sleep(100);
        expect([caller.status, caller.isWhole, /retry-after: 0/i.test(caller.received)]).toEqual(["503", true, true]);
        expect(deployment.plainWorker.ran.some(({ id }) => id === "late")).toEqual(false);
        await Promise.all([stopped, running]);
    });

    it("should still answer while it returns budgets and the store does not respond", async () => {
        await deployment.turn("p1", "t1", "first");
        const caller = new LateCaller("late", deployment.gateways[0]!.port);
        await sleep(50);
        deployment.store.fault = "silent";
        const stopped = stop();
        await sleep(2_700);
        caller.send("/order/1", 500);
        await stopped;
        await sleep(50);
        const ran = deployment.plainWorker.ran.some(({ id }) => id === "late");
        expect(caller.isWhole || !ran).toEqual(true);
    });

    // Guards against answers that were cut when idle connections were closed, since part of them was not yet with the system.
    for (const path of ["/look/1", "/talk/1"]) {
        it(`should send a long answer to its end to a caller that reads slowly, on ${path}`, async () => {
            const { entry, port } = deployment.gateways[0]!;
            // More than the system buffers for a connection, so that part of the answer waits in the process.
            deployment.plainWorker.answerBytes = longAnswerBytes;
            deployment.streamingWorker.eventBytes = Math.ceil(longAnswerBytes / deployment.streamingWorker.events);
            const socket = connect(port, "127.0.0.1");
            let text = "";
            socket.setEncoding("latin1");
            socket.pause();
            socket.on("data", (chunk: string) => text += chunk);
            socket.on("error", () => {});
            const head = "Host: carts.example\r\nRequest-Id: slow\r\nDeadline-Ms: 2000\r\nToken-Usage: 40,50";
            socket.write(`GET ${path} HTTP/1.1\r\n${head}\r\n\r\n`);
            await waitUntil(() => entry.active === 1);
            const stopped = stop();
            await sleep(2_900);
            expect(entry.active).toEqual(1);
            socket.resume();
            await stopped;
            await sleep(100);
            const [answerHead, body] = text.split("\r\n\r\n", 2);
            const length = /content-length: (\d+)/i.exec(answerHead!)?.[1];
            const isWhole = length === undefined ? text.endsWith("\r\n0\r\n\r\n") : body?.length === Number(length);
            expect([isWhole, text.length >= longAnswerBytes]).toEqual([true, true]);
        });
    }

    it("should give up calls at the end of the grace period with an answer that promises nothing", async () => {
        deployment.plainWorker.delayMs = 60_000;
        const order = new LateCaller("order", deployment.gateways[0]!.port);
        await sleep(50);
        const stopped = stop();
        await sleep(1_200);
        order.send("/order/1", 3_000);
        await stopped;
        await sleep(50);
        expect([order.status, order.isWhole]).toEqual(["502", true]);
    });
});

describe("drain schedule", () => {
    it("should take all calls at first, and then those that end in time", () => {
        const schedule = new DrainSchedule(1_000, 8_000);
        expect([schedule.redirectedAt, schedule.endsAt]).toEqual([3_600, 8_300]);
        expect(schedule.takes(60_000, 3_599)).toEqual(true);
        expect([schedule.takes(4_000, 4_300), schedule.takes(4_000, 4_301)]).toEqual([true, false]);
        schedule.close();
        expect(schedule.takes(1, 4_000)).toEqual(false);
    });

    it("should not wait longer for new callers than the grace period allows", () => {
        expect(new DrainSchedule(0, 2_000).redirectedAt).toEqual(1_300);
    });
});
