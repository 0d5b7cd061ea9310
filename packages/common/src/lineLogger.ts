/** Structured logs that never block: one JSON object a line, in a bounded buffer, written in the background. */
import { write } from "node:fs";

import type { Logger, LogLevel } from "./log.js";

/** Bytes that may wait to be written; lines beyond are dropped and counted. */
const maxBufferedBytes = 512 * 1024;

/** Pause after a write that could not be done at once, in milliseconds. */
const retryMs = 20;

type Fields = Readonly<Record<string, unknown>>;

/** Writes bytes somewhere and calls back with how many were taken. */
export type WriteFunction = (bytes: Buffer, done: (err: Error | undefined, written: number) => void) => void;

/** Writes to the standard output. */
export const writeToStdout: WriteFunction = (bytes, done) =>
    write(1, bytes, (err, written) => done(err ?? undefined, written));

/**
 * A logger for processes under load. When the reader is slow, whole lines are dropped; the next line that is written
 * says how many.
 *
 * @example
 * new LineLogger({ instance: "front-1" }).info("placed", { request: "9c41", worker: "i-7f3a" });
 */
export class LineLogger implements Logger {
    /** Lines that were dropped since the start. */
    dropped = 0;
    private reportedDropped = 0;
    private lines: string[] = [];
    private bufferedBytes = 0;
    private unwritten: Buffer | undefined;
    private writing = false;
    private readonly prefix: string;

    constructor(base: Fields, private readonly output: WriteFunction = writeToStdout) {
        this.prefix = JSON.stringify(base).slice(1, -1);
    }

    error(event: string, fields?: Fields): void {
        this.add("error", event, fields);
    }

    warn(event: string, fields?: Fields): void {
        this.add("warn", event, fields);
    }

    info(event: string, fields?: Fields): void {
        this.add("info", event, fields);
    }

    /** Debug lines are never written: under load they would displace the others. */
    debug(): void {}

    /** Waits until all lines are written, but no longer than a time in milliseconds. */
    async flush(timeoutMs: number): Promise<void> {
        const endsAt = performance.now() + timeoutMs;
        while ((this.writing || this.lines.length > 0) && performance.now() < endsAt) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    }

    private add(level: LogLevel, event: string, fields: Fields = {}): void {
        if (this.bufferedBytes > maxBufferedBytes) {
            this.dropped += 1;
            return;
        }
        const time = new Date().toISOString();
        const rest = JSON.stringify(fields).slice(1);
        const base = this.prefix === "" ? "" : `,${this.prefix}`;
        this.push(`{"time":"${time}","level":"${level}","event":"${event}"${base}${rest === "}" ? "}" : `,${rest}`}\n`);
    }

    private push(line: string): void {
        this.lines.push(line);
        this.bufferedBytes += line.length;
        if (!this.writing) {
            this.writing = true;
            setImmediate(() => this.drain());
        }
    }

    private drain(): void {
        this.reportDropped();
        const bytes = this.unwritten ?? Buffer.from(this.lines.splice(0).join(""));
        if (bytes.length === 0) {
            this.writing = false;
            return;
        }
        this.unwritten = bytes;
        this.output(bytes, (err, written) => this.onWritten(bytes, err, written));
    }

    private onWritten(bytes: Buffer, err: Error | undefined, written: number): void {
        if (err !== undefined) {
            // The reader is slow or gone; nobody is left to tell, and the bytes stay until the buffer is full.
            setTimeout(() => this.drain(), retryMs).unref();
            return;
        }
        this.bufferedBytes = Math.max(0, this.bufferedBytes - written);
        this.unwritten = written < bytes.length ? bytes.subarray(written) : undefined;
        this.drain();
    }

    private reportDropped(): void {
        if (this.dropped > this.reportedDropped && this.bufferedBytes <= maxBufferedBytes) {
            const lines = this.dropped - this.reportedDropped;
            this.reportedDropped = this.dropped;
            this.add("warn", "log lines dropped", { lines, reason: "the reader of the log is slow" });
        }
    }
}
