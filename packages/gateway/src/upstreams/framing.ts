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
