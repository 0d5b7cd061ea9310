/** Hash chain over the messages of a program. */
import { z } from "zod";

import { digest } from "./digest.js";

/** One message of a conversation, in the shape of the OpenAI interface. */
export const messageSchema = z.looseObject({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});
export type Message = z.infer<typeof messageSchema>;

/** Digest of an empty history; it differs from program to program, so that histories cannot be mixed. */
export const emptyHistory = (programId: string): string => digest("history", programId);

/** Digest of a history followed by more messages. */
export const extendHistory = (from: string, messages: readonly Message[]): string =>
    messages.reduce((chain, message) => digest(chain, JSON.stringify(message)), from);

/** Digests after each message, beginning with the empty history. */
export const historyChain = (programId: string, messages: readonly Message[]): string[] => {
    const chain = [emptyHistory(programId)];
    for (const message of messages) {
        chain.push(extendHistory(chain.at(-1)!, [message]));
    }
    return chain;
};
