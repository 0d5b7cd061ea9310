/** Finds out what the caller of a turn has of the stream that it takes up, so that the turn is kept whole. */
import { asError, ProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Metrics } from "@marigolddrift/common";

import type { Beginnings } from "../beginnings/beginnings.js";
import { scopedName } from "../workspaces.js";
import { keepsTurn } from "./callContext.js";
import type { CallContext } from "./callContext.js";

/** Dependencies of a {@link BeginningFilter}. */
export interface BeginningFilterOptions {
    readonly beginnings: Pick<Beginnings, "resume">;
    readonly metrics: Pick<Metrics, "count">;
    readonly log: Logger;
}

/** A turn whose caller has the beginning of its stream runs only if that is known; it is refused before anything has run otherwise. */
export class BeginningFilter implements Filter<CallContext> {
    constructor(private readonly options: BeginningFilterOptions) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        const { resumption } = ctx.head;
        if (keepsTurn(ctx) && resumption?.lastEventId !== undefined) {
            await this.resume(ctx, resumption.callId, resumption.lastEventId);
        }
        await next();
    }

    private async resume(ctx: CallContext, callId: string | undefined, lastEventId: string): Promise<void> {
        const { beginnings, log, metrics } = this.options;
        const startedAt = performance.now();
        let outcome = "found";
        try {
            const resumes = callId && scopedName(ctx.workspace, callId);
            const id = scopedName(ctx.workspace, ctx.id);
            ctx.beginning = await beginnings.resume(id, resumes, lastEventId, ctx.progress);
        }
        catch (err) {
            outcome = err instanceof ProblemError ? err.code : asError(err).message;
            throw err;
        }
        finally {
            metrics.count(`beginnings.${outcome}`);
            log.info("beginning looked up", {
                request: ctx.id,
                resumes: callId,
                lastEvent: lastEventId,
                events: ctx.beginning?.events.length,
                outcome,
                ms: Math.round(performance.now() - startedAt),
            });
        }
    }
}
