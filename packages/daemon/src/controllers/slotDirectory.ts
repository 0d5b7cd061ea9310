/** Who owns which slot, from the announcements of all instances. */

interface Entry {
    readonly owner: string;
    readonly epoch: number;
}

/** Owners by slot; of two announcements the one with the higher epoch counts. */
export class SlotDirectory {
    private readonly entries = new Map<number, Entry>();

    /** Replaces what an instance announced; `owned` is a flat list of slots and epochs. */
    announce(owner: string, owned: readonly number[]): void {
        const kept = new Set<number>();
        for (let index = 0; index + 1 < owned.length; index += 2) {
            const slot = owned[index]!;
            const epoch = owned[index + 1]!;
            kept.add(slot);
            if (epoch >= this.epochOf(slot)) {
                this.entries.set(slot, { owner, epoch });
            }
        }
        for (const [slot, entry] of this.entries) {
            if (entry.owner === owner && !kept.has(slot)) {
                this.entries.delete(slot);
            }
        }
    }

    /** Forgets an instance that is dead. */
    forget(owner: string): void {
        this.announce(owner, []);
    }

    ownerOf(slot: number): string | undefined {
        return this.entries.get(slot)?.owner;
    }

    epochOf(slot: number): number {
        return this.entries.get(slot)?.epoch ?? 0;
    }

    /** Instances that own at least one slot. */
    owners(): string[] {
        return [...new Set([...this.entries.values()].map(entry => entry.owner))];
    }

    all(): { readonly slot: number; readonly owner: string; readonly epoch: number; }[] {
        return [...this.entries].map(([slot, entry]) => ({ slot, ...entry })).sort((a, b) => a.slot - b.slot);
    }
}
