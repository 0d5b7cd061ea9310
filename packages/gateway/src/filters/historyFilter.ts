/** Loads the conversation that a turn continues. */
import type { Filter } from "@marigolddrift/common";

import type { HeldConversation } from "../turns/heldConversation.js";
import type { TurnStore } from "../turns/turnStore.js";
import { scopedName } from "../workspaces.js";
import type { CallContext } from "./callContext.js";

/** Loads the conversation that a call continues; undefined if it begins one, or if its turns are not kept. */
export const loadConversationOf = async (
    { body, head: { program }, progress, route, workspace }: CallContext,
    turns: TurnStore,
): Promise<HeldConversation | undefined> => {
    if (route.turnRetentionMs === 0 || program?.previousTurnId === undefined) {
        return undefined;
    }
    const last = { id: scopedName(workspace, program.previousTurnId), program: scopedName(workspace, program.id) };
    return await turns.loadConversation(last, progress, {
        inputBytes: body.length,
        group: workspace?.name ?? "",
    });
};

/** Loads the previous turns of the conversation, from memory or from their archive. Those of other workspaces do not exist for it. */
export class HistoryFilter implements Filter<CallContext> {
    constructor(private readonly turns: TurnStore) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        const startedAt = performance.now();
        ctx.conversation = await loadConversationOf(ctx, this.turns);
        if (ctx.conversation !== undefined) {
            ctx.trace.historyMs = Math.round(performance.now() - startedAt);
        }
        try {
            await next();
        }
        finally {
            ctx.conversation?.release();
        }
    }
}
