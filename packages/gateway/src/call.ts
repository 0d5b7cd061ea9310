/** What a caller says of a call, decoded from its headers. */

/** A part of a prompt that other calls may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The prompt of a call to a model engine. */
export interface PromptShape {
    readonly model: string;
    readonly promptTokens: number;
    /** Tokens that the call may generate at most. */
    readonly maxOutputTokens: number;
    /** The prompt's parts in order; empty if the caller does not say. */
    readonly parts: readonly PromptPart[];
    /** The caller's estimate of the tokens that will be generated. */
    readonly expectedOutputTokens: number | undefined;
}

/** The program that a call belongs to. */
export interface ProgramClaim {
    readonly id: string;
    /** The line of turns within the program: its main line or a sub-agent. */
    readonly line: string;
    /** Time left until the whole program should be finished, in milliseconds. */
    readonly finishInMs: number | undefined;
    /** Tokens that all turns of the program may generate. */
    readonly tokenBudget: number | undefined;
    /** The turn that this one continues. */
    readonly continuesTurn: string | undefined;
}

/** The decoded head of a caller's request. */
export interface CallHead {
    /** Id of this attempt of the caller; missing if the caller sent none. */
    readonly id: string | undefined;
    /** Time that the caller waits for the answer, in milliseconds. */
    readonly leftMs: number | undefined;
    readonly prompt: PromptShape | undefined;
    readonly program: ProgramClaim | undefined;
}
