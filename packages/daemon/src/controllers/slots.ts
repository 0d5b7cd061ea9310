/** Owns slots: claims, verifies, loses and hands them over. */
import { asError, type Logger, type Metrics, ProblemError, Progress } from "@marigolddrift/common";
import {
    beginWrite,
    handOver,
    onApplied,
    onNoReply,
    onReadBack,
    onRefused,
    openWriter,
    packRecord,
    type SlotRecord,
    takeOver,
    type WriterState,
} from "@marigolddrift/ledger";

import { type Compare, type Store, StoreError } from "@marigolddrift/platform";
import { createNonce } from "../peers/handshake.js";
import type { Identity } from "../peers/identity.js";
import { NotOwnerError } from "../peers/peerErrors.js";
import { GroupCommit, slotKey } from "./groupCommit.js";
import { instanceKey, LeaseKeeper } from "./leaseKeeper.js";
import type { Member, Membership } from "./membership.js";
import { type Mutation, OwnedSlot } from "./ownedSlot.js";
import { SlotDirectory } from "./slotDirectory.js";

const tickMs = 500;
const claimTimeoutMs = 2_000;
const parallelClaims = 8;

/** Time between two requests to hand the same slot over, in milliseconds. */
const handOverRetryMs = 2_000;

/** Time for which a slot stays open for new calls while its hand-over waits for a quiet moment, in milliseconds. */
const handOverPatienceMs = 3_000;
const handOverPollMs = 50;
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
    private readonly claiming = new Map<number, Promise<void>>();
    private readonly askedAt = new Map<number, number>();
    private timer: NodeJS.Timeout | undefined;
    private announceTimer: NodeJS.Timeout | undefined;
    private preferred: { key: string; slots: (Member | undefined)[]; } = { key: "", slots: [] };

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
        return this.preferredOwner(slot)?.instance;
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

    /** Gives a slot up, once no call is being worked on. */
    async handOver(slot: number, progress: Progress): Promise<boolean> {
        const owned = this.owned.get(slot);
        if (owned === undefined || owned.closing) {
            return owned === undefined;
        }
        const patience = Date.now() + handOverPatienceMs;
        try {
            while (owned.active > 0) {
                owned.closing ||= Date.now() > patience;
                await progress.sleep(handOverPollMs);
            }
            owned.closing = true;
            if (!owned.provisional && !owned.isLost) {
                const mutation: Mutation = record => handOver(this.options.beforeHandOver(record));
                await progress.race(this.mutate(owned, mutation));
            }
        }
        catch (err) {
            owned.closing = false;
            this.log.warn("slot not handed over", { slot, error: asError(err).message });
            return false;
        }
        this.release(slot, "handed over");
        return true;
    }

    private preferredOwner(slot: number): Member | undefined {
        const members = this.membership.members();
        const key = members.map(member => member.instance).sort().join() + this.options.zones().join() +
            this.options.slotCount();
        if (this.preferred.key !== key) {
            const count = this.options.slotCount();
            const zones = this.options.zones();
            const slots = Array.from({ length: count }, (_, index) => this.membership.preferredOwner(index, zones));
            this.preferred = { key, slots };
        }
        return this.preferred.slots[slot];
    }

    private tick(): void {
        if (this.membership.leaving) {
            return;
        }
        const wanted: number[] = [];
        for (let slot = 0; slot < this.options.slotCount(); slot++) {
            const mine = this.owned.get(slot);
            const isPreferred = this.preferredOwner(slot)?.instance === this.self.instance;
            if (isPreferred && (mine === undefined || mine.provisional) && !this.claiming.has(slot)) {
                wanted.push(slot);
            }
        }
        void this.acquireAll(wanted);
    }

    private async acquireAll(slots: readonly number[]): Promise<void> {
        if (!this.lease.isProven()) {
            return;
        }
        const queue = [...slots];
        const worker = async (): Promise<void> => {
            for (let slot = queue.shift(); slot !== undefined; slot = queue.shift()) {
                await this.acquire(slot);
            }
        };
        await Promise.all(Array.from({ length: parallelClaims }, worker));
    }

    /** Claims a slot, or asks its owner for it. */
    private async acquire(slot: number): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const peer = owner === undefined || owner === this.self.instance ? undefined : this.membership.peerOf(owner);
        if (peer === undefined) {
            return this.claimOnce(slot);
        }
        const asked = this.askedAt.get(slot) ?? 0;
        if (asked + handOverRetryMs > Date.now()) {
            return;
        }
        this.askedAt.set(slot, Date.now());
        const progress = new Progress(Date.now() + claimTimeoutMs + handOverPatienceMs);
        try {
            if (await peer.link.ask({ kind: "handOver", slot }, progress) === true) {
                await this.claimOnce(slot);
            }
        }
        catch (err) {
            this.log.debug("hand-over not answered", { slot, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    private async claimIfPreferred(slot: number, progress: Progress): Promise<void> {
        const owner = this.directory.ownerOf(slot);
        const ownerAlive = owner !== undefined && this.membership.isAlive(owner);
        const isPreferred = this.preferredOwner(slot)?.instance === this.self.instance;
        if (!isPreferred || ownerAlive || this.membership.leaving) {
            throw new NotOwnerError(slot, ownerAlive ? owner : this.preferredOwner(slot)?.instance);
        }
        if (await this.lease.prove() === "proven") {
            await progress.race(this.claimOnce(slot));
        }
    }

    private claimOnce(slot: number): Promise<void> {
        let claim = this.claiming.get(slot);
        if (claim === undefined) {
            claim = this.claim(slot).finally(() => this.claiming.delete(slot));
            this.claiming.set(slot, claim);
        }
        return claim;
    }

    private async claim(slot: number): Promise<void> {
        const progress = new Progress(Date.now() + claimTimeoutMs);
        try {
            const writer = await this.writeClaim(slot, progress);
            if (writer?.kind === "idle") {
                this.own(new OwnedSlot(slot, writer.stored, false));
            }
        }
        catch (err) {
            this.log.debug("slot not claimed", { slot, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    /** Takes a slot over: only if its record is unchanged and its former owner's lease has ended. */
    private async writeClaim(slot: number, progress: Progress): Promise<WriterState | undefined> {
        const stored = await this.commit.read(slot, progress);
        const former = stored?.record.owner ?? "";
        if (former !== "" && former !== this.self.instance && this.membership.isAlive(former)) {
            return undefined;
        }
        const base = stored ?? { record: takeOver(undefined, slot, ""), revision: 0 };
        const next = takeOver(stored?.record, slot, this.self.instance);
        let writer = beginWrite(openWriter(base), next, createNonce());
        const fence: Compare[] = former === "" || former === this.self.instance ?
            [] :
            [{ key: instanceKey(former), revision: 0 }];
        while (writer.kind === "writing") {
            writer = await this.tryClaim(slot, writer, fence, progress);
        }
        return writer;
    }

    private async tryClaim(
        slot: number,
        writer: WriterState & { kind: "writing"; },
        fence: readonly Compare[],
        progress: Progress,
    ): Promise<WriterState> {
        const compares = [{ key: slotKey(slot), revision: writer.stored.revision }, ...fence];
        try {
            const result = await this.store.txn(
                compares,
                [{ key: slotKey(slot), value: packRecord(writer.next) }],
                progress,
            );
            if (result.succeeded) {
                return onApplied(writer, result.revision);
            }
            const settled = onRefused(writer, await this.commit.read(slot, progress));
            // The record is unchanged, so the former owner's lease must still hold.
            return settled.kind === "writing" ? { kind: "lost" } : settled;
        }
        catch (err) {
            if (!(err instanceof StoreError) || err.applied === "no") {
                throw err;
            }
            return onReadBack(onNoReply(writer), await this.commit.read(slot, progress));
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
            if (free && this.preferredOwner(slot)?.instance === this.self.instance) {
                const record = { ...takeOver(undefined, slot, this.self.instance), epoch: 0 };
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
            await progress.race(this.claimOnce(slot));
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
