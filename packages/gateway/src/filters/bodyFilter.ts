/** Reads the body of a call, up to the configured maximum size. */
import type { Filter } from "@marigolddrift/common";

import type { CallContext } from "./callContext.js";

/** Buffers the whole body: a call is forwarded only once it has been received completely. */
export class BodyFilter implements Filter<CallContext> {
    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        ctx.body = await ctx.progress.race(ctx.readBody());
        await next();
    }
}
