/** The filters that each call passes through. */
import type { Filter, Logger } from "@marigolddrift/common";
import type { Dispatcher } from "@marigolddrift/dispatch";

import type { Beginnings } from "../beginnings/beginnings.js";
import type { TokenReserver } from "../budgets/regionBudgets.js";
import type { Builds } from "../builds/builds.js";
import type { CallBlocker } from "../crashes/callBlocker.js";
import { CrashDetector } from "../crashes/crashDetector.js";
import { FairAdmission } from "../fairness/fairAdmission.js";
import type { Fairness } from "../fairness/fairness.js";
import type { GatewayMetrics } from "../gatewayMetrics.js";
import type { LimitAdmission } from "../limits/limitAdmission.js";
import type { UpstreamLimits } from "../limits/upstreamLimits.js";
import type { QueuedCall, UpstreamPool } from "../placement.js";
import type { CallProtocol } from "../protocol.js";
import type { Service } from "../routes.js";
import type { TurnStore } from "../turns/turnStore.js";
import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { Upstreams } from "../upstreams/upstreams.js";
import { BeginningFilter } from "./beginningFilter.js";
import { BlockFilter } from "./blockFilter.js";
import { BodyFilter } from "./bodyFilter.js";
import { BudgetFilter } from "./budgetFilter.js";
import { BuildFilter } from "./buildFilter.js";
import type { CallContext } from "./callContext.js";
import { ForwardFilter } from "./forwardFilter.js";
import type { ForwardFilterOptions } from "./forwardFilter.js";
import { Hedger } from "./hedger.js";
import { HistoryFilter } from "./historyFilter.js";
import { PromptSizeFilter } from "./promptSizeFilter.js";
import { QuotaFilter } from "./quotaFilter.js";
import type { PermitSource } from "./quotaFilter.js";

/** Dependencies of the filters. */
export interface CallFilterOptions {
    readonly blocker: CallBlocker;
    /** Undefined if no quotas are enforced. */
    readonly requestPermit: PermitSource | undefined;
    readonly builds: Builds;
    readonly beginnings: Beginnings;
    /** Returns a service of the configuration in force. */
    serviceOf(name: string): Service | undefined;
    /** Services at which a stream of the call's path may have begun before the configuration changed. */
    formerServices(host: string, path: string): readonly string[];
    readonly turns: TurnStore;
    readonly budgets: TokenReserver;
    readonly dispatcher: Dispatcher<QueuedCall>;
    readonly pool: UpstreamPool;
    readonly upstreams: Upstreams;
    readonly limits: UpstreamLimits;
    readonly admission: LimitAdmission;
    readonly fairness: Fairness;
    readonly protocol: CallProtocol;
    readonly replyMemory: ReplyMemory;
    /** Second copies of late repeatable calls, as a share of these calls; 0 for none. */
    readonly hedgeShare: number;
    readonly recordTraffic: ForwardFilterOptions["recordTraffic"];
    readonly random: () => number;
    readonly metrics: GatewayMetrics;
    readonly log: Logger;
}

/** Returns the filters in order. */
export const createCallFilters = (options: CallFilterOptions): readonly Filter<CallContext>[] => [
    new BodyFilter(),
    new BlockFilter(options.blocker),
    new PromptSizeFilter(),
    new BuildFilter(options),
    new BeginningFilter(options),
    ...(options.requestPermit === undefined ? [] : [new QuotaFilter(options.requestPermit)]),
    new HistoryFilter(options.turns),
    new BudgetFilter(options.budgets),
    createForwardFilter(options),
];

const createForwardFilter = (options: CallFilterOptions): ForwardFilter => {
    const { admission, blocker, dispatcher, hedgeShare, log, metrics, pool, upstreams } = options;
    return new ForwardFilter({
        ...options,
        admission: new FairAdmission(admission, options),
        crashes: new CrashDetector(upstreams, ({ key }, calls) => blocker.onCrash(key, calls), log),
        observer: pool.observer,
        affinity: pool.affinity,
        hedger: hedgeShare > 0 ? new Hedger({ share: hedgeShare, dispatcher, pool, metrics }) : undefined,
        onPromptProcessed: (upstream, ctx) => pool.prefixes.onPrefilled(upstream, ctx.head.prompt?.parts ?? []),
    });
};
