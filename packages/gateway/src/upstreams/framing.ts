/** Framing of HTTP/1.1 responses. */

const framingHeaders = new Set(["content-length", "transfer-encoding"]);

/**
 * Whether a response has neither a length nor chunks, so that the end of its connection ends it.
 *
 * @param rawHeaders Alternating names and values.
 * @example
 * endsWithConnection(["Connection", "close"]) === true;
 */
export const endsWithConnection = (rawHeaders: readonly string[]): boolean =>
    !rawHeaders.some((text, index) => index % 2 === 0 && framingHeaders.has(text.toLowerCase()));

/** Text that a reason or a header value contains only if the line broke off and another response follows on its connection. */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether a head is the beginning of one response and the rest of another one.
 *
 * @param rawHeaders Alternating names and values.
 * @example
 * isRunTogether("OHTTP/1.1 500 Failed", ["Connection", "close"]) === true;
 */
export const isRunTogether = (reason: string, rawHeaders: readonly string[]): boolean =>
    [reason, ...rawHeaders].some(text => statusLinePattern.test(text));
