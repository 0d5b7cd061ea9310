/** Owns slots: claims, verifies, loses and hands them over. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";
import { claimSlot } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";

import type { Store } from "@marigolddrift/store";
import type { Identity } from "../peers/identity.js";
import { NotOwnerError } from "../peers/peerErrors.js";
import { GroupCommit } from "./groupCommit.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import type { Membership } from "./membership.js";
import { OwnedSlot } from "./ownedSlot.js";
import type { Mutation } from "./ownedSlot.js";
import { PreferredOwners } from "./preferredOwners.js";
import { SlotAcquirer } from "./slotAcquirer.js";
import { SlotClaims } from "./slotClaims.js";
import { SlotDirectory } from "./slotDirectory.js";
import { SlotHandOvers } from "./slotHandOvers.js";

const tickMs = 500;

const announceDelayMs = 10;

/** What the slots need from the rest of the daemon. */
export interface SlotsOptions {
    readonly leaseSeconds: number;
    slotCount(): number;
    zones(): readonly string[];
    retentionMs(): number;
    /** The instance became the owner. */
    onOwned(slot: OwnedSlot): void;
    /** The instance is the owner no more. */
    onReleased(slot: number): void;
    /** Writes what only the owner knows into the record, before a hand-over. */
    beforeHandOver(record: SlotRecord): SlotRecord;
}

/** Leave to work on a slot. */
export interface SlotHold {
    readonly slot: OwnedSlot;
    /** Whether the store can be written now; without it only idempotent calls may run. */
    readonly durable: boolean;
    leave(): void;
}

/** The slots of this instance. */
export class Slots {
    readonly directory = new SlotDirectory();
    readonly commit: GroupCommit;
    readonly lease: LeaseKeeper;
    /** Raised whenever the set of owned slots changes. */
    version = 1;
    private readonly owned = new Map<number, OwnedSlot>();
    private readonly claims: SlotClaims;
    private readonly acquirer: SlotAcquirer;
    private timer: NodeJS.Timeout | undefined;
    private announceTimer: NodeJS.Timeout | undefined;
    private readonly preferred: PreferredOwners;
    private readonly handOvers: SlotHandOvers;

    constructor(
        private readonly self: Identity,
        private readonly store: Store,
        private readonly membership: Membership,
        private readonly options: SlotsOptions,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {
        this.commit = new GroupCommit(
            store,
            {
                instances: () => membership.members().length,
                retentionMs: () => options.retentionMs(),
                onLost: slot => this.onLost(slot.slot, "a write was refused"),
            },
            log,
            metrics,
        );
        this.preferred = new PreferredOwners(membership, () => options.slotCount(), () => options.zones());
        const write = (owned: OwnedSlot, mutation: Mutation): Promise<void> => this.mutate(owned, mutation);
        this.handOvers = new SlotHandOvers(write, record => options.beforeHandOver(record), log);
        this.claims = new SlotClaims({
            instance: self.instance,
            store,
            commit: this.commit,
            isAlive: instance => membership.isAlive(instance),
            isOwned: slot => this.owned.get(slot)?.provisional === false,
            onClaimed: slot => this.own(slot),
            log,
        });
        this.acquirer = new SlotAcquirer(self.instance, this.directory, membership, this.claims, log);
        this.lease = new LeaseKeeper(
            store,
            self.instance,
            options.leaseSeconds,
            progress => this.verifyAll(progress),
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
        this.commit.stop();
        await this.lease.stop();
    }

    /** Owned slots as a flat list of slots and epochs. */
    announcement(): number[] {
        return [...this.owned.values()].filter(slot => !slot.provisional).flatMap(slot => [slot.slot, slot.epoch]);
    }

    all(): OwnedSlot[] {
        return [...this.owned.values()];
    }

    /** Number of slots that this instance owns and should own. */
    get settledSlots(): number {
        const isSettled = (slot: OwnedSlot): boolean =>
            !slot.provisional && this.preferred.ownerOf(slot.slot)?.instance === this.self.instance;
        return this.all().filter(isSettled).length;
    }

    /** Whether a program can be opened here. */
    get hasOpenSlot(): boolean {
        return this.all().some(slot => !slot.closing);
    }

    get(slot: number): OwnedSlot | undefined {
        return this.owned.get(slot);
    }

    /** Instance that a request for a slot goes to: the announced owner, or who will own it. */
    routeTo(slot: number): string | undefined {
        if (this.owned.get(slot)?.closing === false) {
            return this.self.instance;
        }
        const announced = this.directory.ownerOf(slot);
        if (announced !== undefined && this.membership.isAlive(announced)) {
            return announced;
        }
        return this.preferred.ownerOf(slot)?.instance;
    }

    /**
     * Enters a slot to work on a call.
     *
     * @throws NotOwnerError if another instance owns the slot.
     */
    async enter(slot: number, progress: Progress): Promise<SlotHold> {
        if (!this.owned.has(slot)) {
            await this.claimIfPreferred(slot, progress);
        }
        const durable = await this.proveOwnership(slot, progress);
        const owned = this.owned.get(slot);
        if (owned === undefined || owned.closing) {
            throw new NotOwnerError(slot, this.directory.ownerOf(slot));
        }
        owned.active += 1;
        return { slot: owned, durable: durable && !owned.provisional, leave: () => owned.active -= 1 };
    }

    /** Whether a held slot is provably still owned; cheap enough for each token. */
    isProven(slot: OwnedSlot): boolean {
        return !slot.isLost && (slot.provisional || this.lease.isProven());
    }

    /**
     * Makes sure that a held slot was not lost, for example while this process was paused.
     *
     * @throws NotOwnerError if it was lost.
     */
    async recheck(slot: OwnedSlot, progress: Progress): Promise<void> {
        if (!this.isProven(slot)) {
            await this.proveOwnership(slot.slot, progress);
        }
        if (this.owned.get(slot.slot) !== slot || slot.isLost) {
            throw new NotOwnerError(slot.slot, this.directory.ownerOf(slot.slot));
        }
    }

    /** Changes the record of an owned slot; resolves once the change is stored. */
    async mutate(slot: OwnedSlot, mutation: Mutation): Promise<void> {
        const stored = slot.mutate(mutation);
        this.commit.schedule(slot);
        await stored;
    }

    /** A slot on which a program can be opened, or undefined. */
    async openableSlot(random: () => number): Promise<OwnedSlot | undefined> {
        const open = this.all().filter(slot => !slot.closing && !slot.isLost);
        if (open.length > 0) {
            return open[Math.floor(random() * open.length)];
        }
        return await this.lease.prove() === "storeAway" ? this.holdProvisionally() : undefined;
    }

    /** Peers announced their slots. */
    onAnnounced(owner: string, owned: readonly number[]): void {
        this.directory.announce(owner, owned);
        for (let index = 0; index + 1 < owned.length; index += 2) {
            const mine = this.owned.get(owned[index]!);
            if (mine !== undefined && !mine.provisional && owned[index + 1]! > mine.epoch) {
                this.onLost(mine.slot, "a peer announced a later epoch");
            }
        }
    }

    /** Gives a slot up, once no call is being worked on; returns whether it is given up. */
    async handOver(slot: number, progress: Progress): Promise<boolean> {
        if (this.owned.get(slot) === undefined) {
            await this.claimIfNamed(slot, progress);
        }
        const owned = this.owned.get(slot);
        if (owned === undefined || owned.closing || !this.lease.isProven()) {
            return owned === undefined;
        }
        if (!await this.handOvers.prepare(owned, progress)) {
            return false;
        }
        if (this.owned.get(slot) === owned) {
            this.release(slot, "handed over");
        }
        return true;
    }

    /** Takes a slot whose record names this instance although it does not hold the slot. */
    private async claimIfNamed(slot: number, progress: Progress): Promise<void> {
        const stored = await this.commit.read(slot, progress);
        if (stored?.record.owner === this.self.instance && !this.membership.leaving) {
            await this.claims.claim(slot);
        }
    }

    private tick(): void {
        if (this.membership.leaving) {
            return;
        }
        const wanted: number[] = [];
        for (let slot = 0; slot < this.options.slotCount(); slot++) {
            const mine = this.owned.get(slot);
            const isPreferred = this.preferred.ownerOf(slot)?.instance === this.self.instance;
            if (isPreferred && (mine === undefined || mine.provisional) && !this.claims.isClaiming(slot)) {
                wanted.push(slot);
            }
        }
        if (this.lease.isProven()) {
            void this.acquirer.acquireAll(wanted);
        }
    }

    private async claimIfPreferred(slot: number, progress: Progress): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const ownerAlive = owner !== undefined && this.membership.isAlive(owner);
        const isPreferred = this.preferred.ownerOf(slot)?.instance === this.self.instance;
        if (!isPreferred || ownerAlive || this.membership.leaving) {
            throw new NotOwnerError(slot, ownerAlive ? owner : this.preferred.ownerOf(slot)?.instance);
        }
        if (await this.lease.prove() === "proven") {
            await progress.race(this.claims.claim(slot));
        }
    }

    private own(slot: OwnedSlot): void {
        this.owned.set(slot.slot, slot);
        this.changed();
        this.log.info("slot owned", { slot: slot.slot, epoch: slot.epoch, provisional: slot.provisional });
        this.metrics.count("slots.owned");
        this.options.onOwned(slot);
    }

    /** Holds a slot in memory while the store is away, so that new programs can be opened. */
    private holdProvisionally(): OwnedSlot | undefined {
        const count = this.options.slotCount();
        for (let slot = 0; slot < count; slot++) {
            const announced = this.directory.ownerOf(slot);
            const free = announced === undefined || !this.membership.isAlive(announced);
            if (free && this.preferred.ownerOf(slot)?.instance === this.self.instance) {
                const record = { ...claimSlot(undefined, slot, this.self.instance), epoch: 0 };
                const owned = new OwnedSlot(slot, { record, revision: 0 }, true);
                this.own(owned);
                return owned;
            }
        }
        return undefined;
    }

    /** Returns whether the store can be written. */
    private async proveOwnership(slot: number, progress: Progress): Promise<boolean> {
        if (this.lease.isProven()) {
            return true;
        }
        const state = await progress.race(this.lease.prove());
        if (state === "proven" && this.owned.get(slot)?.provisional === true) {
            await progress.race(this.claims.claim(slot));
        }
        return state === "proven";
    }

    /** Reads every owned slot after the lease had lapsed. */
    private async verifyAll(progress: Progress): Promise<void> {
        for (const slot of this.all().filter(owned => !owned.provisional)) {
            const current = await this.commit.read(slot.slot, progress);
            if (current?.record.owner !== this.self.instance || current.record.epoch !== slot.epoch) {
                this.onLost(slot.slot, "another instance took it while the lease had lapsed");
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
        this.owned.delete(slot);
        this.changed();
        this.log.info("slot released", { slot, reason });
        this.options.onReleased(slot);
    }

    /** Notes a change of the owned slots, and announces all changes of the same moment together. */
    private changed(): void {
        this.version += 1;
        this.directory.announce(this.self.instance, this.announcement());
        this.announceTimer ??= setTimeout(() => {
            this.announceTimer = undefined;
            this.membership.broadcast({ type: "slots", version: this.version, owned: this.announcement() });
        }, announceDelayMs);
    }

    /** Refuses work that needs the store while it is away. */
    static notDurable(detail: string): ProblemError {
        return new ProblemError("not_durable", "notRun", detail, { retryAfterSeconds: 5 });
    }
}
