/** Refuses calls that are known to end the upstreams that run them. */
import type { Filter } from "@marigolddrift/common";

import type { CallBlocker } from "../crashes/callBlocker.js";
import type { CallContext } from "./callContext.js";

/** Refuses a blocked call at once, before its conversation is loaded and tokens are reserved for it. */
export class BlockFilter implements Filter<CallContext> {
    constructor(private readonly blocker: Pick<CallBlocker, "check">) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        this.blocker.check(ctx, false);
        await next();
    }
}
