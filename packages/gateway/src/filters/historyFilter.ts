/** Loads the conversation that a turn continues. */
import type { Filter } from "@marigolddrift/common";

import type { TurnStore } from "../turns/turnStore.js";
import { scopedName } from "../workspaces.js";
import type { CallContext } from "./callContext.js";

/** Loads the previous turns of the conversation, from memory or from their archive. Those of other workspaces do not exist for it. */
export class HistoryFilter implements Filter<CallContext> {
    constructor(private readonly turns: TurnStore) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        const { workspace } = ctx;
        const { program } = ctx.head;
        if (ctx.route.turnRetentionMs > 0 && program?.previousTurnId !== undefined) {
            const startedAt = performance.now();
            ctx.conversation = await this.turns.loadConversation(
                {
                    id: scopedName(workspace, program.previousTurnId),
                    program: scopedName(workspace, program.id),
                },
                ctx.progress,
            );
            ctx.trace.historyMs = Math.round(performance.now() - startedAt);
        }
        await next();
    }
}
