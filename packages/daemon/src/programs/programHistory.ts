/** The message history of one program; a hash chain seeded with the program id detects lost or foreign messages. */
import { emptyHistoryDigest, extendHistoryDigest, historyDigests, ProblemError } from "@marigolddrift/common";
import type { Message } from "@marigolddrift/common";

/** State of a program's history on the instance that owns its slot. */
export class ProgramHistory {
    private length = 0;
    private newest: string;
    /** The messages, held so that callers can send only new ones; undefined if they are not held. */
    private messages: Message[] | undefined = [];
    private bytes = 0;
    private known: boolean;

    /** @param inherited Whether a previous owner may have added messages that are not known here. */
    constructor(private readonly programId: string, inherited: boolean) {
        this.newest = emptyHistoryDigest(programId);
        this.known = !inherited;
    }

    /** Creates the history that a previous owner handed over: its digest and length are known, but not its messages. */
    static fromHandover(programId: string, digest: string, length: number): ProgramHistory {
        const history = new ProgramHistory(programId, false);
        history.newest = digest;
        history.length = length;
        history.messages = length === 0 ? [] : undefined;
        return history;
    }

    /** Number of messages in the history; undefined if a previous owner may have added unknown ones. */
    get knownLength(): number | undefined {
        return this.known ? this.length : undefined;
    }

    /** Digest of the whole history. */
    get digest(): string {
        return this.newest;
    }

    /** Size of the messages that are held in memory. */
    get heldBytes(): number {
        return this.messages === undefined ? 0 : this.bytes;
    }

    /**
     * Verifies that messages extend the history; returns the whole conversation and the messages that are new.
     *
     * @param extend Digest of the history that the messages extend; undefined if they are the whole conversation.
     * @throws ProblemError `history_mismatch` or `send_in_full`.
     */
    resolve(
        messages: readonly Message[],
        extend: string | undefined,
    ): { conversation: readonly Message[]; newMessages: readonly Message[]; } {
        if (extend === undefined) {
            return this.resolveFull(messages);
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
        return { conversation: [...this.messages, ...messages], newMessages: messages };
    }

    /** Appends the messages and the answer of a successful call. */
    commit(conversation: readonly Message[], newMessages: readonly Message[], answer: Message): void {
        if (!this.known) {
            this.newest = extendHistoryDigest(emptyHistoryDigest(this.programId), conversation);
            this.bytes = encodedBytes(conversation);
        }
        else {
            this.newest = extendHistoryDigest(this.newest, newMessages);
            this.bytes += encodedBytes(newMessages);
        }
        this.known = true;
        this.newest = extendHistoryDigest(this.newest, [answer]);
        this.bytes += encodedBytes([answer]);
        this.messages = [...conversation, answer];
        this.length = this.messages.length;
    }

    /** Frees the messages; callers must send the whole conversation afterwards. */
    dropMessages(): void {
        this.messages = undefined;
    }

    private resolveFull(
        messages: readonly Message[],
    ): { conversation: readonly Message[]; newMessages: readonly Message[]; } {
        if (!this.known) {
            return { conversation: messages, newMessages: messages };
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
        return { conversation: messages, newMessages: messages.slice(this.length) };
    }
}

/** Size of messages as JSON, as they are sent to an engine. */
export const encodedBytes = (messages: readonly Message[]): number =>
    messages.reduce((sum, message) => sum + Buffer.byteLength(JSON.stringify(message)), 0);
