/** How answers reach the caller: whole, or as a stream. */
import type { ServerResponse } from "node:http";

import type { ReplyHead } from "../protocol.js";
import type { AnswerSink } from "../upstreams/attempt.js";
import { EventCollector } from "../upstreams/eventCollector.js";

/** Collects an answer; it is sent only once it is whole. */
export class WholeAnswer implements AnswerSink {
    private head: ReplyHead | undefined;
    private readonly chunks: Buffer[] = [];

    get status(): number | undefined {
        return this.head?.status;
    }

    onHead(head: ReplyHead): void {
        this.head = head;
        this.chunks.length = 0;
    }

    onData(chunk: Buffer): void {
        this.chunks.push(chunk);
    }

    /** Sends what was collected. */
    send(res: ServerResponse): void {
        const body = Buffer.concat(this.chunks);
        const { status, headers } = this.head!;
        const hasBody = status !== 204 && status !== 304;
        res.writeHead(status, [...headers, ...(hasBody ? ["Content-Length", String(body.length)] : [])]);
        res.end(body);
    }
}

/** Passes a stream on as it arrives; its end is left to the caller of this class. */
export class StreamedAnswer implements AnswerSink {
    readonly events = new EventCollector();
    /** Time of the monotonic clock at which the first data was passed on. */
    firstDataAt: number | undefined;
    private head: ReplyHead | undefined;

    constructor(private readonly res: ServerResponse) {}

    get status(): number | undefined {
        return this.head?.status;
    }

    get isSuccess(): boolean {
        return this.head !== undefined && this.head.status < 300;
    }

    onHead(head: ReplyHead): void {
        this.head = head;
    }

    onData(chunk: Buffer): void {
        this.begin();
        this.firstDataAt ??= performance.now();
        this.events.feed(chunk);
        this.res.write(chunk);
    }

    /** Ends the answer as complete. */
    end(): void {
        this.begin();
        this.res.end();
    }

    private begin(): void {
        if (!this.res.headersSent && !this.res.destroyed) {
            this.res.writeHead(this.head!.status, [...this.head!.headers]);
        }
    }
}
