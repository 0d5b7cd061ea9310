/** Bytes in several buffers, which are shared rather than joined. */

/**
 * Immutable bytes. Load pattern: many calls continue one conversation of several megabytes; a joined copy for each of them, and another
 * one for each body that is sent, would take several times the memory of a small machine.
 */
export class ChunkedBytes {
    static readonly empty = new ChunkedBytes([]);

    /** Number of bytes. */
    readonly length: number;

    private constructor(readonly chunks: readonly Buffer[]) {
        let length = 0;
        for (const chunk of chunks) {
            length += chunk.length;
        }
        this.length = length;
    }

    /**
     * Returns the bytes of all parts in order, without copying them.
     *
     * @example
     * ChunkedBytes.of(history, Buffer.from("a question")).length;
     */
    static of(...parts: readonly (Buffer | ChunkedBytes)[]): ChunkedBytes {
        const chunks: Buffer[] = [];
        for (const part of parts) {
            if (part instanceof ChunkedBytes) {
                // Not spread, since the number of arguments of a call is limited.
                for (const chunk of part.chunks) {
                    chunks.push(chunk);
                }
            }
            else if (part.length > 0) {
                chunks.push(part);
            }
        }
        return new ChunkedBytes(chunks);
    }

    /** Returns the bytes from `start` to before `end`, without copying them. */
    subarray(start: number, end = this.length): ChunkedBytes {
        const chunks: Buffer[] = [];
        let offset = 0;
        for (const chunk of this.chunks) {
            const [from, to] = [Math.max(0, start - offset), Math.min(chunk.length, end - offset)];
            if (from < to) {
                chunks.push(chunk.subarray(from, to));
            }
            offset += chunk.length;
        }
        return new ChunkedBytes(chunks);
    }

    /** Returns the bytes in one buffer, which is a copy unless they are in one already. */
    toBuffer(): Buffer {
        return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks, this.length);
    }

    /** Whether the bytes are the same as others, however they are divided. */
    equals(other: Buffer | ChunkedBytes): boolean {
        return this.toBuffer().equals(other instanceof ChunkedBytes ? other.toBuffer() : other);
    }

    toString(encoding?: BufferEncoding): string {
        return this.toBuffer().toString(encoding);
    }
}
