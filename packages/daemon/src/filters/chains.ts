/** The filter chains, each in one place. */
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

/** What the owner's chains work with. */
export interface ChainParts {
    readonly slots: Slots;
    readonly programs: Programs;
    readonly upstreams: Upstreams;
    readonly retries: RetryBudget;
    bundle(): Bundle;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Filters of a caller's request at the instance that received it. */
export const createEdgeFilters = (
    programs: Programs,
    router: Router,
    localSlot: () => number | undefined,
): Filter<EdgeContext>[] => [
    new AuthenticateFilter(),
    new BodyFilter(),
    new ParseFilter(programs, localSlot),
    new AnswerFilter(router),
];

/** Filters of a model call at its owner. */
export const createChatFilters = (
    parts: ChainParts & {
        readonly dispatcher: Dispatcher;
        readonly engines: EngineClient;
        readonly memory: EngineMemory;
        readonly stallMs: number;
    },
): Filter<ChatContext>[] => [
    new OrderFilter(ctx => ctx.lifecycle.state === "done"),
    new HistoryFilter(),
    new LoopFilter(parts.programs),
    new AdmissionFilter(parts.dispatcher, workspace => parts.bundle().workspace[workspace]?.maxInFlight ?? 0),
    new ChatDispatchFilter({
        ...parts,
        workspaceWeight: workspace => parts.bundle().workspace[workspace]?.weight ?? 1,
    }),
];

/** Filters of a service call at its owner. */
export const createServiceFilters = (
    parts: ChainParts & { readonly client: ServiceClient; readonly zone: string; },
): Filter<ServiceContext>[] => {
    const isIdempotent = (service: string): boolean => parts.bundle().service[service]?.idempotent ?? false;
    const intents = new IntentFilter(parts.slots, isIdempotent, parts.log);
    return [
        new ReplayFilter(intents),
        // A call that must not be repeated has had its turn even if its outcome is unknown.
        new OrderFilter(ctx =>
            ctx.lifecycle.state === "done" ||
            (verdictOf(ctx.lifecycle) !== "notRun" && !isIdempotent((ctx as ServiceContext).req.service))
        ),
        intents,
        new ServiceDispatchFilter({
            ...parts,
            service: name => parts.bundle().service[name],
            recheck: ctx => parts.slots.verifyOwned(ctx.hold.slot, ctx.progress),
        }),
    ];
};
