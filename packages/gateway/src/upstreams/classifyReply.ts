/** Classifies an upstream's reply by its status and headers. */
import { isFinalStatus } from "@marigolddrift/common";

import type { ReplyHead } from "../protocol.js";

export type ReplyKind =
    /** The reply answers the call and may be forwarded. */
    | "answer"
    /** The upstream did not run the call. */
    | "notRun"
    /**
     * The reply belongs to another call, is incomplete (a success without call id or signature, a refusal without call id), has a
     * status that is none, or may not be forwarded: the call may have run.
     */
    | "unusable";

/**
 * Classifies a reply. Faulty upstreams send surplus or late replies on keep-alive connections, or a status that tells
 * the caller that the call has not run although it may have.
 *
 * @example
 * classifyReply(head, "9c41d07be2a35f68") === "answer";
 */
export const classifyReply = (head: ReplyHead, callId: string): ReplyKind => {
    if (!isFinalStatus(head.status)) {
        return "unusable";
    }
    if (head.callId !== undefined && head.callId !== callId) {
        return "unusable";
    }
    if (head.notRun) {
        // Bytes that belong to no call can't promise that this one has not run.
        return head.callId === callId ? "notRun" : "unusable";
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (head.promisesNotRun || (isSuccess && !(head.signed && head.callId === callId))) {
        return "unusable";
    }
    return "answer";
};
