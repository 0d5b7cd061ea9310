/** Makes a call that must not be repeated run at most once: its intent is stored before it is sent. */
import { digest, ProblemError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { conclude, intend, lookupIntent, withdraw } from "@marigolddrift/ledger";
import type { Outcome } from "@marigolddrift/ledger";

import type { ServiceRequest } from "../calls.js";
import { Slots } from "../controllers/slots.js";
import { verdictOf } from "../lifecycles/requestLifecycle.js";
import type { Filter } from "./filterChain.js";
import type { ServiceContext } from "./ownerContext.js";

/** Name of a call in the ledger. */
export const intentKey = (req: ServiceRequest): string => digest(req.workspace, req.service, req.key ?? "");

/** Digest of what a call asks for. */
export const requestDigest = (req: ServiceRequest): string =>
    digest(req.method, req.path, req.contentType, Buffer.from(req.body).toString("base64"));

/** Looks the call up, stores its intent, runs it, and stores its outcome. */
export class IntentFilter implements Filter<ServiceContext> {
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
            throw Slots.notDurable("A call that must not be repeated cannot be recorded while the store is away.");
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

    private async store(ctx: ServiceContext, key: string, request: string): Promise<void> {
        const { slot } = ctx.hold;
        const stored = this.slots.mutate(slot, record => intend(record, key, request, Date.now()));
        try {
            await ctx.progress.race(stored);
        }
        catch (err) {
            // The intent may still be stored, but this owner will not send the call.
            void stored.then(() => this.withdraw(ctx, key), () => {});
            if (ctx.progress.signal.aborted) {
                throw Slots.notDurable("The intent was not stored before the deadline; the call was not sent.");
            }
            throw err;
        }
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
        this.slots.mutate(ctx.hold.slot, record => conclude(record, key, outcome)).catch(() => {
            this.log.warn("outcome not stored; a repeat is answered with mayHaveRun", { key });
        });
    }

    private withdraw(ctx: ServiceContext, key: string): void {
        this.slots.mutate(ctx.hold.slot, record => withdraw(record, key)).catch(() => {
            this.log.warn("intent not withdrawn; a repeat is answered with mayHaveRun", { key });
        });
    }
}
