import { expect } from "earl";
import { request } from "node:http";
import { after, before, describe, it } from "node:test";

import { Deployment, waitUntil } from "../platform/deployment.js";
import { RawServer } from "../platform/rawServer.js";
import type { ConnectionEnd, RawReply } from "../platform/rawServer.js";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";
const concurrency = 32;

/** Heads of replies; `ID` stands for the id of the call. */
const heads: Readonly<Record<string, string>> = {
    length: `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nContent-Length: 12\r\n\r\n`,
    lengthFirst:
        `HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    noBody: `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nContent-Length: 0\r\n\r\n`,
    chunks:
        `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    unframed: `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nConnection: close\r\n\r\n`,
    old: `HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    limit:
        `HTTP/1.1 200 OK\r\nServer-Limit: 12\r\nServer-Leaving: 1\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    early:
        `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    earlyClosing:
        `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    continuing:
        `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    empty: `HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nConnection: close\r\n\r\n`,
    unchanged: `HTTP/1.1 304 Not Modified\r\nRequest-Id: ID\r\nConnection: close\r\n\r\n`,
    missing: `HTTP/1.1 404 Not Found\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n`,
    failed: `HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\n\r\n`,
    full: `HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    fullClosing: `HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n\r\n`,
    tooMany: `HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nNot-Executed: 1\r\n\r\n`,
    misdirected: `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-02d9e6b4\r\n\r\n`,
    bareFeeds: `HTTP/1.1 200 OK\nRequest-Id: ID\nResponse-Signature: ${signature}\nConnection: close\n\n`,
};

/** Whole replies, and what their callers receive. */
const wholeReplies: Readonly<Record<string, string>> = {
    "200 the answer":
        `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nContent-Length: 10\r\n\r\nthe answer`,
    "404 not there": `HTTP/1.1 404 Not Found\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nnot there`,
    "500 it failed":
        `HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nContent-Length: 9\r\n\r\nit failed`,
};

const calls = [["GET", "/look/1"], ["HEAD", "/look/1"], ["POST", "/order/1"], ["POST", "/talk/1"]] as const;
const ends: readonly ConnectionEnd[] = ["close", "reset", "half"];
const endDelaysMs = [0, 15];

/** All ways in which a call is made and its connection ends. */
const ways = calls.flatMap(([method, path]) =>
    ends.flatMap(end => endDelaysMs.map(endDelayMs => ({ method, path, end, endDelayMs })))
);

/** All beginnings of a head that are shorter than it. */
const partsOf = (head: string): string[] => Array.from({ length: head.length }, (_, length) => head.slice(0, length));

/** Sends a call; resolves to its status and body, or to how it was cut. */
const send = (port: number, method: string, path: string, id: string): Promise<string> =>
    new Promise(resolve => {
        const headers = {
            "Host": "carts.example",
            "Request-Id": id,
            "Deadline-Ms": "2500",
            "Model": "m",
            "Token-Usage": "4,5",
            ...(method === "POST" ? { "Content-Length": "0" } : {}),
        };
        const req = request({ host: "127.0.0.1", port, method, path, headers, agent: false }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("error", () => resolve(`${res.statusCode!} cut`));
            res.on("end", () => resolve(`${res.statusCode!} ${Buffer.concat(chunks).toString()}`));
        });
        req.on("error", () => resolve("cut"));
        req.end();
    });

/** Runs tasks, a few at a time, and counts their results. */
const countResults = async (tasks: readonly (() => Promise<string>)[]): Promise<Record<string, number>> => {
    const counts: Record<string, number> = {};
    let next = 0;
    const work = async (): Promise<void> => {
        while (next < tasks.length) {
            const result = await tasks[next++]!();
            counts[result] = (counts[result] ?? 0) + 1;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, work));
    return counts;
};

// Guards against a reply that was put together from a head that broke off and the reply after it, and passed on as whole.
describe("replies whose heads break off", () => {
    let deployment: Deployment;
    /** What remains to be sent for each call; the last reply is sent to all further attempts. */
    const replies = new Map<string, RawReply[]>();
    const nextReply = (id: string): RawReply => {
        const remaining = replies.get(id)!;
        return remaining.length > 1 ? remaining.shift()! : remaining[0]!;
    };
    const server = new RawServer(nextReply);
    const otherServer = new RawServer(nextReply);

    before(async () => {
        deployment = await Deployment.start(1);
        await server.start();
        await deployment.replaceUpstreams({ "i-raw-ops": server.entry("ops"), "i-raw-brain": server.entry("brain") });
    });
    after(() => {
        server.close();
        otherServer.close();
        deployment.close();
    });

    /** Makes a call whose attempts are answered as given, with `ID` in place of the call's id. */
    const call = (method: string, path: string, given: readonly RawReply[]): Promise<string> => {
        const id = deployment.newId();
        replies.set(id, given.map(reply => ({ ...reply, bytes: reply.bytes.replaceAll("ID", id) })));
        return send(deployment.gateways[0]!.port, method, path, id);
    };

    /** Makes a call; resolves to 502 if it was answered so, otherwise to all that helps to find the reason. */
    const callWith = async (method: string, path: string, reply: RawReply): Promise<string> => {
        const result = await call(method, path, [reply]);
        return result.startsWith("502 ") ? "502" : `${method} ${path} ${JSON.stringify(reply)} -> ${result}`;
    };

    for (const [name, head] of Object.entries(heads)) {
        it(`should not take a part of a head for an answer or a refusal: ${name}`, async () => {
            const tasks = partsOf(head).map((bytes, cut) => {
                const { method, path, ...ending } = ways[cut % ways.length]!;
                return () => callWith(method, path, { bytes, ...ending });
            });
            expect(await countResults(tasks)).toEqual({ 502: tasks.length });
        });
    }

    // Guards against a success that was passed on without a receipt: its name had arrived, but no value.
    it("should take no success for an answer if its signature has no value", async () => {
        const unsigned = wholeReplies["200 the answer"]!.replace(signature, "");
        const tasks = calls.map(([method, path]) => () => callWith(method, path, { bytes: unsigned, end: "keep" }));
        expect(await countResults(tasks)).toEqual({ 502: tasks.length });
    });

    for (const name of ["length", "early", "limit", "unchanged", "failed", "full"] as const) {
        it(`should not read a part of another head and the reply that follows it as one reply: ${name}`, async () => {
            const lateHead = heads[name]!.replaceAll("ID", "another-call");
            // A whole early head may be followed by another one.
            const parts = partsOf(lateHead).filter(part => part !== "" && !part.endsWith("\r\n\r\n"));
            const tasks = parts.flatMap((part, cut) =>
                Object.values(wholeReplies).map((reply, kind) => {
                    const { method, path } = ways[(cut + kind) % ways.length]!;
                    return () => callWith(method, path, { bytes: part + reply, end: "keep" });
                })
            );
            expect(await countResults(tasks)).toEqual({ 502: tasks.length });
        });
    }

    it("should answer the call after one whose connection gets a part of another head with nothing but its own reply", async () => {
        const reply: RawReply = { bytes: wholeReplies["200 the answer"]!, end: "keep" };
        const results: string[] = [];
        for (const lateBytes of partsOf(heads["length"]!.replaceAll("ID", "another-call"))) {
            await call("GET", "/look/1", [{ ...reply, lateBytes }]);
            results.push(await call("GET", "/look/1", [reply]));
        }
        expect(results.filter(result => result !== "200 the answer" && !result.startsWith("502 "))).toEqual([]);
    });

    describe("with another worker", () => {
        const events = "id: 0\ndata: one\n\nid: 1\ndata: two\n\n";
        const wholeStream =
            `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nContent-Length: ${events.length}\r\n\r\n${events}`;

        before(async () => {
            await otherServer.start();
            deployment.store.put("servers/i-other-ops", otherServer.entry("ops"));
            deployment.store.put("servers/i-other-brain", otherServer.entry("brain"));
            const { upstreams } = deployment.gateways[0]!;
            await waitUntil(() => ["i-other-ops", "i-other-brain"].every(id => upstreams.get(id) !== undefined));
        });

        it("should answer with nothing but the whole reply of the second worker after a part of a head", async () => {
            const parts = partsOf(heads["length"]!);
            const tasks = parts.flatMap((bytes, cut) => {
                const broken: RawReply = { bytes, end: ends[cut % ends.length]! };
                return [
                    () => call("POST", "/talk/1", [broken, { bytes: wholeStream, end: "keep" }]),
                    () => call("GET", "/look/1", [broken, { bytes: wholeReplies["200 the answer"]!, end: "keep" }]),
                ];
            });
            expect(await countResults(tasks)).toEqual({
                [`200 ${events}`]: parts.length,
                "200 the answer": parts.length,
            });
        });

        it("should send a call that may run only once to no second worker after a part of a head", async () => {
            const arrived = (): number => server.heads.length + otherServer.heads.length;
            const arrivedBefore = arrived();
            const tasks = partsOf(heads["length"]!).map(bytes => () =>
                callWith("POST", "/order/1", { bytes, end: "close" })
            );
            expect(await countResults(tasks)).toEqual({ 502: tasks.length });
            expect(arrived() - arrivedBefore).toEqual(tasks.length);
        });
    });
});

// Guards against a stream of which only a head without framing arrived, and that was passed on as an empty one framed as whole.
describe("streams that break off right after a head without framing", () => {
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: ${signature}\r\nConnection: close\r\n\r\n`;
    const events = "id: 0\ndata: one\n\nid: 1\ndata: two\n\n";
    let reply: RawReply = { bytes: head, end: "close" };
    let deployment: Deployment;
    const server = new RawServer(id => ({ ...reply, bytes: reply.bytes.replaceAll("ID", id) }));

    before(async () => {
        deployment = await Deployment.start(1);
        await server.start();
        deployment.store.put("servers/i-raw-brain", server.entry("brain"));
        await waitUntil(() => deployment.gateways[0]!.upstreams.get("i-raw-brain") !== undefined);
    });
    after(() => {
        server.close();
        deployment.close();
    });

    const talk = (method: string): Promise<string> =>
        send(deployment.gateways[0]!.port, method, "/talk/1", deployment.newId());

    for (const end of ends) {
        it(`should ask another worker, or answer that the call may have run: ${end}`, async () => {
            reply = { bytes: head, end };
            const results = await countResults(Array.from({ length: 20 }, () => () => talk("POST")));
            const wrong = Object.keys(results).filter(result => !/^200 id: 0\n[^]*\n\n$/.test(result));
            expect(wrong).toEqual([]);
            deployment.streamingWorker.fault = "loseResponse";
            const broken = await countResults(
                Array.from({ length: 20 }, () => async () => (await talk("POST")).slice(0, "502".length)),
            );
            deployment.streamingWorker.fault = "none";
            expect(broken).toEqual({ 502: 20 });
        });
    }

    it("should keep no turn of it", async () => {
        reply = { bytes: head, end: "close" };
        deployment.streamingWorker.fault = "loseResponse";
        const ids = Array.from({ length: 10 }, (_, index) => `empty-${index}`);
        const statuses = await Promise.all(ids.map(async id => (await deployment.turn(`p-${id}`, id, "hello")).status));
        expect(new Set(statuses)).toEqual(new Set([502]));
        deployment.streamingWorker.fault = "none";
        const next = await Promise.all(
            ids.map(async id => (await deployment.turn(`p-${id}`, `${id}-next`, "again", id)).status),
        );
        expect(new Set(next)).toEqual(new Set([404]));
    });

    it("should pass on a whole stream without framing, and an answer that has no body", async () => {
        deployment.streamingWorker.fault = "loseResponse";
        reply = { bytes: head + events, end: "close" };
        expect(await talk("POST")).toEqual(`200 ${events}`);
        reply = { bytes: head, end: "close" };
        expect(await talk("HEAD")).toEqual("200 ");
        reply = { bytes: head.replace("200 OK", "204 No Content"), end: "close" };
        expect(await talk("POST")).toEqual("204 ");
        reply = { bytes: head.replace("Connection: close", "Content-Length: 0"), end: "keep" };
        expect(await talk("POST")).toEqual("200 ");
        deployment.streamingWorker.fault = "none";
    });
});
