/** Conversations as a front holds them. */
import { lastTurnOf } from "@marigolddrift/gateway";
import type { Conversation, TurnRecord } from "@marigolddrift/gateway";

/** Returns the conversation that ends with a turn and has the given history, by default that of a first turn. */
export const conversationOf = (last: TurnRecord, history = last.tail): Conversation => ({
    last: lastTurnOf(last),
    history,
    bytes: history.length,
});
