/** Counts the events of an event stream and passes their data on, while the stream itself is forwarded unchanged. */
import { LineEndNormalizer } from "@marigolddrift/common";
import type { StreamEvent } from "@marigolddrift/policy";
import { createParser } from "eventsource-parser";

import { EventBoundary } from "./eventBoundary.js";

/** Maps each byte to one character and back, so that the data is preserved byte for byte. */
const byteEncoding = "latin1";

/** Bytes that may precede the first line. */
const byteOrderMark = "\u00ef\u00bb\u00bf";

/** Parses an event stream. */
export class EventCollector {
    /** Number of whole events that have arrived. */
    count = 0;
    /** Size of what has arrived since the last whole event, and is kept until the next one. */
    pendingBytes = 0;
    /** The first bytes, until it is known whether they are a byte order mark. */
    private beginning: string | undefined = "";
    private readonly lineEnds = new LineEndNormalizer();
    private readonly boundary = new EventBoundary();
    private readonly parser = createParser({
        onEvent: ({ id, data }) => {
            this.count += 1;
            this.pendingBytes = 0;
            this.onEvent({ id, data });
        },
    });

    /** @param onEvent Called with each whole event. */
    constructor(private readonly onEvent: (event: StreamEvent) => void = () => {}) {}

    /**
     * Whether the stream that has arrived can be the whole one.
     *
     * @param endedWithConnection Whether nothing but the end of the connection tells that the stream has ended: one that has no event
     * or ends within a line has then been broken off.
     */
    isWhole(endedWithConnection: boolean): boolean {
        const { hasEvent, isInsideEvent, isInsideLine } = this.boundary;
        return !isInsideEvent &&
            (!endedWithConnection || (hasEvent && !isInsideLine && !this.lineEnds.isInsideLineEnd));
    }

    feed(chunk: Buffer): void {
        this.pendingBytes += chunk.length;
        // The parser waits after a CR for the LF that may follow, which would keep it from seeing the end of an event.
        const text = this.lineEnds.feed(this.withoutMark(chunk.toString(byteEncoding)));
        this.boundary.feed(text);
        this.parser.feed(text);
    }

    private withoutMark(text: string): string {
        if (this.beginning === undefined) {
            return text;
        }
        this.beginning += text;
        const { beginning } = this;
        if (beginning !== byteOrderMark && byteOrderMark.startsWith(beginning)) {
            return "";
        }
        this.beginning = undefined;
        return beginning.startsWith(byteOrderMark) ? beginning.slice(byteOrderMark.length) : beginning;
    }
}
