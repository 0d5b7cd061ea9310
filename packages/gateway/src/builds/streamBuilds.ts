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
    private readonly unsent = new Map<string, Set<string>>();
    private readonly recordedServices = new Set<string>();
    private recordedVersion = -1;
    /** Messages to holders that have not ended yet. */
    private readonly sending = new Map<Promise<void>, PeerClient>();
    /** Holders that did not take a message in all its tries, and so lack records. */
    private readonly lacking = new Set<PeerClient>();
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

    /** Sends the records of the streams that began before another build came. To be called when builds have changed, and at intervals. */
    onBuildsChanged(service: string): void {
        if (this.options.isMixed(service)) {
            this.recordAll(service);
            this.sendLacking();
        }
        else {
            this.recordedServices.delete(service);
        }
    }

    /**
     * Sends the records of all streams of a service that have begun, if more than one build may have begun them.
     *
     * @returns Whether at least one holder of each record has taken it.
     */
    async recordNow(service: string): Promise<boolean> {
        this.onBuildsChanged(service);
        clearTimeout(this.timer);
        this.send();
        const sending = new Map(this.sending);
        sending.forEach((_, message) => void message.then(() => sending.delete(message)));
        while (sending.size > 0 && !this.areRecorded(sending)) {
            await Promise.race(sending.keys());
        }
        return this.areRecorded(sending);
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

    /** Whether so few holders lack records that another one has each of them. */
    private areRecorded(sending: ReadonlyMap<unknown, PeerClient>): boolean {
        return this.size === 0 || new Set([...this.lacking, ...sending.values()]).size < this.options.holders.copies;
    }

    /** Records all streams again when the machines have changed: one that has started again has lost its records. */
    private recordAll(service: string): void {
        const { version } = this.options.holders;
        if (this.recordedVersion !== version) {
            this.recordedVersion = version;
            this.recordedServices.clear();
            this.lacking.clear();
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
        messages.forEach((groups, machine) => this.sendTo(machine, groups));
    }

    /** Sends all records again to the holders that lack some. */
    private sendLacking(): void {
        for (const machine of this.lacking) {
            this.lacking.delete(machine);
            this.sendTo(machine, [...this.recordedServices].flatMap(service => this.groupsOf(service, machine)));
        }
    }

    /** The records of a service that a machine holds. */
    private groupsOf(service: string, machine: PeerClient): StreamGroup[] {
        return [...this.local.idsByBuild(service)].map(([build, ids]) => ({
            service,
            build,
            streams: ids.filter(id => this.options.holders.of(id).includes(machine)),
        }));
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

    private sendTo(machine: PeerClient, groups: readonly StreamGroup[]): void {
        const message = this.trySend(machine, groups).then(isTaken => {
            this.sending.delete(message);
            if (!isTaken) {
                this.lacking.add(machine);
            }
        });
        this.sending.set(message, machine);
    }

    private async trySend(machine: PeerClient, groups: readonly StreamGroup[]): Promise<boolean> {
        for (let tries = 0; tries < maxSends; tries++) {
            try {
                await machine.notify({ kind: "recordStreams", groups }, sendTimeoutMs);
                return true;
            }
            catch (err) {
                this.logFailure("streams not recorded", machine, err);
            }
            await new Promise(resolve => setTimeout(resolve, resendDelayMs).unref());
        }
        return false;
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
