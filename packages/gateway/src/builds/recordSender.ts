/**
 * Sends the records of streams to the machines that hold them, without callers waiting for them. A holder that does not take a message in
 * several tries gets all records again later.
 */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { StreamGroup } from "../peers/peerMessages.js";
import type { BuildHolders } from "./buildHolders.js";
import type { BuildRecords } from "./buildRecords.js";

/** Time for which records are collected into one message for each holder. */
const sendDelayMs = 10;

/** Timeout of a message to a holder. */
const sendTimeoutMs = 1_000;

/** Times that records are sent to a machine that does not take them, and pause between. */
const maxSends = 3;
const resendDelayMs = 250;

/** Time between two log lines about holders that did not respond. */
const failureLogIntervalMs = 5_000;

/** Dependencies of a {@link RecordSender}. */
export interface RecordSenderOptions {
    readonly holders: Pick<BuildHolders, "of" | "copies" | "version">;
    /** All streams that are remembered here. */
    readonly local: Pick<BuildRecords, "idsByBuild" | "size">;
    readonly log: Logger;
}

/** Sends the records of one instance. */
export class RecordSender {
    private readonly unsent = new Map<string, Set<string>>();
    /** Services of which the streams from before have been recorded, too. */
    private readonly recordedServices = new Set<string>();
    private recordedVersion = -1;
    /** Messages to holders that have not ended yet. */
    private readonly sending = new Map<Promise<void>, PeerClient>();
    /** Holders that did not take a message in all its tries, and so lack records. */
    private readonly lacking = new Set<PeerClient>();
    private timer: NodeJS.Timeout | undefined;
    private failureLoggedAt = -Infinity;

    constructor(private readonly options: RecordSenderOptions) {}

    /** Adds the record of a stream to the next message. */
    queue(streamId: string, service: string, build: string | undefined): void {
        const group = JSON.stringify({ service, build });
        const ids = this.unsent.get(group) ?? new Set<string>();
        this.unsent.set(group, ids);
        ids.add(streamId);
        this.timer ??= setTimeout(() => this.send(), sendDelayMs);
    }

    /** Records all streams of a service, once; again when the machines have changed: one that has started again has lost its records. */
    recordAll(service: string): void {
        const { holders, local } = this.options;
        if (this.recordedVersion !== holders.version) {
            this.recordedVersion = holders.version;
            this.recordedServices.clear();
            this.lacking.clear();
        }
        if (this.recordedServices.has(service)) {
            return;
        }
        this.recordedServices.add(service);
        for (const [build, ids] of local.idsByBuild(service)) {
            ids.forEach(id => this.queue(id, service, build));
        }
    }

    /** Called when a single build can have begun the streams of a service again. */
    onSingleBuild(service: string): void {
        this.recordedServices.delete(service);
    }

    /** Sends all records again to the holders that lack some. */
    sendLacking(): void {
        for (const machine of this.lacking) {
            this.lacking.delete(machine);
            this.sendTo(machine, [...this.recordedServices].flatMap(service => this.groupsOf(service, machine)));
        }
    }

    /**
     * Sends what is queued, and waits for all messages that have been sent.
     *
     * @returns Whether at least one holder of each record has taken it.
     */
    async flush(): Promise<boolean> {
        clearTimeout(this.timer);
        this.send();
        const sending = new Map(this.sending);
        sending.forEach((_, message) => void message.then(() => sending.delete(message)));
        while (sending.size > 0 && !this.areRecorded(sending)) {
            await Promise.race(sending.keys());
        }
        return this.areRecorded(sending);
    }

    close(): void {
        clearTimeout(this.timer);
    }

    /** Whether so few holders lack records that another one has each of them. */
    private areRecorded(sending: ReadonlyMap<unknown, PeerClient>): boolean {
        const { holders, local } = this.options;
        return local.size === 0 || new Set([...this.lacking, ...sending.values()]).size < holders.copies;
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

    /** The records of a service that a machine holds. */
    private groupsOf(service: string, machine: PeerClient): StreamGroup[] {
        return [...this.options.local.idsByBuild(service)].map(([build, ids]) => ({
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

    private logFailure(event: string, machine: PeerClient, err: unknown): void {
        if (performance.now() - this.failureLoggedAt > failureLogIntervalMs) {
            this.failureLoggedAt = performance.now();
            this.options.log.info(event, { machine: machine.name, error: asError(err).message });
        }
    }
}
