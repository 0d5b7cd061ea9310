import { expect } from "earl";
import { request } from "node:http";
import { after, before, describe, it } from "node:test";

import { Deployment } from "../platform/deployment.js";
import { RawServer } from "../platform/rawServer.js";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";

/** Ends of a line that an event stream may have. */
const lineEnds = { "LF": "\n", "CR LF": "\r\n", "CR": "\r" } as const;

/** An event with two fields, a stream's beginning and its end, with LF as the end of each line. */
const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;
const wholeEvents = event(1) + event(2);
const lastEvent = event(3);

/** Beginnings of the last event that end with a line, and one that ends within a line. */
const cuts = { "after its first line": 1, "after its last line": 2, "within a line": undefined } as const;

const cutEvent = (lines: 1 | 2 | undefined, lineEnd: string): string =>
    lines === undefined ?
        lastEvent.slice(0, -"ce 3\n\n".length).replaceAll("\n", lineEnd) :
        lastEvent.split("\n").slice(0, lines).map(line => line + lineEnd).join("");

/** Writes a body with each way of framing, its pieces one after the other. */
const framings = {
    "its connection": (pieces: readonly string[]) => `Connection: close\r\n\r\n${pieces.join("")}`,
    "a length": (pieces: readonly string[]) =>
        `Content-Length: ${pieces.join("").length}\r\nConnection: close\r\n\r\n${pieces.join("")}`,
    "chunks": (pieces: readonly string[]) =>
        `Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n${
            [...pieces, ""].map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`).join("")
        }`,
};
type Framing = keyof typeof framings;

// Guards against a stream that broke off inside an event, after the end of a line, and was passed on and kept as whole.
describe("streams that end with or without a whole event", () => {
    let deployment: Deployment;
    let reply = "";
    let status = "200 OK";
    const bodies: string[] = [];
    const server = new RawServer((id, _head, body) => {
        bodies.push(body);
        const head = `HTTP/1.1 ${status}\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\nRequest-Id: ${id}\r\n`;
        return { bytes: `${head}Response-Signature: ${signature}\r\n${reply}`, end: "close", endDelayMs: 5 };
    });

    before(async () => {
        deployment = await Deployment.start(1);
        await server.start();
        await deployment.replaceUpstreams({ "i-raw-brain": server.entry("brain") });
    });
    after(() => {
        server.close();
        deployment.close();
    });

    /** Sends a turn; resolves to what its caller receives, or to "broken off". */
    const turn = async (id: string, previous?: string): Promise<string> => {
        try {
            const { status, body } = await deployment.turn(`p-${id}`, id, "input;", previous);
            return `${status} ${body}`;
        }
        catch {
            return "broken off";
        }
    };

    const isKept = async (id: string): Promise<boolean> => !(await turn(`${id}-next`, id)).startsWith("404 ");

    for (const [endName, lineEnd] of Object.entries(lineEnds)) {
        const whole = wholeEvents.replaceAll("\n", lineEnd);
        for (const framing of Object.keys(framings) as Framing[]) {
            for (const [cutName, lines] of Object.entries(cuts)) {
                it(`should break off a stream of ${endName} that ends with ${framing} ${cutName}`, async () => {
                    reply = framings[framing]([whole, cutEvent(lines, lineEnd)]);
                    const id = deployment.newId();
                    expect(await turn(id)).toEqual("broken off");
                    expect(await isKept(id)).toEqual(false);
                });
            }

            it(`should pass on and keep a whole stream of ${endName} that ends with ${framing}`, async () => {
                const last = lastEvent.replaceAll("\n", lineEnd);
                reply = framings[framing]([whole, last.slice(0, -1), last.slice(-1)]);
                const id = deployment.newId();
                expect(await turn(id)).toEqual(`200 ${whole}${last}`);
                expect(await isKept(id)).toEqual(true);
            });
        }

        // Guards against a kept turn that lacks the last event of a stream whose lines end in CR alone.
        it(`should keep all events of a stream of ${endName}`, async () => {
            reply = framings.chunks([whole, lastEvent.replaceAll("\n", lineEnd)]);
            const id = deployment.newId();
            await turn(id);
            bodies.length = 0;
            await turn(`${id}-next`, id);
            expect(bodies).toEqual(["input;piece 1\npiece 2\npiece 3\ninput;"]);
        });
    }

    it("should break off a stream of CR LF that ends with its connection before the last LF", async () => {
        reply = framings["its connection"]([`${wholeEvents}${lastEvent}`.replaceAll("\n", "\r\n").slice(0, -1)]);
        expect(await turn(deployment.newId())).toEqual("broken off");
    });

    it("should take comments for no part of an event", async () => {
        const id = deployment.newId();
        reply = framings["its connection"]([": begin\n\n", wholeEvents, ": end\n"]);
        expect(await turn(id)).toEqual(`200 : begin\n\n${wholeEvents}: end\n`);
        expect(await isKept(id)).toEqual(true);
    });

    it("should not take a stream of comments that ends with its connection for whole", async () => {
        reply = framings["its connection"]([": begin\n\n"]);
        expect(await turn(deployment.newId())).toEqual("broken off");
    });

    // Guards against an error that broke off, passed on in chunks that say that it is whole.
    it("should pass an error that ends with its connection on without a length or chunks", async () => {
        status = "500 Failed";
        reply = framings["its connection"](["the worker could"]);
        const headers = await answerHeaders(deployment.gateways[0]!.port, deployment.newId());
        status = "200 OK";
        expect([headers["transfer-encoding"], headers["content-length"], headers.connection]).toEqual([
            undefined,
            undefined,
            "close",
        ]);
    });
});

/** Sends a call that begins a stream, and resolves to the headers of its answer once that has ended. */
const answerHeaders = (port: number, id: string): Promise<NodeJS.Dict<string | string[]>> =>
    new Promise((resolve, reject) => {
        const headers = {
            "Host": "carts.example",
            "Request-Id": id,
            "Deadline-Ms": "2500",
            "Model": "m",
            "Token-Usage": "4,5",
        };
        const req = request(
            { host: "127.0.0.1", port, method: "POST", path: "/talk/1", headers, agent: false },
            res => {
                res.on("error", reject);
                res.on("end", () => resolve(res.headers));
                res.resume();
            },
        );
        req.on("error", reject);
        req.end("hello");
    });
