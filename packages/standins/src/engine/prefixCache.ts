/** Prefix cache of an engine: a tree of segments in limited memory, evicted from the least recently used leaf. */

/** Part of a prompt, identified by a digest of everything up to its end. */
export interface Segment {
    readonly digest: string;
    readonly tokens: number;
}

interface Node {
    readonly segment: Segment;
    readonly parent: Node | undefined;
    readonly keys: Set<string>;
    children: number;
    pins: number;
    lastUse: number;
    exported: boolean;
}

/** A change of the cache, as engines publish it. */
export interface CacheChange {
    readonly kind: "stored" | "evicted";
    readonly key: string;
    readonly tokens: number;
}

/** Memory of one engine, in tokens. */
export class PrefixCache {
    /** Tokens held in engine memory, and by running sequences. */
    held = 0;
    /** Token-milliseconds held since the start. */
    heldTokenMs = 0;
    /** Token-milliseconds of segments after their last use. */
    wastedTokenMs = 0;
    evictions = 0;
    private readonly nodes = new Map<string, Node>();
    private lastAccount = Date.now();

    constructor(readonly capacity: number, private readonly onChange: (change: CacheChange) => void = () => {}) {}

    /** Tokens of the longest cached prefix, and of the exported segments that follow it. */
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

    /** Whether the segments fit once everything unused is evicted. */
    canFit(segments: readonly Segment[]): boolean {
        const missing = this.missingTokens(segments);
        return this.held + missing <= this.capacity || this.evictableTokens() >= this.held + missing - this.capacity;
    }

    /** Stores and pins the segments; evicts others as needed. */
    acquire(segments: readonly Segment[], key: string): void {
        this.account();
        this.pinExisting(segments);
        this.evictFor(this.missingTokens(segments));
        let parent: Node | undefined;
        for (const segment of segments) {
            parent = this.touch(segment, parent, key);
        }
        this.unpinExisting(segments);
        for (let node = parent; node !== undefined; node = node.parent) {
            node.pins += 1;
        }
        this.onChange({ kind: "stored", key, tokens: segments.reduce((sum, segment) => sum + segment.tokens, 0) });
    }

    /** Unpins segments that were acquired. */
    release(segments: readonly Segment[]): void {
        this.account();
        for (const segment of segments) {
            const node = this.nodes.get(segment.digest);
            if (node !== undefined) {
                node.pins -= 1;
                node.lastUse = Date.now();
            }
        }
    }

    /** Drops what only the given key uses; returns the tokens freed. */
    drop(key: string): number {
        return this.forKey(key, node => node.children === 0, node => this.remove(node, false));
    }

    /** Moves what only the given key uses out of engine memory; returns the tokens moved. */
    exportKey(key: string): number {
        return this.forKey(key, node => !node.exported, node => {
            this.chargeIdle(node);
            this.held -= node.segment.tokens;
            node.exported = true;
        });
    }

    /** Keys that hold memory. */
    heldKeys(): string[] {
        return [...new Set([...this.nodes.values()].filter(node => !node.exported).flatMap(node => [...node.keys]))];
    }

    /** Charges the idle memory that is still held as wasted; call it at the end of a measurement. */
    finish(): void {
        this.account();
        for (const node of this.nodes.values()) {
            this.chargeIdle(node);
        }
    }

    /** Brings the running sum of held memory up to date. */
    account(): void {
        const now = Date.now();
        this.heldTokenMs += this.held * (now - this.lastAccount);
        this.lastAccount = now;
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

    private touch(segment: Segment, parent: Node | undefined, key: string): Node {
        let node = this.nodes.get(segment.digest);
        if (node === undefined) {
            node = { segment, parent, keys: new Set(), children: 0, pins: 1, lastUse: 0, exported: false };
            this.nodes.set(segment.digest, node);
            this.held += segment.tokens;
            if (parent !== undefined) {
                parent.children += 1;
            }
        }
        else if (node.exported) {
            node.exported = false;
            this.held += segment.tokens;
        }
        node.keys.add(key);
        node.lastUse = Date.now();
        return node;
    }

    private evictFor(tokens: number): void {
        while (this.held + tokens > this.capacity) {
            const victim = this.oldestLeaf();
            if (victim === undefined) {
                return;
            }
            this.evictions += 1;
            this.remove(victim, true);
        }
    }

    private oldestLeaf(): Node | undefined {
        let oldest: Node | undefined;
        for (const node of this.nodes.values()) {
            const isLeaf = node.children === 0 && node.pins === 0 && !node.exported;
            if (isLeaf && (oldest === undefined || node.lastUse < oldest.lastUse)) {
                oldest = node;
            }
        }
        return oldest;
    }

    private remove(node: Node, evicted: boolean): void {
        this.account();
        this.chargeIdle(node);
        if (!node.exported) {
            this.held -= node.segment.tokens;
        }
        this.nodes.delete(node.segment.digest);
        if (node.parent !== undefined) {
            node.parent.children -= 1;
        }
        if (evicted) {
            node.keys.forEach(key => this.onChange({ kind: "evicted", key, tokens: node.segment.tokens }));
        }
    }

    private chargeIdle(node: Node): void {
        if (!node.exported && node.pins === 0) {
            this.wastedTokenMs += node.segment.tokens * (Date.now() - node.lastUse);
        }
    }

    private forKey(key: string, allowed: (node: Node) => boolean, action: (node: Node) => void): number {
        this.account();
        const nodes = [...this.nodes.values()].filter(node => node.keys.has(key)).reverse();
        let freed = 0;
        for (const node of nodes) {
            if (node.pins === 0 && node.keys.size === 1 && allowed(node)) {
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
