/** Counts the events of an event stream and collects their data, while the stream itself is forwarded unchanged. */
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
    /** The whole events that have arrived. */
    readonly events: StreamEvent[] = [];
    /** The first bytes, until it is known whether they are a byte order mark. */
    private beginning: string | undefined = "";
    private readonly lineEnds = new LineEndNormalizer();
    private readonly boundary = new EventBoundary();
    private readonly parser = createParser({ onEvent: ({ id, data }) => this.events.push({ id, data }) });

    /** Number of whole events that have arrived. */
    get count(): number {
        return this.events.length;
    }

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

/** Returns the data of events, each followed by a line feed. */
export const outputOf = (events: readonly StreamEvent[]): Buffer =>
    Buffer.from(events.map(({ data }) => `${data}\n`).join(""), byteEncoding);
