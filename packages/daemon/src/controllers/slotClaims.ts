/** Takes slots over: only if the record is unchanged, and the former owner's lease has ended. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import {
    beginWrite,
    claimSlot,
    onApplied,
    onConflict,
    onNoReply,
    onReadBack,
    openWriter,
    packRecord,
} from "@marigolddrift/ledger";
import type { StoredRecord, WriterState } from "@marigolddrift/ledger";
import { StoreError } from "@marigolddrift/store";
import type { Compare, Store } from "@marigolddrift/store";

import { createNonce } from "../peers/handshake.js";
import type { GroupCommit } from "./groupCommit.js";
import { slotKey } from "./groupCommit.js";
import { instanceKey } from "./leaseKeeper.js";
import { OwnedSlot } from "./ownedSlot.js";

const claimTimeoutMs = 2_000;

/** What claims need from the rest of the daemon. */
export interface SlotClaimsParts {
    readonly instance: string;
    readonly store: Store;
    readonly commit: GroupCommit;
    /** Whether an instance shows signs of life; its slots are not taken then. */
    isAlive(instance: string): boolean;
    /** Whether this instance owns a slot already. */
    isOwned(slot: number): boolean;
    onClaimed(slot: OwnedSlot): void;
    readonly log: Logger;
}

/** Claims slots, each at most once at a time. */
export class SlotClaims {
    private readonly claiming = new Map<number, Promise<string | undefined>>();

    constructor(private readonly parts: SlotClaimsParts) {}

    isClaiming(slot: number): boolean {
        return this.claiming.has(slot);
    }

    /** Tries to take a slot over; returns the live instance that the record names as its owner, if that prevents it. */
    claim(slot: number): Promise<string | undefined> {
        let claim = this.claiming.get(slot);
        if (claim === undefined) {
            claim = this.claimOnce(slot).finally(() => this.claiming.delete(slot));
            this.claiming.set(slot, claim);
        }
        return claim;
    }

    private async claimOnce(slot: number): Promise<string | undefined> {
        if (this.parts.isOwned(slot)) {
            return undefined;
        }
        const progress = new Progress(claimTimeoutMs);
        try {
            const stored = await this.parts.commit.read(slot, progress);
            const former = stored?.record.owner ?? "";
            if (former !== "" && former !== this.parts.instance && this.parts.isAlive(former)) {
                return former;
            }
            const writer = await this.writeClaim(slot, stored, progress);
            if (writer.kind === "idle") {
                this.parts.onClaimed(new OwnedSlot(slot, writer.stored, false));
            }
            return undefined;
        }
        catch (err) {
            this.parts.log.debug("slot not claimed", { slot, error: asError(err).message });
            return undefined;
        }
        finally {
            progress.dispose();
        }
    }

    private async writeClaim(slot: number, stored: StoredRecord | undefined, progress: Progress): Promise<WriterState> {
        const { instance } = this.parts;
        const former = stored?.record.owner ?? "";
        const isForeign = former !== "" && former !== instance;
        const base = stored ?? { record: claimSlot(undefined, slot, ""), revision: 0 };
        const next = claimSlot(stored?.record, slot, instance);
        const fence: Compare[] = isForeign ? [{ key: instanceKey(former), revision: 0 }] : [];
        let writer = beginWrite(openWriter(base), next, createNonce());
        while (writer.kind === "writing") {
            writer = await this.attempt(slot, writer, fence, progress);
        }
        return writer;
    }

    private async attempt(
        slot: number,
        writer: WriterState & { kind: "writing"; },
        fence: readonly Compare[],
        progress: Progress,
    ): Promise<WriterState> {
        const { commit, store } = this.parts;
        const compares = [{ key: slotKey(slot), revision: writer.stored.revision }, ...fence];
        try {
            const result = await store.txn(
                compares,
                [{ key: slotKey(slot), value: packRecord(writer.next) }],
                progress,
            );
            if (result.succeeded) {
                return onApplied(writer, result.revision);
            }
            const settled = onConflict(writer, await commit.read(slot, progress));
            // The record is unchanged, so the former owner's lease must still hold.
            return settled.kind === "writing" ? { kind: "lost" } : settled;
        }
        catch (err) {
            if (!(err instanceof StoreError) || err.applied === "no") {
                throw err;
            }
            return onReadBack(onNoReply(writer), await commit.read(slot, progress));
        }
    }
}
