/** Hash chain over the messages of a program's conversation. */
import { z } from "zod";

import { digest } from "./digest.js";

/** A message in the format of the OpenAI chat completions API. */
export const messageSchema = z.looseObject({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});
export type Message = z.infer<typeof messageSchema>;

/** Digest of an empty history; it depends on the program, so that a digest never matches another program's history. */
export const emptyHistoryDigest = (programId: string): string => digest("history", programId);

/** Extends the digest of a history by further messages. */
export const extendHistoryDigest = (previous: string, messages: readonly Message[]): string =>
    messages.reduce((chain, message) => digest(chain, JSON.stringify(message)), previous);

/** Digests of all prefixes of a history, from the empty one to the whole. */
export const historyDigests = (programId: string, messages: readonly Message[]): string[] => {
    const chain = [emptyHistoryDigest(programId)];
    for (const message of messages) {
        chain.push(extendHistoryDigest(chain.at(-1)!, [message]));
    }
    return chain;
};
