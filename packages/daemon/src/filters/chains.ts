/** Builds the filter chains that requests pass through. */
import type { Bundle, Filter, Logger, Metrics } from "@marigolddrift/common";
import type { Dispatcher } from "@marigolddrift/dispatch";
import type { RetryBudget } from "@marigolddrift/policy";

import type { EngineMemory } from "../controllers/engineMemory.js";
import type { Programs } from "../controllers/programs.js";
import type { Slots } from "../controllers/slots.js";
import type { Upstreams } from "../controllers/upstreams.js";
import { verdictOf } from "../lifecycles/requestLifecycle.js";
import type { Router } from "../router.js";
import type { EngineClient } from "../upstreams/engineClient.js";
import type { ServiceClient } from "../upstreams/serviceClient.js";
import { AdmissionFilter } from "./admissionFilter.js";
import { AnswerFilter } from "./answerFilter.js";
import { AuthenticateFilter } from "./authenticateFilter.js";
import { BodyFilter } from "./bodyFilter.js";
import { ChatDispatchFilter } from "./chatDispatchFilter.js";
import type { EdgeContext } from "./edgeContext.js";
import { HistoryFilter } from "./historyFilter.js";
import { IntentFilter } from "./intentFilter.js";
import { LoopFilter } from "./loopFilter.js";
import { OrderFilter } from "./orderFilter.js";
import type { ChatContext, ServiceContext } from "./ownerContext.js";
import { ParseFilter } from "./parseFilter.js";
import { ReplayFilter } from "./replayFilter.js";
import { ServiceDispatchFilter } from "./serviceDispatchFilter.js";

/** Components that the owner's filter chains use. */
export interface ChainDependencies {
    readonly slots: Slots;
    readonly programs: Programs;
    readonly upstreams: Upstreams;
    readonly retryBudget: RetryBudget;
    bundle(): Bundle;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Filters of a caller's request at the instance that received it. */
export const createEdgeFilters = (
    programs: Programs,
    router: Router,
    anyOwnedSlot: () => number | undefined,
): Filter<EdgeContext>[] => [
    new AuthenticateFilter(),
    new BodyFilter(),
    new ParseFilter(programs, anyOwnedSlot),
    new AnswerFilter(router),
];

/** Filters of a model call at its owner. */
export const createChatFilters = (
    deps: ChainDependencies & {
        readonly dispatcher: Dispatcher;
        readonly engines: EngineClient;
        readonly memory: EngineMemory;
        readonly stallMs: number;
    },
): Filter<ChatContext>[] => [
    new OrderFilter(ctx => ctx.lifecycle.state === "done"),
    new HistoryFilter(),
    new LoopFilter(deps.programs),
    new AdmissionFilter(deps.dispatcher, workspace => deps.bundle().workspace[workspace]?.maxInFlight ?? 0),
    new ChatDispatchFilter({
        ...deps,
        workspaceWeight: workspace => deps.bundle().workspace[workspace]?.weight ?? 1,
    }),
];

/** Filters of a service call at its owner. */
export const createServiceFilters = (
    deps: ChainDependencies & { readonly client: ServiceClient; readonly zone: string; },
): Filter<ServiceContext>[] => {
    const isIdempotent = (service: string): boolean => deps.bundle().service[service]?.idempotent ?? false;
    const intents = new IntentFilter(deps.slots, isIdempotent, deps.log);
    return [
        new ReplayFilter(intents),
        // A non-idempotent call that may have run is never repeated: the next call may run even if the outcome is
        // unknown.
        new OrderFilter(ctx =>
            ctx.lifecycle.state === "done" ||
            (verdictOf(ctx.lifecycle) !== "notRun" && !isIdempotent((ctx as ServiceContext).req.service))
        ),
        intents,
        new ServiceDispatchFilter({
            ...deps,
            service: name => deps.bundle().service[name],
            verifyOwnership: ctx => deps.slots.verifyOwned(ctx.hold.slot, ctx.progress),
        }),
    ];
};
