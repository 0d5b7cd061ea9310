import { LoadBoard, placeSampled } from "@marigolddrift/policy";
import type { WorkerLoad, WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

const instances = 33;
const workers = 17;
const slots = 6;
const reportMs = 200;
const callMs = 450;
const stepMs = 5;
const durationMs = 20_000;
const turns = 4;
const pauseMs = 100;
const promptTokens = 1_500;
const sharedTokens = 512;
const cost = {
    prefillMsPerToken: 0.017,
    decodeBaseMs: 2.6,
    decodePerSequenceMs: 0.02,
    importMsPerToken: 0,
    maxBatch: slots,
};

interface Instance {
    readonly own: Map<string, number>;
    /** Workers that have read the shared beginning of prompts for this instance. */
    readonly known: Set<string>;
    others: WorkerLoad;
    readAt: number;
}

interface Program {
    readonly instance: Instance;
    turnsLeft: number;
    /** The worker that has the conversation in its memory. */
    worker: string | undefined;
}

interface Turn {
    readonly program: Program;
    readonly worker: string;
    readonly ms: number;
}

interface Outcome {
    /** Mean calls on the busiest worker over the mean of all. */
    readonly busiestOverMean: number;
    /** Share of the turns that were placed on a full worker while one in four had free places. */
    readonly waitedInVain: number;
    /** Share of the turns that continue a conversation and were placed where it has to be read again. */
    readonly moved: number;
}

/** Programs of some turns each, which come in through many instances, on virtual time. */
class Replay {
    private readonly names = Array.from({ length: workers }, (_, index) => `w${index}`);
    private readonly fleet: Instance[] = Array.from(
        { length: instances },
        () => ({ own: new Map(), known: new Set(), others: {}, readAt: 0 }),
    );
    private readonly board = new LoadBoard();
    private readonly total = new Map(this.names.map(name => [name, 0]));
    private readonly sums = new Map(this.names.map(name => [name, 0]));
    private readonly queues = new Map<string, Turn[]>(this.names.map(name => [name, []]));
    private readonly due: { readonly at: number; act(now: number): void; }[] = [];
    private readonly random: () => number;
    private placed = 0;
    private vain = 0;
    private continued = 0;
    private moved = 0;

    constructor(private readonly shares: boolean, seed: number) {
        this.random = createRandom(seed);
    }

    run(programsPerSecond: number): Outcome {
        for (let now = 0; now < durationMs; now += stepMs) {
            this.due.filter(({ at }) => at <= now).forEach(event => {
                this.due.splice(this.due.indexOf(event), 1);
                event.act(now);
            });
            if (this.shares) {
                this.fleet.forEach((instance, index) => this.share(instance, index, now));
            }
            if (this.random() < programsPerSecond * stepMs / 1_000) {
                const instance = this.fleet[Math.floor(this.random() * instances)]!;
                this.beginTurn({ instance, turnsLeft: turns, worker: undefined }, now);
            }
            this.total.forEach((calls, name) => this.sums.set(name, this.sums.get(name)! + calls));
        }
        const all = [...this.sums.values()];
        const mean = all.reduce((a, b) => a + b) / workers;
        return {
            busiestOverMean: Math.max(...all) / mean,
            waitedInVain: this.vain / this.placed,
            moved: this.moved / this.continued,
        };
    }

    private share(instance: Instance, index: number, now: number): void {
        if ((now + index * stepMs) % reportMs === 0) {
            this.board.report(String(index), Object.fromEntries(instance.own), now);
            instance.others = this.board.loadOfOthers(String(index), now);
            instance.readAt = now;
        }
    }

    private beginTurn(program: Program, now: number): void {
        const views = this.names.map(name => this.view(program, name, now));
        const worker = placeSampled(views, { promptTokens, expectedTokens: 90 }, this.random).worker!;
        const free = [...this.total.values()].filter(calls => calls < slots).length;
        this.placed += 1;
        this.vain += this.total.get(worker)! >= slots && free >= workers / 4 ? 1 : 0;
        if (program.worker !== undefined) {
            this.continued += 1;
            this.moved += worker === program.worker ? 0 : 1;
        }
        this.change(program.instance, worker, 1);
        const readAgainMs = worker === program.worker ? 0 : (promptTokens - sharedTokens) * cost.prefillMsPerToken;
        const turn = { program, worker, ms: readAgainMs - Math.log(1 - this.random()) * callMs };
        if (this.total.get(worker)! <= slots) {
            this.runTurn(turn, now);
        }
        else {
            this.queues.get(worker)!.push(turn);
        }
    }

    private runTurn({ program, worker, ms }: Turn, now: number): void {
        this.due.push({ at: now + ms, act: endsAt => this.endTurn(program, worker, endsAt) });
    }

    private endTurn(program: Program, worker: string, now: number): void {
        this.change(program.instance, worker, -1);
        const next = this.queues.get(worker)!.shift();
        if (next !== undefined) {
            this.runTurn(next, now);
        }
        program.instance.known.add(worker);
        program.worker = worker;
        program.turnsLeft -= 1;
        if (program.turnsLeft > 0) {
            this.due.push({ at: now + pauseMs, act: at => this.beginTurn(program, at) });
        }
    }

    private change({ own }: Instance, worker: string, by: number): void {
        own.set(worker, (own.get(worker) ?? 0) + by);
        this.total.set(worker, this.total.get(worker)! + by);
    }

    private view({ instance, worker: last }: Program, worker: string, now: number): WorkerView {
        const shared = instance.known.has(worker) ? sharedTokens : 0;
        return {
            worker,
            zone: "z",
            ownInFlight: instance.own.get(worker) ?? 0,
            reportedInFlight: instance.others[worker] ?? 0,
            ownAtReport: 0,
            reportAgeMs: now - instance.readAt,
            cachedTokens: worker === last ? promptTokens - 200 : shared,
            exportedTokens: 0,
            slowdown: 1,
            roundTripMs: 1,
            maxInFlight: Infinity,
            cost,
        };
    }
}

describe("load board", () => {
    it("should sum up the others' latest reports, and leave out those of instances that have died", () => {
        const board = new LoadBoard();
        board.report("a", { w1: 3 }, 0);
        board.report("a", { w1: 2, w2: 1 }, 900);
        board.report("b", { w1: 1 }, 100);
        expect(board.loadOfOthers("b", 1_000)).toEqual({ w1: 2, w2: 1 });
        expect(board.loadOfOthers("c", 1_500)).toEqual({ w1: 2, w2: 1 });
    });

    it("should keep many instances from filling some workers while others have free places", () => {
        for (const seed of [1, 2, 3]) {
            const alone = new Replay(false, seed).run(36);
            const sharing = new Replay(true, seed).run(36);
            expect(sharing.waitedInVain).toSatisfy(share => share < alone.waitedInVain / 3);
            expect(sharing.busiestOverMean).toSatisfy(ratio => ratio < 1.3);
        }
    });

    it("should leave conversations where they have been read while all workers are full", () => {
        for (const seed of [1, 2, 3]) {
            console.log(
                "moved",
                new Replay(true, seed).run(36),
                new Replay(true, seed).run(75),
                new Replay(true, seed).run(100),
            );
            for (const programsPerSecond of [60, 75, 100]) {
                expect(new Replay(true, seed).run(programsPerSecond).moved).toSatisfy(share => share < 0.1);
            }
        }
    });
});
