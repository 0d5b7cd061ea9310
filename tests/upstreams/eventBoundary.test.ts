import { LineEndNormalizer } from "@marigolddrift/common";
import { EventCollector, OutputCollector } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

/** Splits a text into pieces of a length. */
const piecesOf = (text: string, length: number): string[] =>
    Array.from(
        { length: Math.ceil(text.length / length) },
        (_, index) => text.slice(index * length, (index + 1) * length),
    );

const collect = (text: string, pieceLength: number, output = new OutputCollector()): EventCollector => {
    const events = new EventCollector(({ data }) => output.add(data));
    piecesOf(text, pieceLength).forEach(piece => events.feed(Buffer.from(piece, "latin1")));
    return events;
};

const pieceLengths = [1, 2, 3, 7, 1000];
const streams = {
    "LF": "id: 1\ndata: a\n\n: comment\nid: 2\ndata\n\n",
    "CR LF": "id: 1\r\ndata: a\r\n\r\n: comment\r\nid: 2\r\ndata\r\n\r\n",
    "CR": "id: 1\rdata: a\r\r: comment\rid: 2\rdata\r\r",
    "mixed": "id: 1\rdata: a\n\r\n: comment\nid: 2\r\ndata\r\r\n",
};

/** Whether a beginning of a stream stops inside an event, by its text alone. */
const stopsInsideEvent = (text: string): boolean => {
    const rest = text.replaceAll("\r\n", "\n").replaceAll("\r", "\n").split(/^\n|\n\n/).at(-1)!;
    return rest.split("\n").some(line => line !== "" && !line.startsWith(":"));
};

// Guards against a CR LF that was read as two ends of a line, so that each line seemed to end an event.
describe("the end of an event stream", () => {
    for (const [name, stream] of Object.entries(streams)) {
        it(`should be known at each byte, however the stream is split into pieces: ${name}`, () => {
            const wrong: string[] = [];
            for (let length = 1; length <= stream.length; length++) {
                const text = stream.slice(0, length);
                for (const pieceLength of pieceLengths) {
                    if (collect(text, pieceLength).isWhole(false) === stopsInsideEvent(text)) {
                        wrong.push(`${JSON.stringify(text)} in pieces of ${pieceLength}`);
                    }
                }
            }
            expect(wrong).toEqual([]);
        });
    }

    it("should be that of no whole stream if it ends with its connection within a line, a CR LF, or before an event", () => {
        const whole = [
            "id: 1\n\n",
            "id: 1\r\r",
            "id: 1\r\n\r\n",
            "id: 1\n\n: end\n",
        ];
        const cut = [
            "",
            ": begin\n\n",
            "id: 1",
            "id: 1\n",
            "id: 1\r\n",
            "id: 1\r\n\r",
            "id: 1\n\n: end",
        ];
        const isWhole = (text: string): boolean => collect(text, 1).isWhole(true);
        expect(whole.filter(text => !isWhole(text))).toEqual([]);
        expect(cut.filter(isWhole)).toEqual([]);
    });

    // Guards against an event that was counted and kept only once the next one came, or never if it was the last one.
    it("should not be waited for to collect an event whose lines end in CR alone", () => {
        for (const pieceLength of pieceLengths) {
            const output = new OutputCollector();
            const events = collect("id: 1\rdata: a\r\r", pieceLength, output);
            expect([pieceLength, events.count, output.toBytes().toString()]).toEqual([pieceLength, 1, "a\n"]);
        }
    });

    // Guards against a first event that was lost where the byte order mark before it came in pieces.
    it("should leave the first event after a byte order mark whole", () => {
        for (const pieceLength of pieceLengths) {
            const output = new OutputCollector();
            collect("\u00ef\u00bb\u00bfdata: a\n\n", pieceLength, output);
            expect([pieceLength, output.toBytes().toString()]).toEqual([pieceLength, "a\n"]);
        }
    });

    it("should leave no CR, and no line more or less than there are", () => {
        for (const [name, stream] of Object.entries(streams)) {
            for (const length of pieceLengths) {
                const lines = new LineEndNormalizer();
                const text = piecesOf(stream, length).map(piece => lines.feed(piece)).join("");
                expect([name, text]).toEqual([name, streams.LF]);
            }
        }
    });
});
