/** Counts the events of a stream and collects their data, beside the bytes that are passed on unchanged. */
import { createParser } from "eventsource-parser";

/** Bytes are kept as they are: each becomes one character and back. */
const byteEncoding = "latin1";

/** Reads a stream of events. */
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

    /** Data of the events, each with a line feed. */
    output(): Buffer {
        return Buffer.from(this.data.map(text => `${text}\n`).join(""), byteEncoding);
    }
}
