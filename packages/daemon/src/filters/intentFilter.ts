/** Runs non-idempotent calls at most once, by storing an intent before a call is sent. */
import { digest, ProblemError } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import { addIntent, lookupIntent, recordOutcome, removeIntent } from "@marigolddrift/ledger";
import type { Outcome } from "@marigolddrift/ledger";

import type { ServiceRequest } from "../calls.js";
import type { OwnedSlot } from "../controllers/ownedSlot.js";
import { Slots } from "../controllers/slots.js";
import { verdictOf } from "../lifecycles/requestLifecycle.js";
import type { ServiceContext } from "./ownerContext.js";

/** Key of a call's intent in the ledger. */
export const intentKey = (req: ServiceRequest): string => digest(req.workspace, req.service, req.key ?? "");

/** Digest of a call's content; distinguishes a repeat from a different request with the same key. */
export const requestDigest = (req: ServiceRequest): string =>
    digest(req.method, req.path, req.contentType, Buffer.from(req.body).toString("base64"));

/** An intent that is being stored. */
interface PendingIntent {
    readonly slot: OwnedSlot;
    readonly stored: Promise<void>;
    waiters: number;
}

/** Replays a known call; otherwise stores its intent, runs it, and stores its outcome. */
export class IntentFilter implements Filter<ServiceContext> {
    private readonly pending = new Map<string, PendingIntent>();

    constructor(
        private readonly slots: Slots,
        private readonly isIdempotent: (service: string) => boolean,
        private readonly log: Logger,
    ) {}

    async handle(ctx: ServiceContext, next: () => Promise<void>): Promise<void> {
        if (this.isIdempotent(ctx.req.service)) {
            return next();
        }
        const key = intentKey(ctx.req);
        const request = requestDigest(ctx.req);
        if (this.tryReplay(ctx)) {
            return;
        }
        if (!ctx.hold.durable) {
            throw Slots.notDurableError("A call that must not be repeated cannot be recorded while the store is away.");
        }
        await this.storeIntent(ctx, key, request);
        try {
            await next();
        }
        finally {
            this.resolveIntent(ctx, key);
        }
    }

    /**
     * Answers a repeated call from the ledger; returns false if the call is idempotent, is new, or has an intent that
     * is still being stored.
     *
     * @throws ProblemError `idempotency_conflict`, `outcome_unknown`, or `already_ran` if the outcome has no body.
     */
    tryReplay(ctx: ServiceContext): boolean {
        if (this.isIdempotent(ctx.req.service)) {
            return false;
        }
        const found = lookupIntent(ctx.hold.slot.record, intentKey(ctx.req), requestDigest(ctx.req));
        if (found.kind === "conflict") {
            throw new ProblemError(
                "idempotency_conflict",
                "notRun",
                "The Idempotency-Key was used for a different request.",
            );
        }
        if (found.kind === "unresolved" && this.pendingIntentOf(ctx, intentKey(ctx.req)) !== undefined) {
            return false;
        }
        if (found.kind === "unresolved") {
            throw new ProblemError(
                "outcome_unknown",
                "mayHaveRun",
                "The call was sent before, and its outcome is not known.",
            );
        }
        if (found.kind === "new") {
            return false;
        }
        ctx.lifecycle.send("dispatch");
        ctx.lifecycle.send("finish");
        const { status, contentType, body } = found.outcome;
        if (body === undefined) {
            throw new ProblemError("already_ran", "ran", `The call ran and was answered with status ${status}.`);
        }
        ctx.log.append({ kind: "head", status, contentType, replayed: true });
        ctx.log.append({ kind: "body", data: Buffer.from(body) });
        return true;
    }

    /** Stores the intent; duplicates of the call wait for the same write. */
    private async storeIntent(ctx: ServiceContext, key: string, request: string): Promise<void> {
        const intent = this.pendingIntentOf(ctx, key) ?? this.startStoring(ctx, key, request);
        intent.waiters += 1;
        try {
            await ctx.progress.race(intent.stored);
            this.pending.delete(key);
        }
        catch (err) {
            if (ctx.progress.isAborted) {
                throw Slots.notDurableError("The intent was not stored before the deadline; the call was not sent.");
            }
            throw err;
        }
        finally {
            intent.waiters -= 1;
        }
    }

    private startStoring(ctx: ServiceContext, key: string, request: string): PendingIntent {
        const { slot } = ctx.hold;
        const stored = this.slots.mutate(slot, record => addIntent(record, key, request, Date.now()));
        const intent: PendingIntent = { slot, stored, waiters: 0 };
        this.pending.set(key, intent);
        void stored.then(() => this.onStored(ctx, key, intent), () => this.pending.delete(key));
        return intent;
    }

    /** Withdraws the intent if every request that waited for it has been aborted: the call was never sent. */
    private onStored(ctx: ServiceContext, key: string, intent: PendingIntent): void {
        if (intent.waiters === 0) {
            this.pending.delete(key);
            this.withdrawIntent(ctx, key);
        }
    }

    /** The call's intent if this owner is still storing it; the call cannot have been sent then. */
    private pendingIntentOf(ctx: ServiceContext, key: string): PendingIntent | undefined {
        const intent = this.pending.get(key);
        return intent?.slot === ctx.hold.slot ? intent : undefined;
    }

    /** Stores the outcome, or withdraws the intent if the call did not run; otherwise the intent stays unresolved. */
    private resolveIntent(ctx: ServiceContext, key: string): void {
        const outcome = ctx.outcome;
        if (outcome !== undefined) {
            this.storeOutcome(ctx, key, outcome);
        }
        else if (verdictOf(ctx.lifecycle) === "notRun") {
            this.withdrawIntent(ctx, key);
        }
    }

    private storeOutcome(ctx: ServiceContext, key: string, outcome: Outcome): void {
        this.slots.mutate(ctx.hold.slot, record => recordOutcome(record, key, outcome)).catch(() => {
            this.log.warn("outcome could not be stored; a repeated call will be answered with mayHaveRun", { key });
        });
    }

    private withdrawIntent(ctx: ServiceContext, key: string): void {
        this.slots.mutate(ctx.hold.slot, record => removeIntent(record, key)).catch(() => {
            this.log.warn("intent could not be withdrawn; a repeated call will be answered with mayHaveRun", { key });
        });
    }
}
