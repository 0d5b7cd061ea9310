/** Keys, revisions and leases of the key-value store stand-in. */

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

/** An in-memory key-value map with revisions, leases and change notifications. */
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

    /** Returns the entries from `key` (inclusive) to `end` (exclusive), ordered by key. */
    range(key: string, end: string): KeyValue[] {
        return [...this.entries.values()]
            .filter(entry => entry.key >= key && entry.key < end)
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    /** Starts a new revision, which all changes of one transaction share. */
    beginRevision(): void {
        this.revision += 1;
    }

    put(key: string, value: Buffer, lease: string): void {
        const previous = this.entries.get(key);
        this.detachFromLease(previous);
        const kv: KeyValue = {
            key,
            value,
            createRevision: previous?.createRevision ?? this.revision,
            modRevision: this.revision,
            version: (previous?.version ?? 0) + 1,
            lease,
        };
        this.entries.set(key, kv);
        this.leases.get(lease)?.keys.add(key);
        this.emit({ type: "PUT", kv });
    }

    remove(key: string): boolean {
        const previous = this.entries.get(key);
        if (previous === undefined) {
            return false;
        }
        this.detachFromLease(previous);
        this.entries.delete(key);
        this.emit({
            type: "DELETE",
            kv: { ...previous, modRevision: this.revision, value: Buffer.alloc(0), version: 0 },
        });
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

    /** Renews a lease. Returns its TTL in seconds, or 0 if it has expired. */
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

    /** Revokes the leases whose TTL has elapsed. */
    expireLeases(): void {
        for (const lease of [...this.leases.values()]) {
            if (lease.expiresAt <= Date.now()) {
                this.revoke(lease.id);
            }
        }
    }

    /** Returns the retained events from a revision onwards. */
    eventsSince(revision: number): KeyEvent[] {
        return this.history.filter(event => event.kv.modRevision >= revision);
    }

    subscribe(listener: (event: KeyEvent) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private detachFromLease(kv: KeyValue | undefined): void {
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
