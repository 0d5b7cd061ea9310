/** Sends the calls of a resumable stream to upstreams of one build only. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Metrics } from "@marigolddrift/common";

import type { Builds, KnownBuild } from "../builds/builds.js";
import { isResumable } from "../routes.js";
import type { Service } from "../routes.js";
import { scopedName } from "../workspaces.js";
import type { CallContext } from "./callContext.js";

/** Dependencies of a {@link BuildFilter}. */
export interface BuildFilterOptions {
    readonly builds: Pick<Builds, "mayBegin" | "declareForCall" | "findBuild" | "isMixed">;
    /** Returns a service of the configuration in force. */
    serviceOf(name: string): Service | undefined;
    readonly metrics: Pick<Metrics, "count">;
    readonly log: Logger;
}

/** New streams begin at declared builds; a stream that is taken up goes on at its own, or is refused before anything has run. */
export class BuildFilter implements Filter<CallContext> {
    constructor(private readonly options: BuildFilterOptions) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        if (!isResumable(ctx.route)) {
            await next();
        }
        else if (ctx.head.resumption === undefined) {
            const { builds } = this.options;
            await builds.declareForCall(ctx.service.name, ctx.progress);
            ctx.candidates = { accepts: entry => builds.mayBegin(entry), lane: undefined };
            await next();
        }
        else {
            await this.resume(ctx, ctx.head.resumption.callId, next);
        }
    }

    private async resume(ctx: CallContext, callId: string | undefined, next: () => Promise<void>): Promise<void> {
        const { builds } = this.options;
        const startedAt = performance.now();
        let known: KnownBuild | undefined;
        let outcome = "continued";
        try {
            const streamId = callId && scopedName(ctx.workspace, callId);
            const { build, service } = known = await builds.findBuild(ctx.route, streamId, ctx.progress);
            ctx.service = this.options.serviceOf(service) ?? ctx.service;
            ctx.trace.service = service;
            const lane = builds.isMixed(service) ? build : undefined;
            ctx.candidates = { accepts: entry => entry.build === build, lane };
            await next();
        }
        catch (err) {
            outcome = err instanceof ProblemError ? err.code : asError(err).message;
            throw err;
        }
        finally {
            this.record(ctx, callId, known, outcome, performance.now() - startedAt);
        }
    }

    private record(
        ctx: CallContext,
        callId: string | undefined,
        known: KnownBuild | undefined,
        outcome: string,
        ms: number,
    ): void {
        const { metrics, log } = this.options;
        metrics.count(`resumptions.${outcome}`);
        log.info("stream taken up", {
            request: ctx.id,
            resumes: callId,
            service: ctx.service.name,
            ...known,
            upstream: ctx.trace.upstream,
            outcome,
            ms: Math.round(ms),
        });
    }
}
