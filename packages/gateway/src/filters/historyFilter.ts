/** Finds the conversation that a turn continues. */
import type { Filter } from "@marigolddrift/common";

import type { TurnStore } from "../turns/turnStore.js";
import type { CallContext } from "./callContext.js";

/** Loads the turns before this one, from memory or from where they are kept. */
export class HistoryFilter implements Filter<CallContext> {
    constructor(private readonly turns: TurnStore) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        const { program } = ctx.head;
        if (ctx.route.keepTurnsMs > 0 && program?.continuesTurn !== undefined) {
            const startedAt = performance.now();
            ctx.conversation = await this.turns.loadConversation(
                { id: program.continuesTurn, program: program.id },
                ctx.progress,
            );
            ctx.trace.historyMs = Math.round(performance.now() - startedAt);
        }
        await next();
    }
}
