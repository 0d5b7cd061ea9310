/** Error of a call to an upstream. */
import { asError } from "@marigolddrift/common";
import type { Verdict } from "@marigolddrift/common";
import VError from "verror";

const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** A failed call; the verdict tells whether the upstream may have executed it. */
export class UpstreamError extends VError {
    constructor(readonly verdict: Verdict, readonly upstream: string, detail: string, cause?: Error) {
        super({ name: "UpstreamError", ...(cause ? { cause } : {}) }, "%s: %s", upstream, detail);
    }
}

/** Wraps a transport error; only a failure to connect proves that nothing was sent. */
export const toUpstreamError = (err: unknown, upstream: string): UpstreamError => {
    if (err instanceof UpstreamError) {
        return err;
    }
    const code = (err as { code?: string; }).code ?? "";
    const cause = asError(err);
    return new UpstreamError(notSentCodes.has(code) ? "notRun" : "mayHaveRun", upstream, cause.message, cause);
};
