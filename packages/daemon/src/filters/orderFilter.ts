/** Runs the calls of a program one at a time and in order. */
import type { Filter } from "@marigolddrift/common";

import type { OwnerContext } from "./ownerContext.js";

/** Waits until the preceding calls of the program have ended, and lets the next one run after this call. */
export class OrderFilter implements Filter<OwnerContext> {
    /** @param shouldAdvance Whether the next call may run, given how this one ended. */
    constructor(private readonly shouldAdvance: (ctx: OwnerContext) => boolean) {}

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
            program.sequencer.leave(ctx.call, this.shouldAdvance(ctx));
        }
    }
}
