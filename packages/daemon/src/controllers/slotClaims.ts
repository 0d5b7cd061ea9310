/** Claims slots: each claim succeeds only if the record is unchanged and the previous owner's lease has ended. */
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
import { instanceKey } from "./instanceLease.js";
import { OwnedSlot } from "./ownedSlot.js";

const claimTimeoutMs = 2_000;

/** Dependencies of {@link SlotClaims}. */
export interface SlotClaimsDependencies {
    readonly instance: string;
    readonly store: Store;
    readonly groupCommit: GroupCommit;
    /** Whether an instance is alive; the slots of a live instance are not claimed. */
    isAlive(instance: string): boolean;
    /** Whether this instance already owns a slot durably. */
    isOwned(slot: number): boolean;
    onClaimed(slot: OwnedSlot): void;
    readonly log: Logger;
}

/** Claims slots, with at most one claim per slot at a time. */
export class SlotClaims {
    private readonly claiming = new Map<number, Promise<string | undefined>>();

    constructor(private readonly deps: SlotClaimsDependencies) {}

    isClaiming(slot: number): boolean {
        return this.claiming.has(slot);
    }

    /** Tries to claim a slot; returns the recorded owner if that instance is alive, which prevents the claim. */
    claim(slot: number): Promise<string | undefined> {
        let claim = this.claiming.get(slot);
        if (claim === undefined) {
            claim = this.tryClaim(slot).finally(() => this.claiming.delete(slot));
            this.claiming.set(slot, claim);
        }
        return claim;
    }

    private async tryClaim(slot: number): Promise<string | undefined> {
        if (this.deps.isOwned(slot)) {
            return undefined;
        }
        const progress = new Progress(claimTimeoutMs);
        try {
            const stored = await this.deps.groupCommit.read(slot, progress);
            const previousOwner = stored?.record.owner ?? "";
            if (previousOwner !== "" && previousOwner !== this.deps.instance && this.deps.isAlive(previousOwner)) {
                return previousOwner;
            }
            const writer = await this.writeClaim(slot, stored, progress);
            if (writer.kind === "idle") {
                this.deps.onClaimed(new OwnedSlot(slot, writer.stored, false));
            }
            return undefined;
        }
        catch (err) {
            this.deps.log.debug("slot not claimed", { slot, error: asError(err).message });
            return undefined;
        }
        finally {
            progress.dispose();
        }
    }

    private async writeClaim(slot: number, stored: StoredRecord | undefined, progress: Progress): Promise<WriterState> {
        const { instance } = this.deps;
        const previousOwner = stored?.record.owner ?? "";
        const isTakeover = previousOwner !== "" && previousOwner !== instance;
        const base = stored ?? { record: claimSlot(undefined, slot, ""), revision: 0 };
        const next = claimSlot(stored?.record, slot, instance);
        const fence: Compare[] = isTakeover ? [{ key: instanceKey(previousOwner), revision: 0 }] : [];
        let writer = beginWrite(openWriter(base), next, createNonce());
        while (writer.kind === "writing") {
            writer = await this.attemptWrite(slot, writer, fence, progress);
        }
        return writer;
    }

    private async attemptWrite(
        slot: number,
        writer: WriterState & { kind: "writing"; },
        fence: readonly Compare[],
        progress: Progress,
    ): Promise<WriterState> {
        const { groupCommit, store } = this.deps;
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
            const settled = onConflict(writer, await groupCommit.read(slot, progress));
            // The record is unchanged, so the previous owner's lease must still exist.
            return settled.kind === "writing" ? { kind: "lost" } : settled;
        }
        catch (err) {
            if (!(err instanceof StoreError) || err.applied === "no") {
                throw err;
            }
            return onReadBack(onNoReply(writer), await groupCommit.read(slot, progress));
        }
    }
}
