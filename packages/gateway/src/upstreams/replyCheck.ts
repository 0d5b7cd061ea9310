/** Decides what a reply's head means for the call that waits for it. */
import type { ReplyHead } from "../protocol.js";

export type ReplyMeaning =
    /** It answers the call and may be passed on. */
    | "answer"
    /** The upstream did not run the call. */
    | "notRun"
    /** It belongs to another call, is not whole, or may not be passed on: the call may have run. */
    | "unusable";

/**
 * Faulty upstreams send extra or late replies on kept connections, and statuses that would promise a caller too much.
 *
 * @example
 * judgeReply(head, "9c41d07be2a35f68") === "answer";
 */
export const judgeReply = (head: ReplyHead, callId: string): ReplyMeaning => {
    if (head.callId !== undefined && head.callId !== callId) {
        return "unusable";
    }
    if (head.notRun) {
        return "notRun";
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (head.promisesNotRun || (isSuccess && !(head.signed && head.callId === callId))) {
        return "unusable";
    }
    return "answer";
};
