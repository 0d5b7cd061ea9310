/** Ownership of slots: acquires, verifies, loses and hands them over. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";
import { claimSlot } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";

import type { Store } from "@marigolddrift/store";
import type { Identity } from "../peers/identity.js";
import { NotOwnerError } from "../peers/peerErrors.js";
import { GroupCommit } from "./groupCommit.js";
import { InstanceLease } from "./instanceLease.js";
import type { Membership } from "./membership.js";
import { OwnedSlot } from "./ownedSlot.js";
import type { Mutation } from "./ownedSlot.js";
import { OwnedSlots } from "./ownedSlots.js";
import { PreferredOwners } from "./preferredOwners.js";
import { SlotAcquirer } from "./slotAcquirer.js";
import { SlotClaims } from "./slotClaims.js";
import { SlotDirectory } from "./slotDirectory.js";
import { SlotHandovers } from "./slotHandovers.js";

const tickMs = 500;

/** Settings and callbacks of {@link Slots}. */
export interface SlotsOptions {
    readonly leaseSeconds: number;
    slotCount(): number;
    zones(): readonly string[];
    retentionMs(): number;
    /** Called when this instance has become the owner of a slot. */
    onOwned(slot: OwnedSlot): void;
    /** Called when this instance no longer owns a slot. */
    onReleased(slot: number): void;
    /** Adds the state that only the owner holds in memory to the record, before a handover. */
    beforeHandover(record: SlotRecord): SlotRecord;
}

/** Permission to work on a slot; the holder must call `leave` when it is done. */
export interface SlotHold {
    readonly slot: OwnedSlot;
    /** Whether the store can be written now; if not, only idempotent calls may run. */
    readonly durable: boolean;
    leave(): void;
}

/** The slots that this instance owns. */
export class Slots {
    readonly directory = new SlotDirectory();
    readonly groupCommit: GroupCommit;
    readonly lease: InstanceLease;
    private readonly owned: OwnedSlots;
    private readonly claims: SlotClaims;
    private readonly acquirer: SlotAcquirer;
    private timer: NodeJS.Timeout | undefined;
    private readonly preferredOwners: PreferredOwners;
    private readonly handovers: SlotHandovers;

    constructor(
        private readonly identity: Identity,
        private readonly store: Store,
        private readonly membership: Membership,
        private readonly options: SlotsOptions,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {
        this.owned = new OwnedSlots(identity.instance, this.directory, membership);
        this.groupCommit = new GroupCommit(
            store,
            {
                instances: () => membership.members().length,
                retentionMs: () => options.retentionMs(),
                onLost: slot => this.onLost(slot.slot, "a write was refused because the record had changed"),
            },
            log,
            metrics,
        );
        this.preferredOwners = new PreferredOwners(membership, () => options.slotCount(), () => options.zones());
        const mutate = (owned: OwnedSlot, mutation: Mutation): Promise<void> => this.mutate(owned, mutation);
        this.handovers = new SlotHandovers(mutate, record => options.beforeHandover(record), log);
        this.claims = new SlotClaims({
            instance: identity.instance,
            store,
            groupCommit: this.groupCommit,
            isAlive: instance => membership.isAlive(instance),
            isOwned: slot => this.owned.get(slot)?.provisional === false,
            onClaimed: slot => this.addOwned(slot),
            log,
        });
        this.acquirer = new SlotAcquirer(identity.instance, this.directory, membership, this.claims, log);
        this.lease = new InstanceLease(
            store,
            identity.instance,
            options.leaseSeconds,
            progress => this.verifyOwnedSlots(progress),
            log,
        );
    }

    async start(): Promise<void> {
        await this.lease.start();
        this.timer = setInterval(() => this.tick(), tickMs);
        this.tick();
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.groupCommit.stop();
        await this.lease.stop();
    }

    /** Durably owned slots, as a flat list of alternating slots and epochs. */
    announcement(): number[] {
        return this.owned.announcement();
    }

    /** Incremented whenever the set of owned slots changes. */
    get version(): number {
        return this.owned.version;
    }

    all(): OwnedSlot[] {
        return this.owned.all();
    }

    /** Number of durably owned slots for which this instance is the preferred owner. */
    get preferredSlotCount(): number {
        return this.all().filter(({ slot, provisional }) => !provisional && this.isPreferredHere(slot)).length;
    }

    /** Whether a program can be opened on a slot of this instance. */
    get hasOpenSlot(): boolean {
        return this.all().some(slot => !slot.closing);
    }

    get(slot: number): OwnedSlot | undefined {
        return this.owned.get(slot);
    }

    /** Instance to route a request for a slot to: the live announced owner, or else the preferred owner. */
    routeTo(slot: number): string | undefined {
        if (this.owned.get(slot)?.closing === false) {
            return this.identity.instance;
        }
        const announced = this.directory.ownerOf(slot);
        if (announced !== undefined && this.membership.isAlive(announced)) {
            return announced;
        }
        return this.preferredOwners.ownerOf(slot)?.instance;
    }

    /**
     * Registers a call on a slot; claims the slot first if it has no live owner and should be owned here.
     *
     * @throws NotOwnerError if another instance owns the slot.
     */
    async enter(slot: number, progress: Progress): Promise<SlotHold> {
        if (!this.owned.has(slot)) {
            await this.claimIfPreferred(slot, progress);
        }
        const durable = await this.ensureOwnership(slot, progress);
        const owned = this.owned.get(slot);
        if (owned === undefined || owned.closing) {
            throw new NotOwnerError(slot, this.directory.ownerOf(slot));
        }
        owned.active += 1;
        return { slot: owned, durable: durable && !owned.provisional, leave: () => owned.active -= 1 };
    }

    /** Whether a slot is provably still owned; cheap enough to be checked for each token. */
    isProvablyOwned(slot: OwnedSlot): boolean {
        return !slot.isLost && (slot.provisional || this.lease.isValid());
    }

    /**
     * Verifies that a slot has not been lost, for example while this process was paused.
     *
     * @throws NotOwnerError if the slot was lost.
     */
    async verifyOwned(slot: OwnedSlot, progress: Progress): Promise<void> {
        if (!this.isProvablyOwned(slot)) {
            await this.ensureOwnership(slot.slot, progress);
        }
        if (this.owned.get(slot.slot) !== slot || slot.isLost) {
            throw new NotOwnerError(slot.slot, this.directory.ownerOf(slot.slot));
        }
    }

    /** Applies a mutation to the record of an owned slot; resolves once it is stored. */
    async mutate(slot: OwnedSlot, mutation: Mutation): Promise<void> {
        const stored = slot.mutate(mutation);
        this.groupCommit.schedule(slot);
        await stored;
    }

    /** Picks a random slot on which a program can be opened, if there is one. */
    async pickOpenSlot(random: () => number): Promise<OwnedSlot | undefined> {
        const open = this.all().filter(slot => !slot.closing && !slot.isLost);
        if (open.length > 0) {
            return open[Math.floor(random() * open.length)];
        }
        return await this.lease.ensureValid() === "storeAway" ? this.acquireProvisionally() : undefined;
    }

    /** Called when a peer has announced its slots. */
    onPeerAnnouncement(owner: string, owned: readonly number[]): void {
        this.directory.recordAnnouncement(owner, owned);
        for (let index = 0; index + 1 < owned.length; index += 2) {
            const ownedSlot = this.owned.get(owned[index]!);
            if (ownedSlot !== undefined && !ownedSlot.provisional && owned[index + 1]! > ownedSlot.epoch) {
                this.onLost(ownedSlot.slot, "a peer announced a higher epoch");
            }
        }
    }

    /** Releases a slot once it has no active calls; returns whether this instance no longer owns it. */
    async handOver(slot: number, progress: Progress): Promise<boolean> {
        if (this.owned.get(slot) === undefined) {
            await this.claimIfRecorded(slot, progress);
        }
        const owned = this.owned.get(slot);
        if (owned === undefined || owned.closing || !this.lease.isValid()) {
            return owned === undefined;
        }
        if (!await this.handovers.prepare(owned, progress)) {
            return false;
        }
        if (this.owned.get(slot) === owned) {
            this.release(slot, "handed over");
        }
        return true;
    }

    /** Claims a slot that is not owned here although its record names this instance as the owner. */
    private async claimIfRecorded(slot: number, progress: Progress): Promise<void> {
        const stored = await this.groupCommit.read(slot, progress);
        if (stored?.record.owner === this.identity.instance && !this.membership.leaving) {
            await this.claims.claim(slot);
        }
    }

    private tick(): void {
        if (this.membership.leaving) {
            return;
        }
        const missing = this.missingSlots();
        if (this.lease.isValid()) {
            void this.acquirer.acquireAll(missing);
        }
    }

    /** Slots that this instance should own durably, does not, and is not claiming. */
    private missingSlots(): number[] {
        const slots = Array.from({ length: this.options.slotCount() }, (_, slot) => slot);
        return slots.filter(slot =>
            this.isPreferredHere(slot) && this.owned.get(slot)?.provisional !== false && !this.claims.isClaiming(slot)
        );
    }

    /** Whether this instance is the preferred owner of a slot. */
    private isPreferredHere(slot: number): boolean {
        return this.preferredOwners.ownerOf(slot)?.instance === this.identity.instance;
    }

    private async claimIfPreferred(slot: number, progress: Progress): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const ownerAlive = owner !== undefined && this.membership.isAlive(owner);
        if (!this.isPreferredHere(slot) || ownerAlive || this.membership.leaving) {
            throw new NotOwnerError(slot, ownerAlive ? owner : this.preferredOwners.ownerOf(slot)?.instance);
        }
        if (await this.lease.ensureValid() === "proven") {
            await progress.race(this.claims.claim(slot));
        }
    }

    private addOwned(slot: OwnedSlot): void {
        this.owned.add(slot);
        this.log.info("slot owned", { slot: slot.slot, epoch: slot.epoch, provisional: slot.provisional });
        this.metrics.count("slots.owned");
        this.options.onOwned(slot);
    }

    /** Owns a slot only in memory while the store is unavailable, so that new programs can be opened. */
    private acquireProvisionally(): OwnedSlot | undefined {
        const count = this.options.slotCount();
        for (let slot = 0; slot < count; slot++) {
            const announced = this.directory.ownerOf(slot);
            const isUnowned = announced === undefined || !this.membership.isAlive(announced);
            if (isUnowned && this.isPreferredHere(slot)) {
                const record = { ...claimSlot(undefined, slot, this.identity.instance), epoch: 0 };
                const owned = new OwnedSlot(slot, { record, revision: 0 }, true);
                this.addOwned(owned);
                return owned;
            }
        }
        return undefined;
    }

    /** Validates the lease, and claims a provisional slot durably; returns whether the store can be written. */
    private async ensureOwnership(slot: number, progress: Progress): Promise<boolean> {
        if (this.lease.isValid()) {
            return true;
        }
        const state = await progress.race(this.lease.ensureValid());
        if (state === "proven" && this.owned.get(slot)?.provisional === true) {
            await progress.race(this.claims.claim(slot));
        }
        return state === "proven";
    }

    /** Reads every owned slot from the store after the lease lapsed, and releases those that were taken over. */
    private async verifyOwnedSlots(progress: Progress): Promise<void> {
        for (const slot of this.all().filter(owned => !owned.provisional)) {
            const current = await this.groupCommit.read(slot.slot, progress);
            if (current?.record.owner !== this.identity.instance || current.record.epoch !== slot.epoch) {
                this.onLost(slot.slot, "another instance took the slot over while the lease had lapsed");
            }
        }
    }

    private onLost(slot: number, reason: string): void {
        const owned = this.owned.get(slot);
        if (owned !== undefined) {
            owned.onLost();
            this.metrics.count("slots.lost");
            this.release(slot, reason);
        }
    }

    private release(slot: number, reason: string): void {
        this.owned.remove(slot);
        this.log.info("slot released", { slot, reason });
        this.options.onReleased(slot);
    }

    /** Error for a call that needs the store while the store is unavailable. */
    static notDurableError(detail: string): ProblemError {
        return new ProblemError("not_durable", "notRun", detail, { retryAfterSeconds: 5 });
    }
}
