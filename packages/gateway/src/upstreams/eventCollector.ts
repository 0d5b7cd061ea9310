/** Counts the events of an event stream and collects their data, while the stream itself is forwarded unchanged. */
import { createParser } from "eventsource-parser";

/** Maps each byte to one character and back, so that the data is preserved byte for byte. */
const byteEncoding = "latin1";

/** Parses an event stream. */
export class EventCollector {
    events = 0;
    private readonly data: string[] = [];
    private readonly parser = createParser({
        onEvent: event => {
            this.events += 1;
            this.data.push(event.data);
        },
    });

    feed(chunk: Buffer): void {
        this.parser.feed(chunk.toString(byteEncoding));
    }

    /** Returns the data of all events, each followed by a line feed. */
    output(): Buffer {
        return Buffer.from(this.data.map(text => `${text}\n`).join(""), byteEncoding);
    }
}
