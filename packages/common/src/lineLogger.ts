/** Non-blocking structured logger: writes JSON lines asynchronously from a bounded buffer. */
import { write } from "node:fs";

import type { Logger, LogLevel } from "./log.js";

/** Buffer limit; lines beyond it are dropped and counted. */
const maxBufferedBytes = 512 * 1024;

/** Delay before a failed write is retried. */
const writeRetryDelayMs = 20;

type Fields = Readonly<Record<string, unknown>>;

/** Writes bytes to the log output and calls back with the number of bytes written. */
export type WriteFunction = (bytes: Buffer, done: (err: Error | undefined, written: number) => void) => void;

/** Writes to the standard output without blocking. */
export const writeToStdout: WriteFunction = (bytes, done) =>
    write(1, bytes, (err, written) => done(err ?? undefined, written));

/**
 * A logger for processes under load. When the output is read too slowly, whole lines are dropped, and their number is logged
 * as soon as the buffer has space again.
 *
 * @example
 * new LineLogger({ instance: "front-1" }).info("placed", { request: "9c41", worker: "i-7f3a" });
 */
export class LineLogger implements Logger {
    /** Number of lines dropped since the logger was created. */
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

    /** Discards debug lines: under load they would fill the buffer and displace other lines. */
    debug(): void {}

    /** Waits until all lines are written or the timeout has elapsed. */
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
            // The output is full or closed. The error cannot be logged; the bytes stay buffered and the write is retried.
            setTimeout(() => this.drain(), writeRetryDelayMs).unref();
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
            this.add("warn", "log lines dropped", { lines, reason: "log reader is too slow" });
        }
    }
}
