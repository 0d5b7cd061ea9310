/** Ends programs that repeat themselves or make more calls than their agent allows. */
import { digest, ProblemError } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";
import { addTurn, isLooping } from "@marigolddrift/policy";

import type { Programs } from "../controllers/programs.js";
import type { ChatContext } from "./ownerContext.js";

/** Counts turns, and identical ones in a row. */
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

/** A person may ask the same thing again and get on; a tool that reports the same again shows that the program does not. */
const turnDigest = (ctx: ChatContext): string => {
    const isToolReport = ctx.fresh.every(message => message.role === "tool");
    return digest(JSON.stringify(ctx.fresh), isToolReport ? "" : ctx.answer);
};
