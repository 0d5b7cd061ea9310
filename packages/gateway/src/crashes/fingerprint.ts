/** Recognizes a call that comes again: another attempt of its caller has another id. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

const fingerprintBytes = 16;

/**
 * Digest of what a caller asks for: method, host, path, credentials and the body that the caller sent. Ids, deadlines and
 * the conversation that the system adds differ from one attempt to the next.
 *
 * @example
 * fingerprintOf(ctx.req, ctx.body) === "3f0a94c1d1b7a3f24f0c3a7b19d2c6e8";
 */
export const fingerprintOf = (req: Pick<IncomingMessage, "method" | "url" | "headers">, body: Buffer): string => {
    const hash = createHash("sha256");
    for (const part of [req.method, req.headers.host, req.url, req.headers.authorization]) {
        hash.update(`${part?.length ?? -1}:${part ?? ""}`);
    }
    return hash.update(body).digest().subarray(0, fingerprintBytes).toString("hex");
};
