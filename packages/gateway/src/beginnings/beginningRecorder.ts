/** Sends what one call passes on of a stream to the machines that hold it, event by event, without the caller waiting for that. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { StreamEvent, StreamPart } from "@marigolddrift/policy";

import type { PeerClient } from "../peers/peerClient.js";
import type { BeginningHolders } from "./beginningHolders.js";
import { eventBytes } from "./beginningRecords.js";
import type { BeginningRecords, PartUpdate } from "./beginningRecords.js";

/** Timeout of a message to a holder. */
const sendTimeoutMs = 400;

/** Pause before a part is sent again that a holder has not taken. */
const resendDelayMs = 100;

/** Times that a part is sent as a whole to a machine before another one gets it. */
const maxResends = 2;

/** Size of a part from which no more of it is recorded; it then can't be taken up after its last recorded event. */
const maxPartBytes = 1024 * 1024;

/** Dependencies of a {@link BeginningRecorder}. */
export interface BeginningRecorderOptions {
    readonly holders: Pick<BeginningHolders, "ranked" | "copies">;
    /** What this instance itself remembers. */
    readonly local: BeginningRecords;
    /** Time for which the stream can be taken up. */
    readonly keepMs: number;
    /** Whether this instance has stopped. */
    isClosed(): boolean;
    readonly log: Logger;
}

/** A machine that holds the part. */
interface Holder {
    readonly machine: PeerClient;
    /** Number of events that have been sent to it. */
    sent: number;
    resends: number;
}

/** Records the part of one call. */
export class BeginningRecorder {
    private readonly events: StreamEvent[];
    private holders: Holder[] | undefined;
    private bytes = 0;

    /** @param part What the caller had before the call. */
    constructor(private readonly options: BeginningRecorderOptions, private readonly part: StreamPart) {
        this.events = [...part.events];
    }

    /** Records the beginning of a stream that is taken up; resolves to whether another machine has it, as soon as one has. */
    async begin(): Promise<boolean> {
        this.options.local.add(this.updateFrom(0));
        const taken = this.chosen().map(async holder => {
            if (!await this.send(holder)) {
                throw new Error("not taken");
            }
        });
        return await Promise.any(taken).then(() => true, () => false);
    }

    /** Records events. To be called before they are passed on. */
    add(events: readonly StreamEvent[]): void {
        this.bytes += eventBytes(events);
        if (this.bytes > maxPartBytes || this.options.isClosed()) {
            return;
        }
        const from = this.events.length;
        this.events.push(...events);
        this.options.local.add(this.updateFrom(from));
        this.chosen().forEach(holder => void this.send(holder));
    }

    /** The machines that hold the part, which stay the same unless one of them does not take it. */
    private chosen(): readonly Holder[] {
        this.holders ??= [...this.choose()].map(createHolder);
        return this.holders;
    }

    /** Machines for the id of each call that may be named when the stream is taken up. */
    private choose(): Set<PeerClient> {
        const { holders } = this.options;
        const isUsable = (machine: PeerClient): boolean => machine.isUsable;
        return new Set(
            this.part.calls.flatMap(call => holders.ranked(call).filter(isUsable).slice(0, holders.copies)),
        );
    }

    private updateFrom(from: number): PartUpdate {
        const { calls, inherited } = this.part;
        return { calls, inherited, from, events: this.events.slice(from), keepMs: this.options.keepMs };
    }

    /** Sends what a holder has not been sent; resolves to whether it has taken it. */
    private async send(holder: Holder): Promise<boolean> {
        const update = this.updateFrom(holder.sent);
        holder.sent = this.events.length;
        try {
            if (await this.ask(holder, update) || await this.ask(holder, this.updateFrom(0))) {
                return true;
            }
        }
        catch (err) {
            const { calls } = this.part;
            this.options.log.info("beginning of a stream not recorded", {
                machine: holder.machine.name,
                stream: calls[0],
                error: asError(err).message,
            });
        }
        holder.sent = 0;
        setTimeout(() => void this.sendAgain(holder), resendDelayMs).unref();
        return false;
    }

    private async ask({ machine }: Holder, update: PartUpdate): Promise<boolean> {
        const progress = new Progress(sendTimeoutMs);
        try {
            return await machine.ask({ kind: "recordBeginning", update }, progress) === true;
        }
        finally {
            progress.dispose();
        }
    }

    /** Sends the whole part again, in the end to another machine. */
    private async sendAgain(holder: Holder): Promise<void> {
        // If another event has been sent since, all events have been with it.
        if (holder.sent > 0 || this.options.isClosed()) {
            return;
        }
        holder.resends += 1;
        if (holder.resends <= maxResends) {
            await this.send(holder);
            return;
        }
        const tried = this.chosen().map(({ machine }) => machine);
        const [first] = this.part.calls;
        const other = this.options.holders.ranked(first!).find(machine => machine.isUsable && !tried.includes(machine));
        if (other !== undefined) {
            const replacement = createHolder(other);
            this.holders = [...this.chosen().filter(known => known !== holder), replacement];
            await this.send(replacement);
        }
    }
}

const createHolder = (machine: PeerClient): Holder => ({ machine, sent: 0, resends: 0 });
