/** Keys, revisions and leases of the stand-in for the key-value service. */

/** A key with its value and revisions. */
export interface KeyValue {
    readonly key: string;
    readonly value: Buffer;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

/** A change of a key. */
export interface KeyEvent {
    readonly type: "PUT" | "DELETE";
    readonly kv: KeyValue;
}

interface Lease {
    readonly id: string;
    readonly ttlSeconds: number;
    expiresAt: number;
    readonly keys: Set<string>;
}

const maxHistory = 10_000;

/** A versioned map with leases. */
export class KeyValueState {
    revision = 1;
    private readonly entries = new Map<string, KeyValue>();
    private readonly leases = new Map<string, Lease>();
    private readonly history: KeyEvent[] = [];
    private nextLease = 1000;
    private readonly listeners = new Set<(event: KeyEvent) => void>();

    get(key: string): KeyValue | undefined {
        return this.entries.get(key);
    }

    /** Keys from `key` up to, but without, `end`, in order. */
    range(key: string, end: string): KeyValue[] {
        return [...this.entries.values()]
            .filter(entry => entry.key >= key && entry.key < end)
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    /** Begins a transaction; all its changes share one revision. */
    beginRevision(): void {
        this.revision += 1;
    }

    put(key: string, value: Buffer, lease: string): void {
        const old = this.entries.get(key);
        this.detach(old);
        const kv: KeyValue = {
            key,
            value,
            createRevision: old?.createRevision ?? this.revision,
            modRevision: this.revision,
            version: (old?.version ?? 0) + 1,
            lease,
        };
        this.entries.set(key, kv);
        this.leases.get(lease)?.keys.add(key);
        this.emit({ type: "PUT", kv });
    }

    remove(key: string): boolean {
        const old = this.entries.get(key);
        if (old === undefined) {
            return false;
        }
        this.detach(old);
        this.entries.delete(key);
        this.emit({ type: "DELETE", kv: { ...old, modRevision: this.revision, value: Buffer.alloc(0), version: 0 } });
        return true;
    }

    grant(ttlSeconds: number): string {
        const id = String(this.nextLease++);
        this.leases.set(id, { id, ttlSeconds, expiresAt: Date.now() + ttlSeconds * 1000, keys: new Set() });
        return id;
    }

    hasLease(id: string): boolean {
        return this.leases.has(id);
    }

    /** Extends a lease; returns its time to live in seconds, or 0 if it has lapsed. */
    keepAlive(id: string): number {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return 0;
        }
        lease.expiresAt = Date.now() + lease.ttlSeconds * 1000;
        return lease.ttlSeconds;
    }

    revoke(id: string): void {
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            this.beginRevision();
            for (const key of [...lease.keys]) {
                this.remove(key);
            }
            this.leases.delete(id);
        }
    }

    /** Ends the leases whose time has passed. */
    expireLeases(): void {
        for (const lease of [...this.leases.values()]) {
            if (lease.expiresAt <= Date.now()) {
                this.revoke(lease.id);
            }
        }
    }

    /** Events from a revision on. */
    since(revision: number): KeyEvent[] {
        return this.history.filter(event => event.kv.modRevision >= revision);
    }

    subscribe(listener: (event: KeyEvent) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private detach(kv: KeyValue | undefined): void {
        if (kv !== undefined) {
            this.leases.get(kv.lease)?.keys.delete(kv.key);
        }
    }

    private emit(event: KeyEvent): void {
        this.history.push(event);
        if (this.history.length > maxHistory) {
            this.history.splice(0, maxHistory / 2);
        }
        for (const listener of this.listeners) {
            listener(event);
        }
    }
}
