/**
 * Keeps turns on the disks of more machines than may be lost at once, and in the platform's store when too few of them
 * answer. Load pattern: turns that end while the store is away, or at a rate at which a call for each would cost too much.
 */
import { asError, delay, ProblemError, rendezvous } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { JournalAnswer } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { packTurn, unpackTurn } from "../turns/turnRecord.js";
import type { TurnRecord } from "../turns/turnRecord.js";
import type { TurnArchive, TurnName, TurnToKeep } from "../turns/turnStore.js";

/** Time after which a further machine gets a copy, in milliseconds: above a way between regions and back, with a sync. */
const hedgeMs = 90;

/** Time after which the turn goes to the store as well, in milliseconds. */
const storeAfterMs = 250;

/** Time after which the next machines are asked for a turn as well, in milliseconds: above a way within the region. */
const stageMs = 60;

/** Time that one machine may take, in milliseconds. */
const askTimeoutMs = 400;

/** When a caller may ask again for a turn that nobody could rule out, in seconds. */
const retryAfterSeconds = 0.5;

/** Where an instance is, and how many losses must not lose a turn. */
export interface JournalPlacement {
    readonly zone: string;
    readonly regionOf: (zone: string) => string;
    readonly toleratedLosses: number;
}

/** Copies on disks first, the store as the other way. */
export class JournalArchive implements TurnArchive {
    constructor(
        private readonly peers: Pick<Peers, "journals" | "reload" | "pickFront">,
        private readonly store: TurnArchive,
        private readonly placement: JournalPlacement,
        private readonly log: Logger,
    ) {}

    async save(kept: TurnToKeep, progress: Progress): Promise<void> {
        const machines = this.ranked(kept.program).filter(inReach);
        const copies = this.placement.toleratedLosses + 1;
        if (machines.length < copies) {
            await this.store.save(kept, progress);
            return;
        }
        await new CopyRound(kept, machines, copies, this.store, progress, this.log).run();
    }

    async load(name: TurnName, progress: Progress): Promise<TurnRecord | undefined> {
        const answers = new Map<PeerClient, JournalAnswer>();
        const found = await this.find(name, answers, progress, () => this.askFront(name, progress));
        if (found === undefined) {
            await this.checkCertain(name, answers, progress);
        }
        return found;
    }

    /** Looks for a turn for an instance that does not reach the machines itself; undefined says nothing. */
    async loadForPeer(name: TurnName, progress: Progress): Promise<TurnRecord | undefined> {
        return await this.find(name, new Map(), progress, async () => undefined);
    }

    private async find(
        name: TurnName,
        answers: Map<PeerClient, JournalAnswer>,
        progress: Progress,
        askFront: Lookup,
    ): Promise<TurnRecord | undefined> {
        const machines = this.ranked(name.program);
        const reached = machines.filter(inReach);
        const others = machines.filter(machine => !reached.includes(machine) && machine.isUsable);
        const lookup = (machine: PeerClient) => async (): Promise<TurnRecord | undefined> => {
            const answer = await this.ask(machine, name, progress);
            if (answer !== undefined) {
                answers.set(machine, answer);
            }
            return answer?.record && unpackTurn(answer.record);
        };
        const loadStored = (): Promise<TurnRecord | undefined> => this.store.load(name, progress);
        const copies = this.placement.toleratedLosses + 1;
        return await findInStages([
            reached.slice(0, 1).map(lookup),
            reached.slice(1, copies).map(lookup),
            [
                ...reached.slice(copies).map(lookup),
                ...others.map(lookup),
                loadStored,
                ...(reached.length < copies ? [askFront] : []),
            ],
            // Turns move from the disks to the store: what was not found is looked for there once more.
            [loadStored],
        ]);
    }

    /** A front that is cut off from the machines with disks asks one that may reach them. */
    private async askFront({ id, program }: TurnName, progress: Progress): Promise<TurnRecord | undefined> {
        const front = this.peers.pickFront();
        const asked = progress.child(askTimeoutMs);
        try {
            const record = await front?.ask({ kind: "loadTurn", id, program }, asked);
            return record && unpackTurn(record);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("front did not find the turn", { turn: id, peer: front?.name, error: asError(err).message });
            return undefined;
        }
        finally {
            asked.dispose();
        }
    }

    /** Each turn was on more disks than may be lost, so that all but those must have answered that they do not have it. */
    private async checkCertain(
        { id }: TurnName,
        answers: ReadonlyMap<PeerClient, JournalAnswer>,
        progress: Progress,
    ): Promise<void> {
        await this.reload(id, progress);
        const unsure = this.peers.journals.filter(machine => answers.get(machine)?.complete !== true);
        if (unsure.length > this.placement.toleratedLosses) {
            this.log.info("turn not ruled out", { turn: id, unsure: unsure.map(({ name }) => name) });
            throw unsureError();
        }
    }

    /** Without the present list of machines nothing can be ruled out. */
    private async reload(id: string, progress: Progress): Promise<void> {
        try {
            await this.peers.reload(progress);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("machines not listed", { turn: id, error: asError(err).message });
            throw unsureError();
        }
    }

    private async ask(machine: PeerClient, { id }: TurnName, progress: Progress): Promise<JournalAnswer | undefined> {
        const asked = progress.child(askTimeoutMs);
        try {
            return await machine.ask({ kind: "findTurn", id }, asked);
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("journal silent", { turn: id, machine: machine.name, error: asError(err).message });
            return undefined;
        }
        finally {
            asked.dispose();
        }
    }

    /** Machines of the own region first; all instances of a region name the same ones for a program. */
    private ranked(program: string): PeerClient[] {
        const { zone, regionOf } = this.placement;
        const byName = new Map(this.peers.journals.map(machine => [machine.name, machine]));
        const order = rendezvous(program, [...byName.keys()]).map(name => byName.get(name)!);
        const isNear = (machine: PeerClient): boolean => regionOf(machine.address.zone) === regionOf(zone);
        return [...order.filter(isNear), ...order.filter(machine => !isNear(machine))];
    }
}

/** Machines whose connection is open; the others are connected to in the background, which no turn waits for. */
const inReach = ({ isUsable, isConnected }: PeerClient): boolean => isUsable && isConnected;

/** One turn on its way to its copies. */
class CopyRound {
    private acknowledged = 0;
    private sent = 0;
    private done = false;
    private readonly holders: readonly string[];
    private readonly record: Buffer;
    private resolve: () => void = () => {};
    private reject: (err: unknown) => void = () => {};

    constructor(
        private readonly kept: TurnToKeep,
        private readonly machines: readonly PeerClient[],
        private readonly copies: number,
        private readonly store: TurnArchive,
        private readonly progress: Progress,
        private readonly log: Logger,
    ) {
        this.holders = machines.slice(0, copies).map(({ name }) => name);
        this.record = packTurn(kept.turn);
    }

    /** Resolves once enough machines or the store have the turn. */
    async run(): Promise<void> {
        const result = new Promise<void>((resolve, reject) => Object.assign(this, { resolve, reject }));
        const timers = [
            setTimeout(() => this.sendNext(), hedgeMs),
            setTimeout(() => this.saveInStore(), storeAfterMs),
        ];
        for (let copy = 0; copy < this.copies; copy++) {
            this.sendNext();
        }
        try {
            await this.progress.race(result);
        }
        finally {
            this.done = true;
            timers.forEach(timer => clearTimeout(timer));
        }
    }

    private sendNext(): void {
        const machine = this.machines[this.sent];
        if (machine === undefined || this.done) {
            return;
        }
        const copy = this.sent++;
        void this.send(machine, copy);
    }

    private async send(machine: PeerClient, copy: number): Promise<void> {
        const { turn: { id }, keepMs } = this.kept;
        const asked = this.progress.child(askTimeoutMs);
        try {
            const turn = { id, record: this.record, keepMs, copy, holders: this.holders };
            const taken = await machine.ask({ kind: "keepTurn", turn }, asked);
            if (taken) {
                this.onAcknowledged();
            }
            else {
                this.sendNext();
            }
        }
        catch (err) {
            this.log.info("copy not kept", { turn: id, machine: machine.name, error: asError(err).message });
            this.sendNext();
        }
        finally {
            asked.dispose();
        }
    }

    private onAcknowledged(): void {
        this.acknowledged += 1;
        if (this.acknowledged >= this.copies) {
            this.resolve();
        }
    }

    private saveInStore(): void {
        const { turn: { id } } = this.kept;
        this.log.info("turn goes to the store", { turn: id, copies: this.acknowledged, sent: this.sent });
        this.store.save(this.kept, this.progress).then(() => this.resolve(), err => this.reject(err));
    }
}

type Lookup = () => Promise<TurnRecord | undefined>;

/**
 * The first record that is found; undefined if there is none, and an error if a lookup failed and no other found it. A stage
 * begins when all lookups before it have ended without a record, or take long: asking all machines at once for each
 * turn of a busy fleet would keep them from answering at all.
 */
const findInStages = async (stages: readonly (readonly Lookup[])[]): Promise<TurnRecord | undefined> => {
    const begun: Promise<TurnRecord | undefined>[] = [];
    for (const stage of stages) {
        begun.push(...stage.map(lookup => lookup()));
        const all = firstFound(begun);
        const found = await (stage === stages.at(-1) ? all : Promise.race([
            all.catch(() => undefined),
            delay(stageMs),
        ]));
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
};

/** The first record that is found; undefined if none of them is, and an error if one failed and none was found. */
const firstFound = async (lookups: readonly Promise<TurnRecord | undefined>[]): Promise<TurnRecord | undefined> => {
    const found = await Promise.any(lookups.map(async lookup => {
        const value = await lookup;
        if (value === undefined) {
            throw new Error("not there");
        }
        return value;
    })).catch(() => undefined);
    // Nothing was found: a lookup that failed says so here, since it rules nothing out.
    return found ?? (await Promise.all(lookups)).find(value => value !== undefined);
};

const unsureError = (): ProblemError =>
    new ProblemError("not_durable", "notRun", "Too few machines said whether the turn exists.", { retryAfterSeconds });
