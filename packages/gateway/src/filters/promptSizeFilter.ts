/** Refuses prompts that no engine of their service can hold. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";

import type { CallContext } from "./callContext.js";

/** Refuses such a call at once. Each engine would refuse it as if it were full, and a full one is worth another try. */
export class PromptSizeFilter implements Filter<CallContext> {
    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        checkPromptSize(ctx);
        await next();
    }
}

/** @throws ProblemError `prompt_too_large` if no engine of the service can hold the prompt. */
export const checkPromptSize = ({ head, service }: Pick<CallContext, "head" | "service">): void => {
    const promptTokens = head.prompt?.promptTokens ?? 0;
    const memoryTokens = service.engine?.memoryTokens ?? Infinity;
    if (promptTokens > memoryTokens) {
        throw new ProblemError(
            "prompt_too_large",
            "notRun",
            `The prompt has ${promptTokens} tokens, and an engine has memory for ${memoryTokens}.`,
        );
    }
};
