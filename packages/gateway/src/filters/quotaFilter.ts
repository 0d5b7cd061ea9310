/** Counts calls towards the quota of their workspace. */
import type { Filter } from "@marigolddrift/common";

import type { CallPermit } from "../quotas/callPermit.js";
import type { CallContext } from "./callContext.js";

/** Starts to ask for the permit of a call; undefined if the call counts towards no quota. */
export type PermitSource = (ctx: Pick<CallContext, "workspace" | "head">) => CallPermit | undefined;

/**
 * Asks for the permit while history and budget are loaded; the filter that sends the call takes it. What is not used is
 * returned.
 */
export class QuotaFilter implements Filter<CallContext> {
    constructor(private readonly requestPermit: PermitSource) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        ctx.permit = this.requestPermit(ctx);
        try {
            await next();
        }
        finally {
            ctx.permit?.release();
        }
    }
}
