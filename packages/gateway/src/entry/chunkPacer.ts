/** Bounds the processor time that bodies in very small chunks take together. */

/** Number of bodies in very small chunks that may be in progress. Each waits for the others between two of its reads. */
const maxBodies = 16;

/** Time that the process has for other work after each read, as a multiple of the time that the read took. */
const restFactor = 1;

const minRestMs = 1;

/** A body in very small chunks. */
export interface PacedBody {
    /** Number of chunks that have arrived. */
    chunks(): number;
    /** Stops or resumes reading. */
    setPaused(isPaused: boolean): void;
    /** Called at most once, when there are too many such bodies. */
    refuse(): void;
}

/** A body that was refused. */
export interface RefusedBody {
    readonly chunks: number;
    readonly heldMs: number;
    /** Number of bodies before the refusal. */
    readonly bodies: number;
}

/**
 * Load pattern: many callers with bodies in chunks of a byte or so. One read of 64 KB then has some 10,000 chunks, each of which
 * the HTTP parser hands over as an object of its own, whether or not reading has been stopped meanwhile. Such bodies are read in
 * turn, one read at a time, so that other requests are served between any two of these reads.
 */
export class ChunkPacer {
    private readonly sinces = new Map<PacedBody, number>();
    /** Bodies that are not read at present, in the order in which they are read next. */
    private readonly waiting = new Set<PacedBody>();
    private isScheduled = false;
    private isOldestNext = false;

    constructor(
        private readonly onRefused: (body: RefusedBody) => void = () => {},
        private readonly now: () => number = () => performance.now(),
    ) {}

    /** Number of bodies in very small chunks in progress. */
    get size(): number {
        return this.sinces.size;
    }

    /**
     * Stops reading a body until its turn has come. To be called with each chunk. If there are too many bodies, the one with the
     * most chunks for the longest time is refused.
     *
     * @example
     * pacer.pace(body); // Calls `body.setPaused(true)`, and later `body.setPaused(false)`.
     * pacer.remove(body);
     */
    pace(body: PacedBody): void {
        if (this.waiting.has(body)) {
            return;
        }
        if (!this.sinces.has(body)) {
            this.sinces.set(body, this.now());
        }
        this.waiting.add(body);
        body.setPaused(true);
        if (this.sinces.size > maxBodies) {
            this.refuseWorst();
        }
        this.schedule();
    }

    /** Forgets a body that has arrived whole, or is not read any more. */
    remove(body: PacedBody): void {
        this.sinces.delete(body);
        if (this.waiting.delete(body)) {
            body.setPaused(false);
        }
    }

    private refuseWorst(): void {
        const now = this.now();
        const score = ([body, since]: [PacedBody, number]): number => body.chunks() * (now - since + 1);
        const [body, since] = [...this.sinces].reduce((worst, other) => score(other) > score(worst) ? other : worst);
        const refused = { chunks: body.chunks(), heldMs: Math.round(now - since), bodies: this.sinces.size };
        this.sinces.delete(body);
        this.waiting.delete(body);
        this.onRefused(refused);
        body.refuse();
    }

    /** Reads the next body after a rest that follows the reads of this turn of the event loop. */
    private schedule(): void {
        if (this.isScheduled || this.waiting.size === 0) {
            return;
        }
        this.isScheduled = true;
        const startedAt = this.now();
        setImmediate(() => {
            const restMs = Math.max(minRestMs, restFactor * (this.now() - startedAt));
            setTimeout(() => this.resumeNext(), restMs).unref();
        });
    }

    private resumeNext(): void {
        this.isScheduled = false;
        const body = this.findNext();
        if (body !== undefined) {
            this.waiting.delete(body);
            body.setPaused(false);
        }
        this.schedule();
    }

    /** Every other read is one of the oldest body: if all advanced alike, all would reach their deadlines at the same time. */
    private findNext(): PacedBody | undefined {
        this.isOldestNext = !this.isOldestNext;
        const [next] = this.waiting;
        return this.isOldestNext ? [...this.sinces.keys()].find(body => this.waiting.has(body)) : next;
    }
}
