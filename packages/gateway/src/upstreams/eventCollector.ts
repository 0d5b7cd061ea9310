/** Counts the events of an event stream and collects their data, while the stream itself is forwarded unchanged. */
import { createParser } from "eventsource-parser";

/** Maps each byte to one character and back, so that the data is preserved byte for byte. */
const byteEncoding = "latin1";

/** Ends of a line; two of them end an event. */
const eventEnd = /(?:\r\n|\r|\n)(?:\r\n|\r|\n)$/;

/** Number of characters that may belong to the end of an event. */
const maxEventEndLength = 4;

/** Parses an event stream. */
export class EventCollector {
    events = 0;
    private lastCharacters = "";
    private readonly data: string[] = [];
    private readonly parser = createParser({
        onEvent: event => {
            this.events += 1;
            this.data.push(event.data);
        },
    });

    /** Whether the stream has stopped inside an event, so that it must have been broken off. */
    get isInsideEvent(): boolean {
        return this.lastCharacters !== "" && !eventEnd.test(this.lastCharacters);
    }

    feed(chunk: Buffer): void {
        const text = chunk.toString(byteEncoding);
        this.lastCharacters = (this.lastCharacters + text.slice(-maxEventEndLength)).slice(-maxEventEndLength);
        this.parser.feed(text);
    }

    /** Returns the data of all events, each followed by a line feed. */
    output(): Buffer {
        return Buffer.from(this.data.map(text => `${text}\n`).join(""), byteEncoding);
    }
}
