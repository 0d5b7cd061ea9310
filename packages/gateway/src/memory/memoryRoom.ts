/** Bounds the memory of one kind of thing that calls hold. What finds no room waits for it, or is refused before it has waited in vain. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";

/** Size up to which a request does not wait behind larger ones, so that ordinary calls notice nothing of these. */
export const smallBytes = 64 * 1024;

/** Room beyond the bound for small requests, as a share of it. */
const smallOverdraft = 1 / 4;

/** Time for which room is held, until it has been measured. */
const initialHoldMs = 500;

/** Least expected wait for room that is held by few, as a share of the time for which they hold it. */
const minWaitShare = 1 / 2;

/** Weight of a new measurement in the mean time for which room is held. */
const holdWeight = 0.2;

const minRetryAfterSeconds = 0.1;

/** Time beyond its Retry-After for which a refused caller keeps its place in the line. */
const placeKeptMs = 2_000;

/** Number of refused callers whose place is remembered. */
const maxPlaces = 1_000;

/** Memory that is held until it is released. */
export interface HeldRoom {
    /** Changes the size; does not wait. */
    readonly resize: (bytes: number) => void;
    readonly release: () => void;
}

/** A request for room. */
export interface RoomRequest {
    /** Returns the size that is needed; asked again whenever room has become free. */
    bytes(): number;
    /** Called once there is room, to use what is in memory already; returns the size of the rest. */
    readonly take?: () => number;
    /** Requests of one name are served in order, those of several names in turn. */
    readonly group: string;
    /** Name by which the request is recognized when its caller, once refused, comes again. */
    readonly key: string;
    /** Longest time that the caller can wait and still be served. */
    readonly maxWaitMs: number;
}

/** What can be given up to make room. */
export interface Reclaimable {
    readonly reclaimableBytes: number;
    /** Gives up at least this size, or all. */
    reclaim(bytes: number): void;
}

interface Waiting {
    readonly request: RoomRequest;
    readonly askedAt: number;
    readonly onRoom: (room: HeldRoom) => void;
}

interface Place {
    readonly askedAt: number;
    readonly keptUntil: number;
}

/**
 * Load pattern: conversations of several megabytes that many calls continue at once. Each is legal and can be served, but not all at the
 * same moment on a small machine.
 */
export class MemoryRoom {
    /** Set by the owner of what is kept only for speed. */
    reclaimable: Reclaimable = { reclaimableBytes: 0, reclaim: () => {} };
    private heldTotal = 0;
    private readonly waiting: Waiting[] = [];
    /** Number of the last grant of each group that waits. */
    private readonly lastGrants = new Map<string, number>();
    private grants = 0;
    private holdMs = initialHoldMs;
    /** Places of refused callers by key, the oldest first. */
    private readonly places = new Map<string, Place>();
    private isGranting = false;

    /** @param onAllocated Called with the size of memory that is about to be allocated. */
    constructor(
        readonly maxBytes: number,
        private readonly onAllocated: (bytes: number) => void = () => {},
        private readonly now: () => number = () => performance.now(),
    ) {}

    /** Size of all that is held. */
    get heldBytes(): number {
        return this.heldTotal;
    }

    /** Number of requests that wait. */
    get waitingRequests(): number {
        return this.waiting.length;
    }

    /** Whether memory of a size fits beside what is held, if all that can be given up is. */
    fits(bytes: number): boolean {
        return this.heldTotal - this.reclaimable.reclaimableBytes + bytes <= this.maxBytes;
    }

    /** Counts memory that is needed in any case. */
    hold(bytes: number): HeldRoom {
        let size = 0;
        let isHeld = true;
        const resize = (next: number): void => {
            const added = next - size;
            if (isHeld && added !== 0) {
                size = next;
                if (added > 0) {
                    this.onAllocated(added);
                }
                this.heldTotal += added;
                this.reclaimExcess();
                if (added < 0) {
                    this.grantWaiting();
                }
            }
        };
        resize(bytes);
        return {
            resize,
            release: () => {
                resize(0);
                isHeld = false;
            },
        };
    }

    /**
     * Resolves once there is room.
     *
     * @throws ProblemError `input_refused` if the caller had to wait for too long; it names when to come again.
     * @example
     * const room = await memory.acquire({ bytes: () => 7_000_000, group: "w", key: "turn-1", maxWaitMs: 2_000 }, progress);
     * room.release();
     */
    async acquire(request: RoomRequest, progress: Progress): Promise<HeldRoom> {
        const bytes = request.bytes();
        if (this.mayPassLine(bytes)) {
            return this.grant(request);
        }
        const askedAt = this.takePlace(request.key);
        const expectedMs = this.expectedWaitMs(bytes, askedAt);
        if (expectedMs > request.maxWaitMs) {
            throw this.refusal(request, askedAt, expectedMs);
        }
        return await this.wait(request, askedAt, progress);
    }

    /** Reports the time for which a large request kept its room; expected waits follow from that. */
    recordHold(ms: number): void {
        this.holdMs += (ms - this.holdMs) * holdWeight;
    }

    /** To be called when more can be given up than before. */
    onReclaimable(): void {
        this.reclaimExcess();
        this.grantWaiting();
    }

    private mayPassLine(bytes: number): boolean {
        const isSmall = bytes <= smallBytes && this.fits(bytes - this.maxBytes * smallOverdraft);
        return bytes <= 0 || isSmall || (this.waiting.length === 0 && this.fitsOrIsAlone(bytes));
    }

    /** What is too large by itself is served when it is alone. */
    private fitsOrIsAlone(bytes: number): boolean {
        return this.fits(bytes) || this.heldTotal <= this.reclaimable.reclaimableBytes;
    }

    private async wait(request: RoomRequest, askedAt: number, progress: Progress): Promise<HeldRoom> {
        let granted: HeldRoom | undefined;
        let onRoom: (room: HeldRoom) => void = () => {};
        const room = new Promise<HeldRoom>(resolve => onRoom = resolve);
        const waiting: Waiting = {
            request,
            askedAt,
            onRoom: held => {
                granted = held;
                onRoom(held);
            },
        };
        this.waiting.push(waiting);
        const limit = progress.child(request.maxWaitMs);
        try {
            return await limit.race(room);
        }
        catch (err) {
            granted?.release();
            progress.throwIfAborted();
            if (limit.isAborted) {
                throw this.refusal(request, askedAt, this.expectedWaitMs(request.bytes(), askedAt));
            }
            throw err;
        }
        finally {
            limit.dispose();
            this.leaveLine(waiting);
        }
    }

    private leaveLine(waiting: Waiting): void {
        const index = this.waiting.indexOf(waiting);
        if (index >= 0) {
            this.waiting.splice(index, 1);
            this.grantWaiting();
        }
        if (this.waiting.length === 0) {
            this.lastGrants.clear();
        }
    }

    private grantWaiting(): void {
        // Giving up what is reclaimable is itself a release.
        if (this.isGranting) {
            return;
        }
        this.isGranting = true;
        try {
            for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
                if (!this.fitsOrIsAlone(next.request.bytes())) {
                    return;
                }
                this.waiting.splice(this.waiting.indexOf(next), 1);
                this.lastGrants.set(next.request.group, this.grants);
                next.onRoom(this.grant(next.request));
            }
        }
        finally {
            this.isGranting = false;
        }
    }

    /** The first request of the group whose last grant is the longest ago. Smaller ones behind it wait, so that it does not starve. */
    private findNext(): Waiting | undefined {
        const lastGrant = ({ request }: Waiting): number => this.lastGrants.get(request.group) ?? -1;
        return this.waiting.reduce<Waiting | undefined>((first, other) => {
            if (first === undefined || lastGrant(other) < lastGrant(first)) {
                return other;
            }
            return lastGrant(other) === lastGrant(first) && other.askedAt < first.askedAt ? other : first;
        }, undefined);
    }

    private grant(request: RoomRequest): HeldRoom {
        this.grants += 1;
        return this.hold(Math.max(0, request.take?.() ?? request.bytes()));
    }

    private reclaimExcess(): void {
        const excess = this.heldTotal - this.maxBytes;
        if (excess > 0 && this.reclaimable.reclaimableBytes > 0) {
            this.reclaimable.reclaim(excess);
        }
    }

    /** Time until there is room, from the mean time for which room is held and what is asked for before. */
    private expectedWaitMs(bytes: number, askedAt: number): number {
        const before = this.waiting.filter(other => other.askedAt < askedAt);
        const ahead = before.reduce((sum, { request }) => sum + Math.max(0, request.bytes()), 0);
        const missing = this.heldTotal - this.reclaimable.reclaimableBytes + ahead + bytes - this.maxBytes;
        return missing <= 0 ? 0 : Math.max(minWaitShare, missing / this.maxBytes) * this.holdMs;
    }

    private refusal({ key }: RoomRequest, askedAt: number, expectedMs: number): ProblemError {
        const retryAfterSeconds = Math.max(minRetryAfterSeconds, Math.ceil(expectedMs / 100) / 10);
        this.places.delete(key);
        this.places.set(key, { askedAt, keptUntil: this.now() + retryAfterSeconds * 1_000 + placeKeptMs });
        const [oldest] = this.places.keys();
        if (this.places.size > maxPlaces) {
            this.places.delete(oldest!);
        }
        return new ProblemError("input_refused", "notRun", "There is too little memory for all conversations.", {
            retryAfterSeconds,
        });
    }

    /** A caller that was refused comes back to its place in the line. */
    private takePlace(key: string): number {
        const now = this.now();
        const place = this.places.get(key);
        this.places.delete(key);
        return place !== undefined && place.keptUntil > now ? place.askedAt : now;
    }
}
