/** Directory of slot owners, built from the announcements of all instances. */

interface DirectoryEntry {
    readonly owner: string;
    readonly epoch: number;
}

/** Owners by slot; announced epochs that are lower than the known one are ignored. */
export class SlotDirectory {
    private readonly entries = new Map<number, DirectoryEntry>();

    /**
     * Replaces the entries of an instance with its new announcement.
     *
     * @param owned Flat list of alternating slots and epochs.
     */
    recordAnnouncement(owner: string, owned: readonly number[]): void {
        const announcedSlots = new Set<number>();
        for (let index = 0; index + 1 < owned.length; index += 2) {
            const slot = owned[index]!;
            const epoch = owned[index + 1]!;
            announcedSlots.add(slot);
            if (epoch >= this.epochOf(slot)) {
                this.entries.set(slot, { owner, epoch });
            }
        }
        for (const [slot, entry] of this.entries) {
            if (entry.owner === owner && !announcedSlots.has(slot)) {
                this.entries.delete(slot);
            }
        }
    }

    /** Removes all entries of an instance, for example because it is dead. */
    removeOwner(owner: string): void {
        this.recordAnnouncement(owner, []);
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
