/** Bounds the memory that everything that callers send, or do not read, needs together. */

/** What holds memory: a request that is read, requests that wait behind others, a head, or an answer that is not read. */
export type InputKind = "request" | "pipelined" | "head" | "answer";

/** Share of the bound from which reading stops. The rest is for what small requests need meanwhile. */
const pausedShare = 3 / 4;

/** Size up to which an input is read on when reading stops for others, so that ordinary requests are served. */
const unpausedBytes = 64 * 1024;

/** Time for which reading stops before an input is refused to make room: running calls may free memory until then. */
const pauseMs = 250;

/** How an input is stopped or refused. */
export interface InputControl {
    readonly kind: InputKind;
    /** Size of the whole input, if that is known. */
    readonly expectedBytes?: number | undefined;
    /** Stops or resumes reading. Missing if there is nothing to be read. */
    setPaused?(isPaused: boolean): void;
    /** Called at most once, when the input is refused; its memory no longer counts. */
    refuse(): void;
}

/** The memory of one input. */
export interface HeldInput {
    /** Sets the present size. To be called before the memory is allocated. */
    resize(bytes: number): void;
    /** Counts the input from now on without refusing it, since its call may run. */
    keep(): void;
    /** The input needs no memory any more. */
    release(): void;
}

/** An input that was refused. */
export interface RefusedInput {
    readonly kind: InputKind;
    readonly bytes: number;
    readonly heldMs: number;
    /** Size of all inputs before the refusal. */
    readonly totalBytes: number;
}

/** Observes what is counted. */
export interface InputObserver {
    /** Called with the size of memory that is about to be allocated. */
    onAllocated?(bytes: number): void;
    onRefused?(input: RefusedInput): void;
}

interface Holder {
    readonly control: InputControl;
    readonly since: number;
    bytes: number;
    isRefusable: boolean;
}

/**
 * Load pattern: many callers whose requests are each within the limits, but are never completed, or whose answers are never
 * read. Together they would fill the memory of a small machine, and the calls of all others would end with the process.
 */
export class InputMemory {
    private readonly holders = new Set<Holder>();
    private readonly paused = new Set<Holder>();
    private totalBytes = 0;
    private timer: NodeJS.Timeout | undefined;
    /** The input that is read to its end although others are stopped. */
    private finishing: Holder | undefined;

    /** @param maxBytes Size of all inputs together beyond which inputs are refused. */
    constructor(
        private readonly maxBytes: number,
        private readonly observer: InputObserver = {},
        private readonly now: () => number = () => performance.now(),
    ) {}

    /** Size of all inputs, with what the runtime needs for them. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /** Number of inputs that are not read at present. */
    get pausedInputs(): number {
        return this.paused.size;
    }

    /**
     * Registers an input with size 0.
     *
     * @example
     * const held = memory.hold({ kind: "head", refuse: () => socket.destroy() });
     * held.resize(16_384);
     * held.release();
     */
    hold(control: InputControl): HeldInput {
        const holder: Holder = { control, since: this.now(), bytes: 0, isRefusable: true };
        this.holders.add(holder);
        return {
            resize: bytes => this.resize(holder, bytes),
            keep: () => this.keep(holder),
            release: () => this.release(holder),
        };
    }

    private resize(holder: Holder, bytes: number): void {
        if (!this.holders.has(holder)) {
            return;
        }
        const added = bytes - holder.bytes;
        if (added > 0) {
            this.observer.onAllocated?.(added);
        }
        this.totalBytes += added;
        holder.bytes = bytes;
        this.refuseUntil(this.maxBytes);
        const isTooMuch = this.totalBytes > this.pauseBytes && bytes > unpausedBytes;
        if (isTooMuch && holder.isRefusable && this.holders.has(holder)) {
            this.pauseUnlessFinishing(holder);
        }
        this.resumeIfRoom();
    }

    /** Whether an input is read to its end although others are stopped: one at a time, if there is room for the whole. */
    private mayFinish(holder: Holder): boolean {
        const { expectedBytes } = holder.control;
        if (this.finishing === holder || this.finishing !== undefined || expectedBytes === undefined) {
            return this.finishing === holder;
        }
        const fits = this.totalBytes + Math.max(0, expectedBytes - holder.bytes) <= this.maxBytes;
        this.finishing = fits ? holder : undefined;
        return fits;
    }

    private pauseUnlessFinishing(holder: Holder): void {
        if (this.mayFinish(holder)) {
            this.unpause(holder);
        }
        else {
            this.pause(holder);
        }
    }

    /** To be called when an input has arrived, or is no longer held: another one may be read to its end. */
    private onFinished(holder: Holder): void {
        if (this.finishing === holder) {
            this.finishing = undefined;
        }
        if (this.finishing === undefined) {
            const next = [...this.paused].find(paused => this.mayFinish(paused));
            if (next !== undefined) {
                this.unpause(next);
            }
        }
    }

    private unpause(holder: Holder): void {
        if (this.paused.delete(holder)) {
            holder.control.setPaused?.(false);
        }
    }

    private keep(holder: Holder): void {
        holder.isRefusable = false;
        this.unpause(holder);
        this.onFinished(holder);
    }

    private release(holder: Holder): void {
        if (!this.holders.delete(holder)) {
            return;
        }
        this.totalBytes -= holder.bytes;
        this.unpause(holder);
        this.onFinished(holder);
        this.resumeIfRoom();
    }

    private get pauseBytes(): number {
        return this.maxBytes * pausedShare;
    }

    private pause(holder: Holder): void {
        if (holder.control.setPaused !== undefined && !this.paused.has(holder)) {
            this.paused.add(holder);
            holder.control.setPaused(true);
            this.startTimer();
        }
    }

    private startTimer(): void {
        this.timer ??= setTimeout(() => this.onPausedLong(), pauseMs).unref();
    }

    private onPausedLong(): void {
        this.timer = undefined;
        if (this.paused.size > 0) {
            this.refuseHopeless();
            this.refuseUntil(this.pauseBytes);
            this.resumeIfRoom();
        }
        if (this.paused.size > 0) {
            this.startTimer();
        }
    }

    /** Refuses what would not fit beside the input of running calls, even if it were alone. */
    private refuseHopeless(): void {
        const running = [...this.holders].filter(({ isRefusable }) => !isRefusable);
        const runningBytes = running.reduce((sum, { bytes }) => sum + bytes, 0);
        for (const holder of [...this.paused]) {
            if (runningBytes + (holder.control.expectedBytes ?? 0) > this.maxBytes) {
                this.refuse(holder);
            }
        }
    }

    private resumeIfRoom(): void {
        if (this.paused.size === 0 || this.totalBytes > this.pauseBytes) {
            return;
        }
        const resumed = [...this.paused];
        this.paused.clear();
        resumed.forEach(({ control }) => control.setPaused?.(false));
    }

    /** Refuses inputs until the others fit, or none is left that may be refused. */
    private refuseUntil(maxBytes: number): void {
        while (this.totalBytes > maxBytes) {
            const largest = this.findLargestHold();
            if (largest === undefined) {
                return;
            }
            this.refuse(largest);
        }
    }

    private refuse(holder: Holder): void {
        const { control: { kind }, bytes, since } = holder;
        const refused = { kind, bytes, heldMs: Math.round(this.now() - since), totalBytes: this.totalBytes };
        this.holders.delete(holder);
        this.paused.delete(holder);
        this.totalBytes -= bytes;
        this.observer.onRefused?.(refused);
        holder.control.refuse();
        this.onFinished(holder);
    }

    /** The refusable input with the largest product of its size and the time for which it has been held. */
    private findLargestHold(): Holder | undefined {
        const now = this.now();
        // An input that has just begun counts, too: one that is too large by itself must be found.
        const score = ({ bytes, since }: Holder): number => bytes * (now - since + 1);
        let largest: Holder | undefined;
        for (const holder of this.holders) {
            const isCandidate = holder.isRefusable && holder.bytes > 0;
            if (isCandidate && (largest === undefined || score(holder) > score(largest))) {
                largest = holder;
            }
        }
        return largest;
    }
}
