/**
 * Knows what callers have of streams that they take up, so that the turn of such a stream is kept whole. Each event of a stream that may be
 * taken up and whose turn is kept is recorded on machines with disks before it is passed on: the instance that passed it on may have ended.
 */
import { asError, delay, ProblemError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";
import { continuePart, findBeginning } from "@marigolddrift/policy";
import type { BeginningResult, StreamEvent, StreamPart } from "@marigolddrift/policy";

import type { PeerClient } from "../peers/peerClient.js";
import { streamKey } from "../streamKey.js";
import type { BeginningHolders } from "./beginningHolders.js";
import { BeginningRecorder } from "./beginningRecorder.js";
import { BeginningRecords } from "./beginningRecords.js";

/** Memory for what this instance has passed on itself. */
const maxLocalBytes = 4 * 1024 * 1024;

/** Timeout of a question to a holder. */
const askTimeoutMs = 300;

/** Pause before holders are asked again that lack the caller's last event, which may be on its way to them. */
const askAgainMs = 100;

/** Time after which a caller may try again if too few holders have answered. */
const retryAfterSeconds = 0.3;

/** Dependencies of {@link Beginnings}. */
export interface BeginningsOptions {
    readonly holders: Pick<BeginningHolders, "exist" | "copies" | "ranked" | "asked">;
    /** Time for which a stream can be taken up after its first event. */
    lifetimeMs(): number;
    readonly log: Logger;
}

/** What a caller has of a stream that a call of it takes up. */
export interface Beginning {
    readonly events: readonly StreamEvent[];
    /** Records what the call passes on. */
    readonly recorder: BeginningRecorder;
}

/** The events that are known of a stream, and whether all holders have said what they know. */
interface Lookup {
    readonly result: BeginningResult;
    readonly isConclusive: boolean;
}

/** The beginnings of the streams of one instance. */
export class Beginnings {
    private readonly local = new BeginningRecords(maxLocalBytes);
    private isClosed = false;

    constructor(private readonly options: BeginningsOptions) {}

    /** Approximate size of what is remembered here. */
    get rememberedBytes(): number {
        return this.local.bytes;
    }

    /** Returns the recorder of a call that begins a stream. */
    recorderOf(callId: string): BeginningRecorder {
        return this.createRecorder(continuePart(undefined, streamKey(callId)));
    }

    /**
     * Finds out what the caller of a call has of the stream that it takes up.
     *
     * @param resumes Id of the call that began the stream; undefined if the caller does not name one.
     * @throws ProblemError `beginning_unknown` if that is not certain. Nothing has run.
     */
    async resume(
        callId: string,
        resumes: string | undefined,
        lastEventId: string,
        progress: Progress,
    ): Promise<Beginning> {
        const { result, isConclusive } = resumes === undefined ?
            { result: { kind: "unknown" } as const, isConclusive: true } :
            await this.lookUp(streamKey(resumes), lastEventId, progress);
        if (result.kind !== "known") {
            throw unknownBeginning(`What the caller has of the stream is ${result.kind} here.`, isConclusive);
        }
        const recorder = this.createRecorder(continuePart(result.beginning, streamKey(callId)));
        // From now on, what the earlier calls passed on beyond the last event is known not to have reached the caller.
        if (!await progress.race(recorder.begin()) && this.options.holders.exist) {
            throw unknownBeginning("No machine could record that the stream is taken up.", false);
        }
        return { events: result.beginning.events, recorder };
    }

    /** Stops sending what is passed on. */
    close(): void {
        this.isClosed = true;
    }

    private createRecorder(part: StreamPart): BeginningRecorder {
        const { holders, log } = this.options;
        const isClosed = (): boolean => this.isClosed;
        const keepMs = this.options.lifetimeMs();
        return new BeginningRecorder({ holders, local: this.local, keepMs, isClosed, log }, part);
    }

    private async lookUp(resumes: string, lastEventId: string, progress: Progress): Promise<Lookup> {
        const first = await this.askAll(resumes, lastEventId, progress);
        if (first.result.kind !== "unknown" || progress.leftMs < 2 * askAgainMs) {
            return first;
        }
        await delay(askAgainMs);
        return await this.askAll(resumes, lastEventId, progress);
    }

    private async askAll(resumes: string, lastEventId: string, progress: Progress): Promise<Lookup> {
        const machines = this.options.holders.asked(resumes);
        const answers = await Promise.all(machines.map(machine => this.ask(machine, resumes, progress)));
        const parts = [...this.local.partsOf(resumes), ...answers.flatMap(answer => answer ?? [])];
        return { result: findBeginning(parts, resumes, lastEventId), isConclusive: !answers.includes(undefined) };
    }

    /** Resolves to undefined if the machine does not answer. */
    private async ask(
        machine: PeerClient,
        callId: string,
        parent: Progress,
    ): Promise<readonly StreamPart[] | undefined> {
        if (!machine.isUsable) {
            return undefined;
        }
        const progress = parent.child(askTimeoutMs);
        try {
            return await machine.ask({ kind: "findBeginnings", callId }, progress);
        }
        catch (err) {
            parent.throwIfAborted();
            this.options.log.info("beginning of a stream not looked up", {
                machine: machine.name,
                stream: callId,
                error: asError(err).message,
            });
            return undefined;
        }
        finally {
            progress.dispose();
        }
    }
}

/** @param isFinal Whether asking again would not help. */
const unknownBeginning = (detail: string, isFinal: boolean): ProblemError =>
    new ProblemError("beginning_unknown", "notRun", detail, isFinal ? {} : { retryAfterSeconds });
