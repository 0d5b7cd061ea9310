/** Names of streams among instances. */
import { createHash } from "node:crypto";

/** Length of the digest by which a stream is known: callers choose the ids of calls, and their length. */
const streamKeyLength = 22;

/**
 * Returns the name of the stream that a call begins.
 *
 * @param callId Id of the call, scoped by its workspace.
 * @example
 * streamKey(scopedName(ctx.workspace, ctx.id)).length === 22;
 */
export const streamKey = (callId: string): string =>
    createHash("sha256").update(callId).digest("base64url").slice(0, streamKeyLength);
