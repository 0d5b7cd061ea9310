/** Collects the output of a turn as it arrives. */
import { ChunkedBytes } from "../memory/chunkedBytes.js";

/** Maps each byte to one character and back, so that the data is preserved byte for byte. */
const byteEncoding = "latin1";

/** Length of the text that is encoded together: an event has some tens of bytes, and a buffer of its own would need several times that. */
const encodedLength = 16 * 1024;

/** The data of events, each followed by a line feed; outside of the runtime's heap, which is small. */
export class OutputCollector {
    private readonly chunks: Buffer[] = [];
    private text: string[] = [];
    private textLength = 0;
    private encodedBytes = 0;

    /** Size of what has been collected. */
    get bytes(): number {
        return this.encodedBytes + this.textLength;
    }

    /**
     * Adds the data of an event.
     *
     * @example
     * output.add("fine");
     */
    add(data: string): void {
        this.text.push(`${data}\n`);
        this.textLength += data.length + 1;
        if (this.textLength >= encodedLength) {
            this.encode();
        }
    }

    toBytes(): ChunkedBytes {
        this.encode();
        return ChunkedBytes.of(...this.chunks);
    }

    private encode(): void {
        if (this.textLength === 0) {
            return;
        }
        const chunk = Buffer.from(this.text.join(""), byteEncoding);
        this.chunks.push(chunk);
        this.encodedBytes += chunk.length;
        this.text = [];
        this.textLength = 0;
    }
}
