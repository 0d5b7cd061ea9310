/** Reads the body of a request into as little memory as it has bytes, within the bound for all input. */
import { ProblemError } from "@marigolddrift/common";
import type { IncomingMessage } from "node:http";

import { ChunkedBytes } from "../memory/chunkedBytes.js";
import type { ChunkPacer, PacedBody } from "./chunkPacer.js";
import type { HeldInput, InputMemory } from "./inputMemory.js";
import { ReadGate } from "./readGate.js";

/** Size from which a piece is kept as it is. Smaller ones are copied together: each would cost the runtime some 200 bytes. */
const minKeptBytes = 4 * 1024;

/** Size of the buffers for small pieces; the first ones of a body are smaller. */
const maxSegmentBytes = 64 * 1024;
const minSegmentBytes = 1024;

/** What the runtime needs for a request with its head and response, besides the bytes of the head. */
const requestBytes = 4 * 1024;

/** Memory for each buffer, besides its bytes. */
const bufferBytes = 256;

/**
 * Chunks of a body that may have any size: one read of a connection has some 10,000 of one byte. Beyond them the chunks of a body
 * need a mean size, or the body is read at the pace of such bodies. Each chunk takes some 2 µs, as long as copying several KB.
 */
const unpacedChunks = 4_096;
const minMeanChunkBytes = 256;

/** Time after which the caller of a refused request may retry it. */
const retryAfterSeconds = 1;

/** Reads one body; to be released when the call has ended. */
export class BodyReader {
    /** Set once the connection is not read any more, so that it must end after the answer. */
    isConnectionStopped = false;
    private readonly held: HeldInput;
    private readonly pieces: Buffer[] = [];
    private segment: Buffer | undefined;
    private segmentUsed = 0;
    private bytes = 0;
    private heldBytes: number;
    private error: Error | undefined;
    private reading: Promise<ChunkedBytes> | undefined;
    private stopReading: () => void = () => {};
    private isDiscarding = false;
    private arrivedBytes = 0;
    private chunks = 0;
    private readonly gate: ReadGate;
    private readonly paced: PacedBody;

    /** @param maxBytes Size up to which a body is read. */
    constructor(
        private readonly req: IncomingMessage,
        memory: InputMemory,
        private readonly pacer: ChunkPacer,
        private readonly maxBytes: number,
    ) {
        this.gate = ReadGate.of(req.socket);
        this.held = memory.hold({
            kind: "request",
            expectedBytes: expectedBytesOf(req),
            setPaused: isPaused => this.gate.set(this, isPaused),
            refuse: () => {
                this.fail(refusal());
                this.gate.set(this, false);
            },
        });
        this.paced = this.createPaced();
        this.heldBytes = requestBytes + req.rawHeaders.reduce((sum, text) => sum + text.length, 0);
        this.held.resize(this.heldBytes);
    }

    /**
     * Resolves to the whole body, which the bound counts but does not refuse from then on.
     *
     * @throws ProblemError `body_too_large`, or `input_refused` if there is too little memory for the input of all callers.
     */
    async read(): Promise<ChunkedBytes> {
        this.start();
        const body = await this.reading!;
        if (this.error !== undefined) {
            throw this.error;
        }
        this.held.keep();
        return body;
    }

    /**
     * Begins to read before the body is needed. Chunks that nobody reads are kept by the stream as an object each, which no bound
     * counts.
     */
    start(): void {
        if (this.reading === undefined) {
            this.reading = this.collect();
            // Without a handler, a failure before the body is awaited would be an unhandled rejection.
            this.reading.catch(() => {});
        }
    }

    /** Stops reading and frees the memory. */
    release(): void {
        this.discard();
        this.held.release();
    }

    private createPaced(): PacedBody {
        const reason = {};
        return {
            chunks: () => this.chunks,
            setPaused: isPaused => this.gate.set(reason, isPaused),
            refuse: () => {
                this.fail(refusal());
                this.held.release();
            },
        };
    }

    private collect(): Promise<ChunkedBytes> {
        const { req } = this;
        return new Promise((resolve, reject) => {
            const onEnd = (): void => {
                this.pacer.remove(this.paced);
                resolve(this.takePieces());
            };
            this.stopReading = () => {
                req.off("end", onEnd);
                if (this.error !== undefined) {
                    reject(this.error);
                }
            };
            if (this.error !== undefined) {
                reject(this.error);
                return;
            }
            req.on("data", (chunk: Buffer) => this.onData(chunk));
            req.on("end", onEnd);
            req.on("error", reject);
            // Until the first read, the stream would keep what arrives although there is a listener.
            req.read(0);
        });
    }

    private onData(chunk: Buffer): void {
        this.chunks += 1;
        this.arrivedBytes += chunk.length;
        if (!this.isDiscarding) {
            this.add(chunk);
        }
        if (this.isFragmented) {
            this.pace();
        }
    }

    /** Whether the body consists of chunks so small that the process would spend most of its time on them. */
    private get isFragmented(): boolean {
        return this.chunks > unpacedChunks + this.arrivedBytes / minMeanChunkBytes;
    }

    /** Lets others be served before the next read. What would be discarded anyway is not read at all. */
    private pace(): void {
        if (this.isDiscarding) {
            this.stopConnection();
        }
        else {
            // After each chunk the stream would resume the connection, which the gate would then pause again.
            this.req._read = () => {};
            this.pacer.pace(this.paced);
        }
    }

    private add(chunk: Buffer): void {
        if (this.bytes + chunk.length > this.maxBytes) {
            this.fail(
                new ProblemError("body_too_large", "notRun", `The body is larger than ${this.maxBytes} bytes.`),
            );
            this.held.release();
            return;
        }
        this.bytes += chunk.length;
        if (chunk.length >= minKeptBytes) {
            this.grow(chunk.length);
            this.closeSegment();
            this.keepPiece(chunk);
            return;
        }
        let rest = chunk;
        while (rest.length > 0 && this.error === undefined) {
            if (this.segment === undefined || this.segmentUsed === this.segment.length) {
                this.openSegment();
                continue;
            }
            const copied = rest.copy(this.segment, this.segmentUsed);
            this.segmentUsed += copied;
            rest = rest.subarray(copied);
        }
    }

    private openSegment(): void {
        this.closeSegment();
        const size = Math.min(maxSegmentBytes, Math.max(minSegmentBytes, this.bytes));
        this.grow(size);
        if (this.error === undefined) {
            // Not from the runtime's pool, of which a small part would keep the whole.
            this.segment = Buffer.allocUnsafeSlow(size);
            this.segmentUsed = 0;
        }
    }

    private closeSegment(): void {
        if (this.segment !== undefined) {
            this.keepPiece(this.segment.subarray(0, this.segmentUsed));
            this.segment = undefined;
        }
    }

    private keepPiece(piece: Buffer): void {
        if (this.error === undefined) {
            this.pieces.push(piece);
        }
    }

    private grow(bytes: number): void {
        this.heldBytes += bytes + bufferBytes;
        this.held.resize(this.heldBytes);
    }

    /** Not joined, which would need the memory of the whole a second time. */
    private takePieces(): ChunkedBytes {
        this.closeSegment();
        const body = ChunkedBytes.of(...this.pieces);
        this.clear();
        return body;
    }

    private fail(err: Error): void {
        this.error ??= err;
        this.discard();
    }

    private stopConnection(): void {
        this.isConnectionStopped = true;
        this.gate.close();
    }

    private discard(): void {
        this.isDiscarding = true;
        if (this.isFragmented && !this.req.complete) {
            this.stopConnection();
        }
        this.pacer.remove(this.paced);
        this.stopReading();
        this.clear();
    }

    private clear(): void {
        this.pieces.length = 0;
        this.segment = undefined;
    }
}

/** Undefined for a body in chunks. */
const expectedBytesOf = ({ headers }: IncomingMessage): number | undefined => {
    const length = headers["content-length"];
    return length === undefined ? undefined : requestBytes + Number(length);
};

const refusal = (): ProblemError =>
    new ProblemError("input_refused", "notRun", "There is too little memory for the requests of all callers.", {
        retryAfterSeconds,
    });
