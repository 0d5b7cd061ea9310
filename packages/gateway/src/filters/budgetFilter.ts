/** Reserves tokens from the program's budget before a turn is forwarded. */
import type { Filter } from "@marigolddrift/common";

import type { TokenReserver } from "../budgets/regionBudgets.js";
import { scopedName } from "../workspaces.js";
import type { CallContext } from "./callContext.js";

/** Requires a token reservation for each turn of a program with a budget, and settles the tokens used afterwards. */
export class BudgetFilter implements Filter<CallContext> {
    constructor(private readonly budgets: TokenReserver) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        const { program, prompt } = ctx.head;
        if (program?.tokenBudget === undefined || prompt === undefined) {
            await next();
            return;
        }
        const startedAt = performance.now();
        ctx.reservation = await this.budgets.reserve(
            scopedName(ctx.workspace, program.id),
            program.tokenBudget,
            prompt.maxOutputTokens,
            ctx.progress,
        );
        ctx.trace.budgetMs = Math.round(performance.now() - startedAt);
        try {
            await next();
        }
        finally {
            ctx.reservation.settle(ctx.trace.tokens ?? 0);
        }
    }
}
