/** Admission control: rejects calls that are not expected to finish by their deadline. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";
import type { Dispatcher } from "@marigolddrift/dispatch";

import type { ChatContext } from "./ownerContext.js";

/** Enforces the workspace's limit of calls in flight and the dispatcher's admission decision. */
export class AdmissionFilter implements Filter<ChatContext> {
    constructor(private readonly dispatcher: Dispatcher, private readonly maxInFlight: (workspace: string) => number) {}

    async handle(ctx: ChatContext, next: () => Promise<void>): Promise<void> {
        const { program, progress, req } = ctx;
        if (this.dispatcher.runningInWorkspace(req.workspace) >= this.maxInFlight(req.workspace)) {
            throw overloaded("the workspace has as many calls in flight as it may have", 1_000);
        }
        const decision = this.dispatcher.checkAdmission(program.agent.model, program.turns === 0, progress.leftMs, 0);
        if (decision.kind === "refuse") {
            throw overloaded(decision.reason, decision.retryAfterMs);
        }
        await next();
    }
}

const overloaded = (reason: string, retryAfterMs: number): ProblemError =>
    new ProblemError("overloaded", "notRun", `Refused because ${reason}.`, {
        retryAfterSeconds: Math.ceil(retryAfterMs / 1000),
    });
