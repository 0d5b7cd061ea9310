/** Makes a call that must not be repeated run at most once: its intent is stored before it is sent. */
import { digest, ProblemError } from "@marigolddrift/common";
import type { Filter, Logger } from "@marigolddrift/common";
import { addIntent, lookupIntent, recordOutcome, removeIntent } from "@marigolddrift/ledger";
import type { Outcome } from "@marigolddrift/ledger";

import type { ServiceRequest } from "../calls.js";
import type { OwnedSlot } from "../controllers/ownedSlot.js";
import { Slots } from "../controllers/slots.js";
import { verdictOf } from "../lifecycles/requestLifecycle.js";
import type { ServiceContext } from "./ownerContext.js";

/** Name of a call in the ledger. */
export const intentKey = (req: ServiceRequest): string => digest(req.workspace, req.service, req.key ?? "");

/** Digest of what a call asks for. */
export const requestDigest = (req: ServiceRequest): string =>
    digest(req.method, req.path, req.contentType, Buffer.from(req.body).toString("base64"));

/** An intent that is being stored. */
interface PendingIntent {
    readonly slot: OwnedSlot;
    readonly stored: Promise<void>;
    waiters: number;
}

/** Looks the call up, stores its intent, runs it, and stores its outcome. */
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
        if (this.replayKnown(ctx)) {
            return;
        }
        if (!ctx.hold.durable) {
            throw Slots.notDurableError("A call that must not be repeated cannot be recorded while the store is away.");
        }
        await this.store(ctx, key, request);
        try {
            await next();
        }
        finally {
            this.settle(ctx, key);
        }
    }

    /** Answers a repeated call from the ledger; returns false if the call is new or may be repeated. */
    replayKnown(ctx: ServiceContext): boolean {
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
        if (found.kind === "unresolved" && this.ownPending(ctx, intentKey(ctx.req)) !== undefined) {
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

    /** Stores the intent; a call that is sent again meanwhile waits for the same write. */
    private async store(ctx: ServiceContext, key: string, request: string): Promise<void> {
        const intent = this.ownPending(ctx, key) ?? this.begin(ctx, key, request);
        intent.waiters += 1;
        try {
            await ctx.progress.race(intent.stored);
            this.pending.delete(key);
        }
        catch (err) {
            if (ctx.progress.signal.aborted) {
                throw Slots.notDurableError("The intent was not stored before the deadline; the call was not sent.");
            }
            throw err;
        }
        finally {
            intent.waiters -= 1;
        }
    }

    private begin(ctx: ServiceContext, key: string, request: string): PendingIntent {
        const { slot } = ctx.hold;
        const stored = this.slots.mutate(slot, record => addIntent(record, key, request, Date.now()));
        const intent: PendingIntent = { slot, stored, waiters: 0 };
        this.pending.set(key, intent);
        void stored.then(() => this.onStored(ctx, key, intent), () => this.pending.delete(key));
        return intent;
    }

    /** Takes an intent back that nobody waits for any more: the call was never sent. */
    private onStored(ctx: ServiceContext, key: string, intent: PendingIntent): void {
        if (intent.waiters === 0) {
            this.pending.delete(key);
            this.withdraw(ctx, key);
        }
    }

    /** An intent of this owner that is not stored yet, so that its call cannot have been sent. */
    private ownPending(ctx: ServiceContext, key: string): PendingIntent | undefined {
        const intent = this.pending.get(key);
        return intent?.slot === ctx.hold.slot ? intent : undefined;
    }

    private settle(ctx: ServiceContext, key: string): void {
        const outcome = ctx.outcome;
        if (outcome !== undefined) {
            this.record(ctx, key, outcome);
        }
        else if (verdictOf(ctx.lifecycle) === "notRun") {
            this.withdraw(ctx, key);
        }
    }

    private record(ctx: ServiceContext, key: string, outcome: Outcome): void {
        this.slots.mutate(ctx.hold.slot, record => recordOutcome(record, key, outcome)).catch(() => {
            this.log.warn("outcome not stored; a repeat is answered with mayHaveRun", { key });
        });
    }

    private withdraw(ctx: ServiceContext, key: string): void {
        this.slots.mutate(ctx.hold.slot, record => removeIntent(record, key)).catch(() => {
            this.log.warn("intent not withdrawn; a repeat is answered with mayHaveRun", { key });
        });
    }
}
