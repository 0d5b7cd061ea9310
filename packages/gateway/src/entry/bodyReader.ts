/** Reads the body of a request into as little memory as it has bytes, within the bound for all input. */
import { ProblemError } from "@marigolddrift/common";
import type { IncomingMessage } from "node:http";

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

/** Time after which the caller of a refused request may retry it. */
const retryAfterSeconds = 1;

/** Reads one body; to be released when the call has ended. */
export class BodyReader {
    private readonly held: HeldInput;
    private readonly pieces: Buffer[] = [];
    private segment: Buffer | undefined;
    private segmentUsed = 0;
    private bytes = 0;
    private heldBytes: number;
    private error: Error | undefined;
    private reading: Promise<Buffer> | undefined;
    private stopReading: () => void = () => {};

    /** @param maxBytes Size up to which a body is read. */
    constructor(private readonly req: IncomingMessage, memory: InputMemory, private readonly maxBytes: number) {
        const gate = ReadGate.of(req.socket);
        this.held = memory.hold({
            kind: "request",
            setPaused: isPaused => gate.set(this, isPaused),
            refuse: () => {
                this.fail(refusal());
                gate.set(this, false);
            },
        });
        this.heldBytes = requestBytes + req.rawHeaders.reduce((sum, text) => sum + text.length, 0);
        this.held.resize(this.heldBytes);
    }

    /**
     * Resolves to the whole body, which the bound counts but does not refuse from then on.
     *
     * @throws ProblemError `body_too_large`, or `input_refused` if there is too little memory for the input of all callers.
     */
    async read(): Promise<Buffer> {
        this.start();
        const body = await this.reading!;
        if (this.error !== undefined) {
            throw this.error;
        }
        this.held.keep();
        return body;
    }

    /** Begins to read before the body is needed. */
    start(): void {
        if (this.reading === undefined) {
            this.reading = this.collect();
            // Nobody may wait for the body yet.
            this.reading.catch(() => {});
        }
    }

    /** Stops reading and frees the memory. */
    release(): void {
        this.stopReading();
        this.clear();
        this.held.release();
    }

    private collect(): Promise<Buffer> {
        const { req } = this;
        return new Promise((resolve, reject) => {
            const onData = (chunk: Buffer): void => this.add(chunk);
            const onEnd = (): void => resolve(this.join());
            this.stopReading = () => {
                req.off("data", onData);
                req.off("end", onEnd);
                if (this.error !== undefined) {
                    reject(this.error);
                }
            };
            if (this.error !== undefined) {
                reject(this.error);
                return;
            }
            req.on("data", onData);
            req.on("end", onEnd);
            req.on("error", reject);
        });
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

    private join(): Buffer {
        this.closeSegment();
        if (this.pieces.length === 1) {
            return this.pieces[0]!;
        }
        // For a moment there are both the pieces and the whole.
        const piecesBytes = this.heldBytes;
        this.grow(this.bytes);
        const body = this.error === undefined ? Buffer.concat(this.pieces, this.bytes) : Buffer.alloc(0);
        this.clear();
        this.heldBytes = Math.min(piecesBytes, requestBytes + this.bytes);
        this.held.resize(this.heldBytes);
        return body;
    }

    private fail(err: Error): void {
        this.error ??= err;
        this.stopReading();
        this.clear();
    }

    private clear(): void {
        this.pieces.length = 0;
        this.segment = undefined;
    }
}

const refusal = (): ProblemError =>
    new ProblemError("input_refused", "notRun", "There is too little memory for the requests of all callers.", {
        retryAfterSeconds,
    });
