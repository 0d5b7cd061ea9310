/** Explains where a described call would go now. Reads the state of the instance and changes none of it. */
import { ProblemError, Progress } from "@marigolddrift/common";
import type { Dispatcher } from "@marigolddrift/dispatch";

import type { DrainSchedule } from "../entry/drainSchedule.js";
import type { StatusResponse } from "../entry/statusServer.js";
import type { CallDescription } from "../filters/callContext.js";
import { checkPromptSize } from "../filters/promptSizeFilter.js";
import type { LimitAdmission } from "../limits/limitAdmission.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import { ChunkedBytes } from "../memory/chunkedBytes.js";
import { createQueuedCall } from "../placement.js";
import type { QueuedCall, Topology, UpstreamPool } from "../placement.js";
import type { Route, RouteTable, RouteTarget } from "../routes.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import type { Workspace } from "../workspaces.js";
import { CallQueryError, parseCallQuery } from "./callQuery.js";
import type { DescribedCall } from "./callQuery.js";
import { describeCandidate, outcomeOf, refusalOf, ruledOutReason } from "./explanation.js";
import type { Explanation, Outcome } from "./explanation.js";

/** Number of placements that are tried, since part of the candidates is sampled at random. */
const placementTries = 40;

/** Components whose state is read. */
export interface ExplainedComponents {
    readonly instance: string;
    readonly topology: Topology;
    readonly pool: Pick<UpstreamPool, "views">;
    readonly upstreams: Pick<Upstreams, "ofService">;
    readonly limits: Pick<UpstreamLimits, "isClosed">;
    readonly dispatcher: Pick<Dispatcher<QueuedCall>, "preview">;
    readonly admission: Pick<LimitAdmission, "longestWaitMs">;
    routes(): RouteTable | undefined;
    drainSchedule(): DrainSchedule | undefined;
}

/** Explains calls of one instance. */
export class Explainer {
    constructor(private readonly of: ExplainedComponents) {}

    /**
     * Returns where a call would go now.
     *
     * @example
     * explainer.explain(parseCallQuery(new URLSearchParams("host=quotes.example&path=/fills/7"))).outcome.action;
     */
    explain(call: DescribedCall): Explanation {
        const { instance } = this.of;
        const known: KnownFields = {};
        let ctx: CallDescription | undefined;
        try {
            ctx = this.createContext(call, known);
            const outcome = this.explainPlacement(ctx, known);
            return { instance, outcome, ...known };
        }
        catch (err) {
            if (!(err instanceof ProblemError)) {
                throw err;
            }
            return { instance, outcome: refusalOf(err), ...known };
        }
        finally {
            ctx?.progress.dispose();
        }
    }

    /** Applies the checks of the entry server in their order. */
    private createContext(call: DescribedCall, known: KnownFields): CallDescription {
        const table = this.of.routes();
        if (table === undefined) {
            throw new ProblemError("not_configured", "notRun", "This instance has not read the configuration yet.");
        }
        known.configVersion = table.config.version;
        const route = table.match(call.host, call.path);
        const service = route && table.service(call.service ?? heaviest(route).service);
        if (route === undefined || service === undefined) {
            throw new ProblemError("unknown_route", "notRun", "No route matches the host and path.");
        }
        known.route = route.name;
        known.targets = route.targets;
        known.service = service.name;
        const workspace = findWorkspace(table, route, call.workspace);
        known.workspace = workspace?.name;
        known.quota = workspace?.quota;
        known.priority = workspace?.priority ?? route.priority;
        const limitMs = Math.min(call.limitMs, route.timeoutMs);
        if (this.of.drainSchedule()?.takes(limitMs, performance.now()) === false) {
            throw new ProblemError("draining", "notRun", "The instance is stopping.");
        }
        return {
            head: call.head,
            id: call.head.program?.id ?? "explained",
            route,
            service,
            workspace,
            priority: known.priority,
            progress: new Progress(limitMs),
            body: ChunkedBytes.empty,
            candidates: undefined,
        };
    }

    private explainPlacement(ctx: CallDescription, known: KnownFields): Outcome {
        const queued = createQueuedCall(ctx, new Set());
        const views = this.of.pool.views(queued);
        const preview = this.of.dispatcher.preview(queued, views, placementTries, Math.random);
        known.waitingCalls = preview.waiting;
        known.expectedWaitMs = preview.expectedWaitMs;
        known.candidates = views.map(view => describeCandidate(view, queued.shape, preview.placements)).sort((a, b) =>
            b.chosen - a.chosen || a.expectedMs + a.othersMs - b.expectedMs - b.othersMs
        );
        known.ruledOut = this.ruledOut(ctx.service.name, new Set(views.map(({ worker }) => worker)));
        checkPromptSize(ctx);
        this.of.admission.longestWaitMs(queued, ctx);
        return outcomeOf(preview);
    }

    private ruledOut(service: string, candidates: ReadonlySet<string>): Explanation["ruledOut"] {
        const { upstreams, limits, topology } = this.of;
        const now = performance.now();
        return upstreams.ofService(service).filter(({ entry }) => !candidates.has(entry.id)).map(upstream => ({
            upstream: upstream.entry.id,
            zone: upstream.entry.zone,
            reason: ruledOutReason(upstream, {
                isAtLimit: limits.isClosed(upstream),
                isOtherRegion: topology.regionOf(upstream.entry.zone) !== topology.region,
                now,
            }),
        }));
    }
}

/**
 * Answers a status request that asks where a call would go; 400 if it does not describe one.
 *
 * @example
 * statusServer.add("/where", query => answerCallQuery(gateway.explainer, query));
 */
export const answerCallQuery = (explainer: Explainer, query: URLSearchParams): StatusResponse => {
    const contentType = "application/json";
    try {
        return { status: 200, contentType, body: JSON.stringify(explainer.explain(parseCallQuery(query))) };
    }
    catch (err) {
        if (!(err instanceof CallQueryError)) {
            throw err;
        }
        return { status: 400, contentType, body: JSON.stringify({ error: err.message }) };
    }
};

/** What has been found out of a call so far. */
type KnownFields = { -readonly [Key in Exclude<keyof Explanation, "instance" | "outcome">]?: Explanation[Key]; };

const heaviest = ({ targets }: Route): RouteTarget => [...targets].sort((a, b) => b.weight - a.weight)[0]!;

const findWorkspace = (table: RouteTable, route: Route, name: string | undefined): Workspace | undefined => {
    const workspace = table.config.workspaces?.find(candidate => candidate.name === name);
    if (name !== undefined && workspace === undefined) {
        throw new ProblemError("unauthorized", "notRun", `The configuration has no workspace "${name}".`);
    }
    if (table.config.workspaces !== undefined && workspace === undefined && !route.isPublic) {
        throw new ProblemError("unauthorized", "notRun", "The route needs an API key, hence a workspace.");
    }
    return workspace;
};
