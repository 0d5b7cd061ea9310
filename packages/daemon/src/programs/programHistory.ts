/** The history of one program: never lost, and never mixed with another's. */
import { emptyHistoryDigest, extendHistoryDigest, historyDigests, ProblemError } from "@marigolddrift/common";
import type { Message } from "@marigolddrift/common";

/** What the owner knows of a program's history. */
export class ProgramHistory {
    private length = 0;
    private newest: string;
    /** Messages, kept so that callers can send only what is new. */
    private messages: Message[] | undefined = [];
    private bytes = 0;
    private known: boolean;

    /** @param inherited Whether a former owner may have added messages that are not known here. */
    constructor(private readonly programId: string, inherited: boolean) {
        this.newest = emptyHistoryDigest(programId);
        this.known = !inherited;
    }

    /** A history that a former owner handed over: its digest and length are known, its messages are not held. */
    static handedOver(programId: string, digest: string, length: number): ProgramHistory {
        const history = new ProgramHistory(programId, false);
        history.newest = digest;
        history.length = length;
        history.messages = length === 0 ? [] : undefined;
        return history;
    }

    /** Number of messages in the history; undefined if a former owner may have added some. */
    get knownLength(): number | undefined {
        return this.known ? this.length : undefined;
    }

    /** Digest of the whole history. */
    get digest(): string {
        return this.newest;
    }

    /** Bytes of the messages that are held. */
    get heldBytes(): number {
        return this.messages === undefined ? 0 : this.bytes;
    }

    /**
     * Checks that messages extend the history, and returns the whole conversation.
     *
     * @param extend Digest that the messages extend; undefined if they are the whole conversation.
     * @throws ProblemError `history_mismatch` or `send_in_full`.
     */
    resolve(
        messages: readonly Message[],
        extend: string | undefined,
    ): { all: readonly Message[]; fresh: readonly Message[]; } {
        if (extend === undefined) {
            return this.resolveWhole(messages);
        }
        if (!this.known || this.messages === undefined) {
            throw new ProblemError("send_in_full", "notRun", "The earlier messages are not held by this instance.");
        }
        if (extend !== this.newest) {
            throw new ProblemError(
                "history_mismatch",
                "notRun",
                `The history's digest is ${this.newest}, not ${extend}.`,
            );
        }
        return { all: [...this.messages, ...messages], fresh: messages };
    }

    /** Adds messages after a call has succeeded. */
    commit(all: readonly Message[], fresh: readonly Message[], answer: Message): void {
        if (!this.known) {
            this.newest = extendHistoryDigest(emptyHistoryDigest(this.programId), all);
            this.bytes = sizeOf(all);
        }
        else {
            this.newest = extendHistoryDigest(this.newest, fresh);
            this.bytes += sizeOf(fresh);
        }
        this.known = true;
        this.newest = extendHistoryDigest(this.newest, [answer]);
        this.bytes += sizeOf([answer]);
        this.messages = [...all, answer];
        this.length = this.messages.length;
    }

    /** Frees the messages; callers must then send the whole conversation. */
    dropMessages(): void {
        this.messages = undefined;
    }

    private resolveWhole(messages: readonly Message[]): { all: readonly Message[]; fresh: readonly Message[]; } {
        if (!this.known) {
            return { all: messages, fresh: messages };
        }
        if (messages.length <= this.length && this.length > 0) {
            throw new ProblemError(
                "history_mismatch",
                "notRun",
                `The history has ${this.length} messages; add to them.`,
            );
        }
        const digest = historyDigests(this.programId, messages.slice(0, this.length)).at(-1);
        if (digest !== this.newest) {
            throw new ProblemError("history_mismatch", "notRun", "The messages do not extend this program's history.");
        }
        return { all: messages, fresh: messages.slice(this.length) };
    }
}

/** Bytes of messages as they are sent to an engine. */
export const sizeOf = (messages: readonly Message[]): number =>
    messages.reduce((sum, message) => sum + Buffer.byteLength(JSON.stringify(message)), 0);
