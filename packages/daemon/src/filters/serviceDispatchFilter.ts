/** Dispatches a service call to an upstream, and retries it only where that is safe. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Service } from "@marigolddrift/common";
import type { RetryBudget } from "@marigolddrift/policy";

import type { ServiceRequest } from "../calls.js";
import type { Upstream } from "../controllers/upstream.js";
import type { Upstreams } from "../controllers/upstreams.js";
import type { ServiceClient, ServiceReply } from "../upstreams/serviceClient.js";
import { UpstreamError } from "../upstreams/upstreamError.js";
import type { ServiceContext } from "./ownerContext.js";

const maxAttempts = 4;

/** Components that {@link ServiceDispatchFilter} uses. */
export interface ServiceDispatchDependencies {
    readonly upstreams: Upstreams;
    readonly client: ServiceClient;
    readonly retryBudget: RetryBudget;
    readonly zone: string;
    service(name: string): Service | undefined;
    /** Rejects with a NotOwnerError if this instance no longer owns the slot. */
    verifyOwnership(ctx: ServiceContext): Promise<void>;
    readonly log: Logger;
}

/** Last filter of a service call at its owner. */
export class ServiceDispatchFilter implements Filter<ServiceContext> {
    constructor(private readonly deps: ServiceDispatchDependencies) {}

    async handle(ctx: ServiceContext): Promise<void> {
        const service = this.deps.service(ctx.req.service)!;
        this.deps.retryBudget.onRequest();
        const excluded = new Set<Upstream>();
        for (let attempt = 1;; attempt++) {
            const upstream = this.choose(ctx, excluded);
            try {
                return this.answer(ctx, await this.attempt(ctx, service, upstream));
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                excluded.add(upstream);
                this.onFailure(ctx, service, err, attempt);
            }
        }
    }

    /** Chooses the nearest upstream by zone and region; of several, the one with the fewest calls in flight. */
    private choose(ctx: ServiceContext, excluded: ReadonlySet<Upstream>): Upstream {
        const { log, upstreams, zone } = this.deps;
        const region = upstreams.regionOf(zone);
        const distance = (upstream: Upstream): number =>
            upstream.zone === zone ? 0 : upstreams.regionOf(upstream.zone) === region ? 1 : 2;
        const now = Date.now();
        const usable = upstreams.upstreamsFor(ctx.req.service).filter(upstream =>
            !excluded.has(upstream) && upstream.canAcceptCall(now)
        );
        const [best] = usable.sort((a, b) => distance(a) - distance(b) || a.inFlight - b.inFlight);
        if (best === undefined) {
            const detail = `No upstream of service "${ctx.req.service}" can be used now.`;
            throw new ProblemError("no_upstream", "notRun", detail, { retryAfterSeconds: 2 });
        }
        const scores = usable.map(upstream => [upstream.address, distance(upstream), upstream.inFlight]);
        log.info("routing", {
            service: ctx.req.service,
            call: ctx.call,
            choice: best.address,
            reason: "nearestLeastBusy",
            scores,
        });
        return best;
    }

    private async attempt(ctx: ServiceContext, service: Service, upstream: Upstream): Promise<ServiceReply> {
        await this.deps.verifyOwnership(ctx);
        const progress = ctx.progress.child(service.timeoutSeconds * 1000);
        ctx.lifecycle.send("dispatch");
        upstream.onAssigned();
        try {
            const reply = await this.deps.client.call(upstream.address, ctx.req, progress);
            upstream.onSuccess();
            return reply;
        }
        catch (err) {
            if (err instanceof UpstreamError) {
                upstream.onFailure(err.verdict === "notRun", Date.now());
            }
            throw err;
        }
        finally {
            upstream.onReleased();
            progress.dispose();
        }
    }

    private onFailure(ctx: ServiceContext, service: Service, err: UpstreamError, attempt: number): void {
        this.deps.log.warn("service call failed", {
            service: ctx.req.service,
            upstream: err.upstream,
            error: err.message,
        });
        const neverSent = err.verdict === "notRun";
        const mayRetry = neverSent || (service.idempotent && this.deps.retryBudget.tryAcquire());
        if (neverSent) {
            ctx.lifecycle.send("retract");
        }
        if (ctx.progress.isAborted && neverSent) {
            ctx.progress.throwIfAborted();
        }
        if (!mayRetry || attempt >= maxAttempts || ctx.progress.isAborted) {
            ctx.lifecycle.send("fail");
            throw new ProblemError("upstream_failed", neverSent ? "notRun" : "mayHaveRun", err.message, { cause: err });
        }
        ctx.lifecycle.send("retract");
    }

    private answer(ctx: ServiceContext, reply: ServiceReply): void {
        const { status, contentType, body } = reply;
        ctx.outcome = { status, contentType, body: body.toString() };
        ctx.lifecycle.send("finish");
        ctx.log.append({ kind: "head", status, contentType, replayed: false });
        ctx.log.append({ kind: "body", data: body });
    }
}

/** The caller's idempotency key, else one derived from program and call number, if the request has both. */
export const defaultIdempotencyKey = (req: ServiceRequest): string | undefined =>
    req.key ?? (req.program !== undefined && req.call !== undefined ? `${req.program}#${req.call}` : undefined);
