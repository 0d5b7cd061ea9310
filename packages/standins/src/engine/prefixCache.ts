/** Prefix cache of an engine: a tree of segments with bounded memory and LRU eviction of leaves. */

/** Part of a prompt, identified by the digest of the prompt up to and including this part. */
export interface Segment {
    readonly digest: string;
    readonly tokens: number;
}

interface CacheNode {
    readonly segment: Segment;
    readonly parent: CacheNode | undefined;
    readonly keys: Set<string>;
    children: number;
    pins: number;
    lastUsedAt: number;
    exported: boolean;
}

/** A cache event as engines publish it. */
export interface CacheChange {
    readonly kind: "stored" | "evicted";
    readonly key: string;
    readonly tokens: number;
}

/** Prefix cache of one engine; all sizes are in tokens. */
export class PrefixCache {
    /** Tokens in engine memory, including the prompts of running sequences. */
    heldTokens = 0;
    /** Total memory held over time, in token-milliseconds. */
    heldTokenMs = 0;
    /** Memory held by segments after their last use, in token-milliseconds. */
    wastedTokenMs = 0;
    evictions = 0;
    private readonly nodes = new Map<string, CacheNode>();
    private lastUpdateAt = Date.now();

    constructor(readonly capacity: number, private readonly onChange: (change: CacheChange) => void = () => {}) {}

    /** Returns how many tokens of the longest known prefix are cached, and how many must be imported again. */
    lookup(segments: readonly Segment[]): { cached: number; imported: number; } {
        let cached = 0;
        let imported = 0;
        for (const segment of segments) {
            const node = this.nodes.get(segment.digest);
            if (node === undefined) {
                break;
            }
            if (node.exported) {
                imported += segment.tokens;
            }
            else {
                cached += segment.tokens;
            }
        }
        return { cached, imported };
    }

    /** Whether the segments fit after evicting everything that is not pinned. */
    canFit(segments: readonly Segment[]): boolean {
        const missing = this.missingTokens(segments);
        return this.heldTokens + missing <= this.capacity ||
            this.evictableTokens() >= this.heldTokens + missing - this.capacity;
    }

    /** Stores and pins the segments, and evicts others if memory is short. */
    acquire(segments: readonly Segment[], key: string): void {
        this.updateHeldTokenMs();
        this.pinExisting(segments);
        this.evictFor(this.missingTokens(segments));
        let parent: CacheNode | undefined;
        for (const segment of segments) {
            parent = this.storeSegment(segment, parent, key);
        }
        this.unpinExisting(segments);
        for (let node = parent; node !== undefined; node = node.parent) {
            node.pins += 1;
        }
        this.onChange({ kind: "stored", key, tokens: segments.reduce((sum, segment) => sum + segment.tokens, 0) });
    }

    /** Unpins segments that were acquired. */
    release(segments: readonly Segment[]): void {
        this.updateHeldTokenMs();
        for (const segment of segments) {
            const node = this.nodes.get(segment.digest);
            if (node !== undefined) {
                node.pins -= 1;
                node.lastUsedAt = Date.now();
            }
        }
    }

    /** Frees the segments that only the given key uses. Returns the number of tokens freed. */
    drop(key: string): number {
        return this.detachKey(key, node => node.children === 0, node => this.remove(node, false));
    }

    /** Moves the segments that only the given key uses out of engine memory. Returns the number of tokens moved. */
    exportKey(key: string): number {
        return this.detachKey(key, node => !node.exported, node => {
            this.chargeIdleTime(node);
            this.heldTokens -= node.segment.tokens;
            node.exported = true;
        });
    }

    /** Keys of all segments in engine memory. */
    heldKeys(): string[] {
        return [...new Set([...this.nodes.values()].filter(node => !node.exported).flatMap(node => [...node.keys]))];
    }

    /** Adds the idle time of segments still in memory to `wastedTokenMs`. Call it at the end of a measurement. */
    chargeRemainingIdleTime(): void {
        this.updateHeldTokenMs();
        for (const node of this.nodes.values()) {
            this.chargeIdleTime(node);
        }
    }

    /** Updates `heldTokenMs` to the current time. */
    updateHeldTokenMs(): void {
        const now = Date.now();
        this.heldTokenMs += this.heldTokens * (now - this.lastUpdateAt);
        this.lastUpdateAt = now;
    }

    private missingTokens(segments: readonly Segment[]): number {
        return segments
            .filter(segment => this.nodes.get(segment.digest)?.exported !== false)
            .reduce((sum, segment) => sum + segment.tokens, 0);
    }

    private evictableTokens(): number {
        let sum = 0;
        for (const node of this.nodes.values()) {
            sum += node.pins === 0 && !node.exported ? node.segment.tokens : 0;
        }
        return sum;
    }

    private pinExisting(segments: readonly Segment[]): void {
        segments.forEach(segment => this.addPins(segment, 1));
    }

    private unpinExisting(segments: readonly Segment[]): void {
        segments.forEach(segment => this.addPins(segment, -1));
    }

    private addPins(segment: Segment, pins: number): void {
        const node = this.nodes.get(segment.digest);
        if (node !== undefined) {
            node.pins = Math.max(0, node.pins + pins);
        }
    }

    private storeSegment(segment: Segment, parent: CacheNode | undefined, key: string): CacheNode {
        let node = this.nodes.get(segment.digest);
        if (node === undefined) {
            node = { segment, parent, keys: new Set(), children: 0, pins: 1, lastUsedAt: 0, exported: false };
            this.nodes.set(segment.digest, node);
            this.heldTokens += segment.tokens;
            if (parent !== undefined) {
                parent.children += 1;
            }
        }
        else if (node.exported) {
            node.exported = false;
            this.heldTokens += segment.tokens;
        }
        node.keys.add(key);
        node.lastUsedAt = Date.now();
        return node;
    }

    private evictFor(tokens: number): void {
        while (this.heldTokens + tokens > this.capacity) {
            const victim = this.leastRecentlyUsedLeaf();
            if (victim === undefined) {
                return;
            }
            this.evictions += 1;
            this.remove(victim, true);
        }
    }

    private leastRecentlyUsedLeaf(): CacheNode | undefined {
        let oldest: CacheNode | undefined;
        for (const node of this.nodes.values()) {
            const isLeaf = node.children === 0 && node.pins === 0 && !node.exported;
            if (isLeaf && (oldest === undefined || node.lastUsedAt < oldest.lastUsedAt)) {
                oldest = node;
            }
        }
        return oldest;
    }

    private remove(node: CacheNode, evicted: boolean): void {
        this.updateHeldTokenMs();
        this.chargeIdleTime(node);
        if (!node.exported) {
            this.heldTokens -= node.segment.tokens;
        }
        this.nodes.delete(node.segment.digest);
        if (node.parent !== undefined) {
            node.parent.children -= 1;
        }
        if (evicted) {
            node.keys.forEach(key => this.onChange({ kind: "evicted", key, tokens: node.segment.tokens }));
        }
    }

    private chargeIdleTime(node: CacheNode): void {
        if (!node.exported && node.pins === 0) {
            this.wastedTokenMs += node.segment.tokens * (Date.now() - node.lastUsedAt);
        }
    }

    private detachKey(
        key: string,
        isEligible: (node: CacheNode) => boolean,
        action: (node: CacheNode) => void,
    ): number {
        this.updateHeldTokenMs();
        const nodes = [...this.nodes.values()].filter(node => node.keys.has(key)).reverse();
        let freed = 0;
        for (const node of nodes) {
            if (node.pins === 0 && node.keys.size === 1 && isEligible(node)) {
                freed += node.exported ? 0 : node.segment.tokens;
                action(node);
            }
            else {
                node.keys.delete(key);
            }
        }
        return freed;
    }
}
