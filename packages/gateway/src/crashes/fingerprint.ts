/** Recognizes a call that comes again: another attempt of its caller has another id. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

import type { ChunkedBytes } from "../memory/chunkedBytes.js";

const fingerprintBytes = 12;

/** Length of the shortest beginning of a body that has a fingerprint of its own; each further one is twice as long. */
const minBeginningBytes = 256;

/** Length of the longest beginning that has a fingerprint of its own. */
const maxBeginningBytes = 64 * 1024;

/** What identifies a call, without ids, deadlines and the conversation that the system adds. */
export interface Fingerprints {
    /** Digest of method, host, path, credentials or workspace, and the whole body that the caller sent. */
    readonly whole: string;
    /**
     * Digests of the same with the first 256, 512, ... bytes of the body: a caller that sends the conversation itself
     * repeats a call with more, or less, of it.
     */
    readonly beginnings: readonly string[];
}

/**
 * Returns the fingerprints of a call, in its workspace if there are any.
 *
 * @example
 * fingerprintsOf(ctx.req, ctx.body).whole === "P0qUwdG3o_JPDDp7";
 */
export const fingerprintsOf = (
    req: Pick<IncomingMessage, "method" | "url" | "headers">,
    body: ChunkedBytes,
    workspace?: string,
): Fingerprints => {
    const hash = createHash("sha256");
    for (
        const part of [
            req.method,
            req.headers.host,
            req.url,
            req.headers.authorization,
            ...(workspace === undefined ? [] : [workspace]),
        ]
    ) {
        hash.update(`${part?.length ?? -1}:${part ?? ""}`);
    }
    const digest = (): string => hash.copy().digest().subarray(0, fingerprintBytes).toString("base64url");
    const add = (start: number, end: number): void =>
        body.subarray(start, end).chunks.forEach(chunk => hash.update(chunk));
    const beginnings: string[] = [];
    let hashed = 0;
    for (let end = minBeginningBytes; end <= Math.min(body.length, maxBeginningBytes); end *= 2) {
        add(hashed, end);
        hashed = end;
        beginnings.push(`${digest()}+${end}`);
    }
    add(hashed, body.length);
    return { whole: digest(), beginnings };
};

const beginningBytes = (fingerprint: string): number => {
    const plus = fingerprint.indexOf("+");
    return plus < 0 ? Infinity : Number(fingerprint.slice(plus + 1));
};

/** Orders fingerprints so that those that fit the fewest calls come first. */
export const compareFingerprints = (a: string, b: string): number => {
    const [aBytes, bBytes] = [beginningBytes(a), beginningBytes(b)];
    return aBytes === bBytes ? (a < b ? -1 : 1) : aBytes > bBytes ? -1 : 1;
};
