/**
 * Knows which build began a stream: for streams that this instance has passed on, from its own memory; for others, from the machines that
 * hold records. Records are sent only while more than one build may have begun streams, after the first event, and without waiting for
 * them: a stream without a record is refused, not guessed.
 */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { FoundBuild, StreamGroup } from "../peers/peerMessages.js";
import type { BuildHolders } from "./buildHolders.js";
import { BuildRecords } from "./buildRecords.js";
import type { BuildRecord } from "./buildRecords.js";

/** Time for which records are collected into one message for each holder. */
const sendDelayMs = 10;

/** Timeout of a message to a holder, and of a question. */
const sendTimeoutMs = 1_000;
const askTimeoutMs = 300;

/** Times that records are sent to a machine that does not take them, and pause between. */
const maxSends = 3;
const resendDelayMs = 250;

/** Streams that an instance remembers: 30 s of 600 a second, some 3 MB. */
const maxLocalRecords = 18_000;

/** Time between two log lines about holders that did not respond. */
const failureLogIntervalMs = 5_000;

/** Dependencies of {@link StreamBuilds}. */
export interface StreamBuildsOptions {
    readonly holders: Pick<BuildHolders, "of" | "asked" | "version">;
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
    private readonly unsent = new Map<string, Set<string>>();
    private readonly recordedServices = new Set<string>();
    private recordedVersion = -1;
    private timer: NodeJS.Timeout | undefined;
    private failureLoggedAt = -Infinity;

    constructor(private readonly options: StreamBuildsOptions) {
        this.local = new BuildRecords(() => options.lifetimeMs(), maxLocalRecords);
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
            this.recordAll(service);
            this.queue(streamId, service, build);
        }
        else if (hasSeveralServices) {
            this.queue(streamId, service, build);
        }
    }

    /** Sends the records of the streams that began before another build came. To be called when builds have changed. */
    onBuildsChanged(service: string): void {
        if (this.options.isMixed(service)) {
            this.recordAll(service);
        }
        else {
            this.recordedServices.delete(service);
        }
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
        clearTimeout(this.timer);
    }

    /** Records all streams again when the machines have changed: one that has started again has lost its records. */
    private recordAll(service: string): void {
        const { version } = this.options.holders;
        if (this.recordedVersion !== version) {
            this.recordedVersion = version;
            this.recordedServices.clear();
        }
        if (this.recordedServices.has(service)) {
            return;
        }
        this.recordedServices.add(service);
        for (const [build, ids] of this.local.idsByBuild(service)) {
            ids.forEach(id => this.queue(id, service, build));
        }
    }

    private queue(streamId: string, service: string, build: string | undefined): void {
        const group = JSON.stringify({ service, build });
        const ids = this.unsent.get(group) ?? new Set<string>();
        this.unsent.set(group, ids);
        ids.add(streamId);
        this.timer ??= setTimeout(() => this.send(), sendDelayMs);
    }

    private send(): void {
        this.timer = undefined;
        const messages = new Map<PeerClient, StreamGroup[]>();
        for (const [group, ids] of this.unsent) {
            const { service, build } = JSON.parse(group) as Pick<StreamGroup, "service" | "build">;
            for (const [machine, streams] of this.byHolder(ids)) {
                messages.set(machine, [...(messages.get(machine) ?? []), { service, build, streams }]);
            }
        }
        this.unsent.clear();
        messages.forEach((groups, machine) => void this.sendTo(machine, groups));
    }

    private byHolder(streamIds: Iterable<string>): Map<PeerClient, string[]> {
        const byHolder = new Map<PeerClient, string[]>();
        for (const id of streamIds) {
            for (const machine of this.options.holders.of(id)) {
                const ids = byHolder.get(machine) ?? [];
                byHolder.set(machine, ids);
                ids.push(id);
            }
        }
        return byHolder;
    }

    private async sendTo(machine: PeerClient, groups: readonly StreamGroup[]): Promise<void> {
        for (let tries = 0; tries < maxSends; tries++) {
            try {
                await machine.notify({ kind: "recordStreams", groups }, sendTimeoutMs);
                return;
            }
            catch (err) {
                this.logFailure("streams not recorded", machine, err);
            }
            await new Promise(resolve => setTimeout(resolve, resendDelayMs).unref());
        }
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
