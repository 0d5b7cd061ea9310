/**
 * Knows which build began a stream: for streams that this instance has passed on, from its own memory; for others, from the machines that
 * hold records. Records are sent only while more than one build may have begun streams, after the first event, and without waiting for
 * them: a stream without a record is refused, not guessed.
 */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { FoundBuild } from "../peers/peerMessages.js";
import type { BuildHolders } from "./buildHolders.js";
import { BuildRecords } from "./buildRecords.js";
import type { BuildRecord } from "./buildRecords.js";
import { RecordSender } from "./recordSender.js";

/** Timeout of a question to a holder. */
const askTimeoutMs = 300;

/** Streams that an instance remembers: 30 s of 600 a second, some 3 MB. */
const maxLocalRecords = 18_000;

/** Time between two log lines about holders that did not respond. */
const failureLogIntervalMs = 5_000;

/** Dependencies of {@link StreamBuilds}. */
export interface StreamBuildsOptions {
    readonly holders: Pick<BuildHolders, "of" | "asked" | "copies" | "version">;
    /** Time for which a stream can be taken up after its first event. */
    lifetimeMs(): number;
    /** Whether more than one build may have begun streams of the service. */
    isMixed(service: string): boolean;
    readonly log: Logger;
}

/** What is known of a stream that is to be taken up. */
export type LookupResult =
    | { readonly kind: "known"; readonly record: BuildRecord; readonly knownBy: "memory" | "record"; }
    /** `isConclusive` if all machines that were asked have answered. */
    | { readonly kind: "unknown"; readonly isConclusive: boolean; };

/** The streams of one instance. */
export class StreamBuilds {
    private readonly local: BuildRecords;
    private readonly sender: RecordSender;
    private failureLoggedAt = -Infinity;

    constructor(private readonly options: StreamBuildsOptions) {
        this.local = new BuildRecords(() => options.lifetimeMs(), maxLocalRecords);
        this.sender = new RecordSender({ ...options, local: this.local });
    }

    /** Number of streams that are remembered. */
    get size(): number {
        return this.local.size;
    }

    /**
     * Called when the first event of a stream is passed on.
     *
     * @param build Undefined if it is not certain.
     * @param hasSeveralServices Whether another service might have begun the stream, whatever builds serve.
     */
    onBegun(streamId: string, service: string, build: string | undefined, hasSeveralServices = false): void {
        this.local.add(streamId, service, build);
        if (this.options.isMixed(service)) {
            this.sender.recordAll(service);
            this.sender.queue(streamId, service, build);
        }
        else if (hasSeveralServices) {
            this.sender.queue(streamId, service, build);
        }
    }

    /** Sends the records of the streams that began before another build came. To be called when builds have changed, and at intervals. */
    onBuildsChanged(service: string): void {
        if (this.options.isMixed(service)) {
            this.sender.recordAll(service);
            this.sender.sendLacking();
        }
        else {
            this.sender.onSingleBuild(service);
        }
    }

    /**
     * Sends the records of all streams of a service that have begun, if more than one build may have begun them.
     *
     * @returns Whether at least one holder of each record has taken it.
     */
    async recordNow(service: string): Promise<boolean> {
        this.onBuildsChanged(service);
        return await this.sender.flush();
    }

    /** Finds out which build began a stream. */
    async find(streamId: string, progress: Progress): Promise<LookupResult> {
        const record = this.local.get(streamId);
        if (record !== undefined) {
            return { kind: "known", record, knownBy: "memory" };
        }
        const machines = this.options.holders.asked(streamId);
        const questions = machines.map(machine => this.ask(machine, streamId, progress));
        const found = await firstFound(questions);
        if (found !== undefined) {
            return { kind: "known", record: found, knownBy: "record" };
        }
        const answers = await Promise.all(questions);
        return { kind: "unknown", isConclusive: machines.length > 0 && !answers.includes("failed") };
    }

    close(): void {
        this.sender.close();
    }

    private async ask(
        machine: PeerClient,
        streamId: string,
        parent: Progress,
    ): Promise<FoundBuild | undefined | "failed"> {
        const progress = parent.child(askTimeoutMs);
        try {
            return await machine.ask({ kind: "findStream", id: streamId }, progress);
        }
        catch (err) {
            parent.throwIfAborted();
            this.logFailure("stream not looked up", machine, err);
            return "failed";
        }
        finally {
            progress.dispose();
        }
    }

    private logFailure(event: string, machine: PeerClient, err: unknown): void {
        if (performance.now() - this.failureLoggedAt > failureLogIntervalMs) {
            this.failureLoggedAt = performance.now();
            this.options.log.info(event, { machine: machine.name, error: asError(err).message });
        }
    }
}

/** Resolves to the first record that is found, as soon as it is. */
const firstFound = async (
    questions: readonly Promise<FoundBuild | undefined | "failed">[],
): Promise<FoundBuild | undefined> => {
    const found = questions.map(async question => {
        const answer = await question;
        if (answer === undefined || answer === "failed") {
            throw new Error("not found");
        }
        return answer;
    });
    return await Promise.any(found).catch(() => undefined);
};
