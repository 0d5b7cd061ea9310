/** Sends the calls of a resumable stream to upstreams of one build only. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Metrics } from "@marigolddrift/common";

import type { Builds, KnownBuild } from "../builds/builds.js";
import { isResumable } from "../routes.js";
import type { Route, Service } from "../routes.js";
import { scopedName } from "../workspaces.js";
import type { CallContext } from "./callContext.js";

/** Dependencies of a {@link BuildFilter}. */
export interface BuildFilterOptions {
    readonly builds: Pick<Builds, "mayBegin" | "declareForCall" | "findBuild" | "isMixed">;
    /** Returns a service of the configuration in force. */
    serviceOf(name: string): Service | undefined;
    /** Services at which a stream of the call's path may have begun before the configuration changed. */
    formerServices(host: string, path: string): readonly string[];
    readonly metrics: Pick<Metrics, "count">;
    readonly log: Logger;
}

/** New streams begin at declared builds; a stream that is taken up goes on at its own, or is refused before anything has run. */
export class BuildFilter implements Filter<CallContext> {
    constructor(private readonly options: BuildFilterOptions) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        if (!ctx.route.isStreaming) {
            await next();
            return;
        }
        const { builds } = this.options;
        const former = this.options.formerServices(ctx.req.headers.host ?? "", ctx.req.url ?? "");
        ctx.streamRoute = withFormer(ctx.route, former);
        // A stream that began while its route was resumable may be taken up when it is not any more.
        const mayTakeUp = isResumable(ctx.route) || former.length > 0;
        if (mayTakeUp && ctx.head.resumption !== undefined) {
            await this.resume(ctx, ctx.head.resumption.callId, next);
        }
        else if (isResumable(ctx.route)) {
            await builds.declareForCall(ctx.service.name, ctx.progress);
            ctx.candidates = { accepts: entry => builds.mayBegin(entry), lane: undefined };
            await next();
        }
        else {
            await next();
        }
    }

    private async resume(ctx: CallContext, callId: string | undefined, next: () => Promise<void>): Promise<void> {
        const { builds } = this.options;
        const startedAt = performance.now();
        let known: KnownBuild | undefined;
        let outcome = "continued";
        try {
            const streamId = callId && scopedName(ctx.workspace, callId);
            const { build, service } = known = await builds.findBuild(
                ctx.streamRoute ?? ctx.route,
                streamId,
                ctx.progress,
            );
            if (!ctx.route.targets.some(target => target.service === service)) {
                const detail = "The stream began at a service that the route does not send calls to any more.";
                throw new ProblemError("build_unknown", "notRun", detail);
            }
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

/** Adds the services that a route sent calls to before; a stream can then go on only at the one that is known to have begun it. */
const withFormer = (route: Route, former: readonly string[]): Route | undefined => {
    const added = former.filter(name => !route.targets.some(({ service }) => service === name));
    return added.length === 0 ?
        undefined :
        { ...route, targets: [...route.targets, ...added.map(service => ({ service, weight: 0 }))] };
};
