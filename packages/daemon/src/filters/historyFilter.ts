/** Checks that a call extends the history of its own program. */
import type { Filter } from "@marigolddrift/common";

import type { ChatContext } from "./ownerContext.js";

/** Resolves the whole conversation, from the caller's messages alone or from the history that they extend. */
export class HistoryFilter implements Filter<ChatContext> {
    async handle(ctx: ChatContext, next: () => Promise<void>): Promise<void> {
        const { conversation, newMessages } = ctx.program.history.resolve(ctx.req.messages, ctx.req.extends);
        ctx.conversation = conversation;
        ctx.newMessages = newMessages;
        await next();
    }
}
