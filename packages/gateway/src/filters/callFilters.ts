/** The filters that each call passes through. */
import type { Filter } from "@marigolddrift/common";

import type { TokenReserver } from "../budgets/regionBudgets.js";
import type { CallBlocker } from "../crashes/callBlocker.js";
import type { TurnStore } from "../turns/turnStore.js";
import { BlockFilter } from "./blockFilter.js";
import { BodyFilter } from "./bodyFilter.js";
import { BudgetFilter } from "./budgetFilter.js";
import type { CallContext } from "./callContext.js";
import { HistoryFilter } from "./historyFilter.js";
import { PromptSizeFilter } from "./promptSizeFilter.js";
import { QuotaFilter } from "./quotaFilter.js";
import type { PermitSource } from "./quotaFilter.js";

/** Dependencies of the filters. */
export interface CallFilterOptions {
    maxBodyBytes(): number;
    readonly blocker: CallBlocker;
    /** Undefined if no quotas are enforced. */
    readonly requestPermit: PermitSource | undefined;
    readonly turns: TurnStore;
    readonly budgets: TokenReserver;
    /** Sends the call. */
    readonly forward: Filter<CallContext>;
}

/** Returns the filters in order. */
export const createCallFilters = (options: CallFilterOptions): readonly Filter<CallContext>[] => [
    new BodyFilter(() => options.maxBodyBytes()),
    new BlockFilter(options.blocker),
    new PromptSizeFilter(),
    ...(options.requestPermit === undefined ? [] : [new QuotaFilter(options.requestPermit)]),
    new HistoryFilter(options.turns),
    new BudgetFilter(options.budgets),
    options.forward,
];
