/** Joins the small pieces in which the HTTP client hands over a reply. */

/** Size from which a piece is passed on as it is. */
const minKeptBytes = 4 * 1024;

const minSegmentBytes = 1024;
const maxSegmentBytes = 64 * 1024;

/**
 * Load pattern: upstreams whose replies come in chunks of a byte or so. The HTTP client hands over each chunk of a read as an
 * object of its own, some 10,000 of them, whose memory no bound on bytes counts. All that arrives in one read is passed on together.
 *
 * @example
 * const joiner = new PieceJoiner(piece => res.write(piece));
 * joiner.add(chunk);
 * joiner.flush(); // At the end; otherwise pieces are passed on after the read.
 */
export class PieceJoiner {
    /** A single small piece, which needs no copy. */
    private first: Buffer | undefined;
    private segment: Buffer | undefined;
    private usedBytes = 0;
    private isScheduled = false;

    constructor(private readonly onPiece: (piece: Buffer) => void) {}

    add(chunk: Buffer): void {
        if (chunk.length >= minKeptBytes) {
            this.flush();
            this.onPiece(chunk);
            return;
        }
        this.schedule();
        if (this.first === undefined && this.segment === undefined) {
            this.first = chunk;
            return;
        }
        if (this.first !== undefined) {
            const { first } = this;
            this.first = undefined;
            this.append(first);
        }
        this.append(chunk);
    }

    /** Passes on what has been added. */
    flush(): void {
        const piece = this.first ?? this.segment?.subarray(0, this.usedBytes);
        this.first = undefined;
        this.segment = undefined;
        this.usedBytes = 0;
        if (piece !== undefined) {
            this.onPiece(piece);
        }
    }

    private append(chunk: Buffer): void {
        if (this.segment === undefined || this.segment.length - this.usedBytes < chunk.length) {
            this.enlarge(chunk.length);
        }
        chunk.copy(this.segment!, this.usedBytes);
        this.usedBytes += chunk.length;
    }

    /** Doubles the segment, or passes it on if it is as large as may be. */
    private enlarge(bytes: number): void {
        if (this.usedBytes + bytes > maxSegmentBytes) {
            this.flush();
        }
        const size = Math.max(minSegmentBytes, 2 * (this.usedBytes + bytes));
        // Not from the runtime's pool, of which a small part would keep the whole.
        const segment = Buffer.allocUnsafeSlow(Math.min(maxSegmentBytes, size));
        this.segment?.copy(segment, 0, 0, this.usedBytes);
        this.segment = segment;
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            process.nextTick(() => {
                this.isScheduled = false;
                this.flush();
            });
        }
    }
}
