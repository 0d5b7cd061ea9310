/** Reserves a turn's tokens from its program's budget before the turn is sent. */
import type { Filter } from "@marigolddrift/common";

import type { TokenReserver } from "../budgets/regionBudgets.js";
import type { CallContext } from "./callContext.js";

/** Lets a turn pass only with tokens reserved, and settles what it used. */
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
            program.id,
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
