/** Runs the calls of a program one at a time and in order. */
import type { Filter } from "@marigolddrift/common";

import type { OwnerContext } from "./ownerContext.js";

/** Waits for the call's turn, and passes the turn on when the call has ended. */
export class OrderFilter implements Filter<OwnerContext> {
    /** @param advances Whether the next call may run after this one ended as it did. */
    constructor(private readonly advances: (ctx: OwnerContext) => boolean) {}

    async handle(ctx: OwnerContext, next: () => Promise<void>): Promise<void> {
        const { program } = ctx;
        if (program === undefined) {
            return next();
        }
        await program.sequencer.enter(ctx.call, ctx.progress);
        program.lifecycle.send("call");
        try {
            await next();
        }
        finally {
            program.lastUsedAt = Date.now();
            program.lifecycle.send("pause");
            program.sequencer.leave(ctx.call, this.advances(ctx));
        }
    }
}
