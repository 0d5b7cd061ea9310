/** Reads the body of a caller's request within limits of size and time. */
import type { Filter } from "@marigolddrift/common";

import { readBody } from "../http/requestBody.js";
import type { EdgeContext } from "./edgeContext.js";

/** Time within which the whole body must arrive. */
const bodyTimeoutMs = 20_000;

/** Reads the whole body. */
export class BodyFilter implements Filter<EdgeContext> {
    async handle(ctx: EdgeContext, next: () => Promise<void>): Promise<void> {
        const progress = ctx.progress.child(bodyTimeoutMs);
        try {
            ctx.body = await readBody(ctx.req, progress);
        }
        finally {
            progress.dispose();
        }
        await next();
    }
}
