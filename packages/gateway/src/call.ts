/** Metadata of a call, decoded from the caller's request headers. */

/** A part of a prompt that may be common to several calls. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** The prompt of a call to a model engine. */
export interface PromptShape {
    readonly model: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The prompt's parts in order; empty if the caller did not specify them. */
    readonly parts: readonly PromptPart[];
    /** The caller's estimate of the number of generated tokens. */
    readonly expectedOutputTokens: number | undefined;
}

/** The program that a call belongs to. */
export interface ProgramInfo {
    readonly id: string;
    /** The sequence of turns within the program: its main thread or that of a sub-agent. */
    readonly thread: string;
    /** Time left until the whole program should be finished. */
    readonly finishInMs: number | undefined;
    /** Total number of tokens that the program's turns may generate. */
    readonly tokenBudget: number | undefined;
    /** Id of the turn that this call continues; missing for the first turn. */
    readonly previousTurnId: string | undefined;
}

/** What a caller says that has received the beginning of a stream and asks for the rest. */
export interface Resumption {
    /** Id of the call that brought the first event of the stream; undefined if the caller does not name it. */
    readonly callId: string | undefined;
    /** Id of the last event that the caller has; undefined if it names none, and gets the stream from its first event on. */
    readonly lastEventId: string | undefined;
}

/** The decoded headers of a caller's request. */
export interface CallHead {
    /** Id of this attempt of the caller; missing if the caller did not send one. */
    readonly id: string | undefined;
    /** Time left until the caller's deadline; missing if the caller did not set one. */
    readonly leftMs: number | undefined;
    readonly prompt: PromptShape | undefined;
    readonly program: ProgramInfo | undefined;
    /** Identifies the object that the call concerns; missing if the caller did not name one. */
    readonly affinityKey: string | undefined;
    /** Undefined if the call begins a stream, or is none. */
    readonly resumption: Resumption | undefined;
}
