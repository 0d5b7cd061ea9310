/** Questions to one peer over a WebSocket connection, which is opened when it is first needed. */
import { ProblemError, Progress } from "@marigolddrift/common";
import { HistoryGoneError, StoreError } from "@marigolddrift/store";
import { Packr } from "msgpackr";
import { WebSocket } from "ws";

import { peerName } from "./peerMessages.js";
import type { AnswerFrame, JournalQuestion, PeerAddress, PeerAnswers, PeerQuestion } from "./peerMessages.js";

/** Time to open a connection, in milliseconds: a busy process is slow with it, and questions do not wait for all of it. */
const handshakeTimeoutMs = 2_000;

/** Time after a first failure in which the peer is not tried again, in milliseconds; it doubles with each further one. */
const pauseMs = 1_000;

/** Longest such time, in milliseconds. */
const maxPauseMs = 16_000;

/** Time for which a peer that had no answer from the store is not asked for one again, in milliseconds. */
const relayPauseMs = 2_000;

/** Shortest unanswered wait that counts as a sign that the peer is gone, in milliseconds. */
const silenceMs = 150;

type Question = PeerQuestion | JournalQuestion;

interface Pending {
    resolve(value: unknown): void;
    reject(err: Error): void;
}

/** Whether a wait ended by its deadline, and not because another way had answered. */
const isDeadline = (reason: unknown): boolean => reason instanceof ProblemError && reason.code === "deadline_exceeded";

/** A connection to one peer. */
export class PeerClient {
    private readonly packr = new Packr({ useRecords: false });
    private readonly pending = new Map<number, Pending>();
    private socket: WebSocket | undefined;
    private opening: Promise<WebSocket> | undefined;
    private nextId = 1;
    private failures = 0;
    private usableFrom = -Infinity;
    private relaysFrom = -Infinity;
    /** Time of the monotonic clock at which the peer last sent anything, in milliseconds. */
    private lastFrameAt = -Infinity;

    constructor(readonly address: PeerAddress, private readonly key: () => string | undefined) {}

    /** Whether the peer may be asked now. */
    get isUsable(): boolean {
        return performance.now() >= this.usableFrom;
    }

    /** Whether the peer may be asked to call the store: the store may turn it away as well. */
    get mayRelay(): boolean {
        return this.isUsable && performance.now() >= this.relaysFrom;
    }

    /** Notes that the peer had no answer from the store. */
    onRelayFailed(): void {
        this.relaysFrom = performance.now() + relayPauseMs;
    }

    /** Host and port, which stay the same when the peer restarts. */
    get name(): string {
        return peerName(this.address);
    }

    /** Opens the connection before a question needs it; a failure only keeps questions from the peer for a while. */
    async prepare(): Promise<void> {
        await this.connect().catch(() => {
            // `onFailure` has noted it, and the next question that needs the peer says so in the log.
        });
    }

    /** Whether a question would not have to open a connection. */
    get isConnected(): boolean {
        return this.socket?.readyState === WebSocket.OPEN;
    }

    get isOpening(): boolean {
        return this.opening !== undefined;
    }

    /** Tells the peer something that the teller does not wait for. */
    async tell(question: Question, timeoutMs: number): Promise<void> {
        const progress = new Progress(timeoutMs);
        try {
            await this.ask(question, progress);
        }
        finally {
            progress.dispose();
        }
    }

    /** Asks the peer. @throws StoreError if it does not answer. */
    async ask<K extends Question["kind"]>(
        question: Extract<Question, { kind: K; }>,
        progress: Progress,
    ): Promise<PeerAnswers[K]> {
        const id = this.nextId++;
        const startedAt = performance.now();
        let sentAt: number | undefined;
        try {
            const socket = await progress.race(this.connect());
            const answer = new Promise<unknown>((resolve, reject) => this.pending.set(id, { resolve, reject }));
            socket.send(this.packr.pack({ id, leftMs: progress.leftMs, question }));
            sentAt = performance.now();
            const value = await progress.race(answer) as PeerAnswers[K];
            this.failures = 0;
            return value;
        }
        catch (err) {
            if (isDeadline(progress.signal.reason) && performance.now() - (sentAt ?? startedAt) >= silenceMs) {
                this.onSilent(sentAt);
            }
            throw err;
        }
        finally {
            this.pending.delete(id);
        }
    }

    close(): void {
        this.socket?.terminate();
    }

    /**
     * A connection that gave no answer may be dead without a reset; the next question opens a new one. A peer that has sent
     * something else since the question is only slow, and a connection that is being opened may still become one.
     *
     * @param sentAt Time at which the question was sent; undefined if there was no connection yet.
     */
    private onSilent(sentAt: number | undefined): void {
        if (sentAt === undefined) {
            this.usableFrom = performance.now() + pauseMs;
        }
        else if (this.lastFrameAt < sentAt) {
            this.onFailure();
            this.socket?.terminate();
        }
    }

    private onFailure(): void {
        this.usableFrom = performance.now() + Math.min(maxPauseMs, pauseMs * 2 ** this.failures);
        this.failures += 1;
    }

    private connect(): Promise<WebSocket> {
        if (this.socket !== undefined && this.isConnected) {
            return Promise.resolve(this.socket);
        }
        this.opening ??= this.open().finally(() => this.opening = undefined);
        return this.opening;
    }

    private open(): Promise<WebSocket> {
        const { host, port } = this.address;
        const socket = new WebSocket(`ws://${host}:${port}/peer`, {
            handshakeTimeout: handshakeTimeoutMs,
            perMessageDeflate: false,
            headers: { authorization: `Bearer ${this.key() ?? ""}` },
        });
        return new Promise((resolve, reject) => {
            socket.on("open", () => {
                this.socket = socket;
                this.usableFrom = -Infinity;
                resolve(socket);
            });
            socket.on("message", (data: Buffer) => this.onAnswer(this.packr.unpack(data) as AnswerFrame));
            socket.on("error", err => {
                this.onFailure();
                reject(new StoreError("no", `peer ${this.address.instance} is not reachable`, err));
            });
            socket.on("close", () => this.onClosed(socket));
        });
    }

    private onAnswer(frame: AnswerFrame): void {
        this.lastFrameAt = performance.now();
        const pending = this.pending.get(frame.id);
        if (frame.error === undefined) {
            pending?.resolve(frame.value);
            return;
        }
        const err = frame.error.name === "historyGone" ?
            new HistoryGoneError(0) :
            new StoreError("unknown", `peer ${this.address.instance}: ${frame.error.detail}`);
        pending?.reject(err);
    }

    private onClosed(socket: WebSocket): void {
        if (this.socket === socket) {
            this.socket = undefined;
        }
        const err = new StoreError("unknown", `the connection to peer ${this.address.instance} was lost`);
        this.pending.forEach(pending => pending.reject(err));
    }
}
