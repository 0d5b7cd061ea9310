/** Ends programs that repeat themselves or make more calls than their agent allows. */
import { digest, ProblemError } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";
import { addTurn, isLooping } from "@marigolddrift/policy";

import type { Programs } from "../controllers/programs.js";
import type { ChatContext } from "./ownerContext.js";

/** Counts a program's turns, and its consecutive identical turns. */
export class LoopFilter implements Filter<ChatContext> {
    constructor(private readonly programs: Programs) {}

    async handle(ctx: ChatContext, next: () => Promise<void>): Promise<void> {
        const { program } = ctx;
        if (program.turns >= program.agent.maxTurns) {
            this.programs.end(program, "turns");
            throw new ProblemError(
                "turn_limit",
                "notRun",
                `The program made ${program.turns} calls, as many as are allowed.`,
            );
        }
        if (isLooping(program.loop, program.agent.loopLimit)) {
            this.programs.end(program, "loop");
            throw new ProblemError(
                "loop_detected",
                "notRun",
                `The same turn was made ${program.loop.repeats} times in a row.`,
            );
        }
        await next();
        if (ctx.lifecycle.state === "done") {
            program.loop = addTurn(program.loop, turnDigest(ctx));
            program.turns += 1;
        }
    }
}

/**
 * Digest of a turn for loop detection. Identical tool results alone show that a program makes no progress. A user may
 * repeat a message and still make progress, so those turns are identical only if the answers are too.
 */
const turnDigest = (ctx: ChatContext): string => {
    const isToolReport = ctx.newMessages.every(message => message.role === "tool");
    return digest(JSON.stringify(ctx.newMessages), isToolReport ? "" : ctx.answer);
};
