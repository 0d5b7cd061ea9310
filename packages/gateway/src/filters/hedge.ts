/** Races a call with a second copy of it, so that the caller gets the answer of exactly one of them. */
import type { Progress } from "@marigolddrift/common";

import type { AttemptResult } from "../upstreams/attempt.js";
import type { BufferedResponse, StreamedResponse } from "./responseSinks.js";

/** How an attempt at a call ended. */
export interface AttemptOutcome {
    readonly worker: string;
    readonly result: AttemptResult;
    /** Undefined if nothing was sent. */
    readonly response: StreamedResponse | BufferedResponse | undefined;
}

/** One attempt, which may race with another one. */
export interface Lane {
    readonly progress: Progress;
    /** Whether nothing may be written to the caller before `claim` has returned true. */
    readonly isRaced: boolean;
    readonly onFirstByte: () => void;
    /** Makes this attempt the one that the caller gets, and cancels the other; returns false if the other one is. */
    readonly claim: () => boolean;
}

/** Returns the lane of an attempt that runs alone. */
export const singleLane = (progress: Progress): Lane => ({
    progress,
    isRaced: false,
    onFirstByte: () => {},
    claim: () => true,
});

/** A copy for which an upstream has been reserved. */
export interface ReservedCopy {
    readonly worker: string;
    run(lane: Lane): Promise<AttemptOutcome>;
    /** Gives the upstream back without sending the copy. */
    release(): void;
}

/** The two attempts of a race. */
export interface RaceOptions {
    readonly progress: Progress;
    /** Time after which the copy is sent if the first attempt has had no first byte. */
    readonly delayMs: number;
    first(lane: Lane): Promise<AttemptOutcome>;
    /** Reserves an upstream for the copy; undefined if it is not to be sent. */
    reserveCopy(): Promise<ReservedCopy | undefined>;
    /** Called with the time to the first byte of the first attempt, or until it was cancelled. */
    onFirstByteTime(ms: number): void;
}

/** The attempts that count, the deciding one last. */
export interface RaceResult {
    readonly outcomes: readonly AttemptOutcome[];
    /** Upstream of the copy; undefined if none was sent. */
    readonly copy: string | undefined;
    readonly copyWon: boolean;
}

/** Error with which the attempt that the caller does not get is cancelled. */
const lostError = (): Error => new Error("another copy of the call was faster");

class RacingLane implements Lane {
    readonly isRaced = true;
    readonly progress: Progress;
    isCancelled = false;
    hasFirstByte = false;
    /** Resolves at the first byte. */
    readonly firstByte: Promise<void>;
    readonly onFirstByte: () => void;

    constructor(parent: Progress, readonly claim: () => boolean) {
        this.progress = parent.child(parent.leftMs);
        let resolve = (): void => {};
        this.firstByte = new Promise(done => resolve = done);
        this.onFirstByte = () => {
            this.hasFirstByte = true;
            resolve();
        };
    }

    cancel(): void {
        this.isCancelled = true;
        this.progress.abort(lostError());
    }
}

/**
 * Runs an attempt, and a copy of it if it is late.
 *
 * A complete answer wins unless it is a server error, which wins only if the other attempt gives no better answer; of a stream, the
 * first whole event decides.
 */
export const raceCopies = async (options: RaceOptions): Promise<RaceResult> => {
    const lanes: RacingLane[] = [];
    let winner: RacingLane | undefined;
    const open = (): RacingLane => {
        const lane: RacingLane = new RacingLane(options.progress, () => {
            winner ??= lane;
            if (winner === lane) {
                lanes.filter(other => other !== lane).forEach(other => other.cancel());
            }
            return winner === lane;
        });
        lanes.push(lane);
        return lane;
    };
    const startedAt = performance.now();
    const firstLane = open();
    const first = options.first(firstLane);
    let hasEnded = false;
    const ended = first.then(() => {}, () => {}).then(() => {
        hasEnded = true;
    });
    void firstLane.firstByte.then(() => options.onFirstByteTime(performance.now() - startedAt));
    try {
        await Promise.race([ended, firstLane.firstByte, delay(options.delayMs, ended, firstLane.firstByte)]);
        const isLate = (): boolean => !hasEnded && !firstLane.hasFirstByte;
        const copy = isLate() ? await reserve(options) : undefined;
        if (copy === undefined || !isLate()) {
            copy?.release();
            return { outcomes: [await claimed(first, firstLane)], copy: undefined, copyWon: false };
        }
        const copyLane = open();
        const outcomes = await decide(
            { lane: firstLane, outcome: first },
            { lane: copyLane, outcome: copy.run(copyLane) },
        );
        if (firstLane.isCancelled && !firstLane.hasFirstByte) {
            options.onFirstByteTime(performance.now() - startedAt);
        }
        return { outcomes, copy: copy.worker, copyWon: winner === copyLane };
    }
    catch (err) {
        lanes.forEach(lane => lane.cancel());
        throw err;
    }
    finally {
        lanes.forEach(lane => lane.progress.dispose());
    }
};

/** If no upstream can be reserved, the first attempt goes on alone. */
const reserve = (options: RaceOptions): Promise<ReservedCopy | undefined> =>
    options.reserveCopy().catch(() => undefined);

interface Attempt {
    readonly lane: RacingLane;
    readonly outcome: Promise<AttemptOutcome>;
}

/** Waits for an attempt that runs alone, whose answer the caller gets whatever it is. */
const claimed = async (outcome: Promise<AttemptOutcome>, lane: RacingLane): Promise<AttemptOutcome> => {
    const ended = await outcome;
    lane.claim();
    return ended;
};

const decide = async (first: Attempt, copy: Attempt): Promise<AttemptOutcome[]> => {
    // The copy may fail before it is sent, for example if the call has just been blocked; that leaves the first attempt as it is.
    const copyOutcome = copy.outcome.catch(() => undefined);
    const firstEnded = first.outcome.then(outcome => ({ lane: first.lane, outcome }));
    firstEnded.catch(() => {}); // Handled below, unless the copy has won by then.
    const copyEnded = copyOutcome.then(outcome => ({ lane: copy.lane, outcome }));
    const earlier = await Promise.race([firstEnded, copyEnded]);
    if (isGood(earlier.outcome) && earlier.lane.claim()) {
        return [earlier.outcome!];
    }
    const later = earlier.lane === first.lane ? await copyEnded : await firstEnded;
    if (isGood(later.outcome) && later.lane.claim()) {
        return counted([earlier, later]);
    }
    const complete = [earlier, later].find(({ lane, outcome }) =>
        outcome?.result.kind === "complete" && !lane.isCancelled && lane.claim()
    );
    return complete === undefined ? counted([earlier, later]) : [complete.outcome!];
};

interface EndedAttempt {
    readonly lane: RacingLane;
    readonly outcome: AttemptOutcome | undefined;
}

/** Attempts that were not cancelled, of which the caller may have to be told that they may have run. */
const counted = (ended: readonly EndedAttempt[]): AttemptOutcome[] =>
    ended.filter(({ lane }) => !lane.isCancelled).flatMap(({ outcome }) => outcome ?? []);

const isGood = (outcome: AttemptOutcome | undefined): boolean =>
    outcome?.result.kind === "complete" && (outcome.response?.status ?? 0) < 500;

/** Waits for some time, but keeps no timer after one of the events. */
const delay = async (ms: number, ...events: Promise<void>[]): Promise<void> => {
    let timer: NodeJS.Timeout | undefined;
    const elapsed = new Promise<void>(resolve => timer = setTimeout(resolve, ms));
    await Promise.race([elapsed, ...events]);
    clearTimeout(timer);
};
