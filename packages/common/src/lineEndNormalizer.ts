/** Ends of the lines of a text that arrives in pieces. */

const lineEnd = /\r\n?/g;

/**
 * Writes each end of a line (LF, CR LF or CR alone) as LF, also if a CR LF is split between two pieces. A CR is written as LF at once:
 * it may be the last byte for now, whether or not an LF follows.
 *
 * @see https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream
 * @example
 * const lines = new LineEndNormalizer();
 * lines.feed("id: 1\r") === "id: 1\n";
 * lines.feed("\n\r\n") === "\n";
 */
export class LineEndNormalizer {
    private endsWithCr = false;
    private hasCrLf = false;

    /** Whether the text stops between CR and LF, as far as its earlier lines tell. */
    get isInsideLineEnd(): boolean {
        return this.endsWithCr && this.hasCrLf;
    }

    feed(text: string): string {
        if (text === "") {
            return "";
        }
        const isSplit = this.endsWithCr && text.startsWith("\n");
        const rest = isSplit ? text.slice(1) : text;
        this.hasCrLf ||= isSplit || rest.includes("\r\n");
        this.endsWithCr = rest.endsWith("\r");
        return rest.includes("\r") ? rest.replace(lineEnd, "\n") : rest;
    }
}
