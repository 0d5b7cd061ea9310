/** Tells whether an event stream has stopped between two events or inside one. */

/** What has arrived of a line: nothing, a comment (which is no part of an event), or a field. */
type Line = "empty" | "comment" | "field";

/**
 * Follows the lines of an event stream, each of which ends with LF: a blank line ends an event.
 *
 * @example
 * const boundary = new EventBoundary();
 * boundary.feed("id: 1\ndata: one\n");
 * boundary.isInsideEvent === true;
 */
export class EventBoundary {
    /** Whether an event has ended. */
    hasEvent = false;
    private line: Line = "empty";
    private hasFields = false;

    /** Whether the stream has stopped inside an event, so that it has been broken off, whatever its framing says. */
    get isInsideEvent(): boolean {
        return this.hasFields || this.line === "field";
    }

    /** Whether the stream has stopped within a line, which may be a comment. */
    get isInsideLine(): boolean {
        return this.line !== "empty";
    }

    feed(text: string): void {
        const parts = text.split("\n");
        const unfinished = parts.pop()!;
        for (const part of parts) {
            this.extendLine(part);
            this.endLine();
        }
        this.extendLine(unfinished);
    }

    private extendLine(part: string): void {
        if (this.line === "empty" && part !== "") {
            this.line = part.startsWith(":") ? "comment" : "field";
        }
    }

    private endLine(): void {
        if (this.line === "empty") {
            this.hasEvent ||= this.hasFields;
            this.hasFields = false;
        }
        this.hasFields ||= this.line === "field";
        this.line = "empty";
    }
}
