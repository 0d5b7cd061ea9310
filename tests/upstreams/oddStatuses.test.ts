import { Progress } from "@marigolddrift/common";
import { ServiceClient } from "@marigolddrift/daemon";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { Agent } from "undici";

import { Deployment } from "../platform/deployment.js";
import { RawServer } from "../platform/rawServer.js";

const signature = "3e1b.07.5a2.600.0.c9f2a4d1";
const body = "id: 0\ndata: one\n\n";

/** Time within which a caller learns that its reply can't be used. */
const answerMs = 1_000;

const framings: Readonly<Record<string, string>> = {
    "a length": `Content-Length: ${body.length}\r\n\r\n${body}`,
    "chunks": `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    "its connection": `Connection: close\r\n\r\n${body}`,
    "no body": "Content-Length: 0\r\n\r\n",
};

/** Statuses that end no reply: none of HTTP's, those of an interim reply, and one of another protocol. */
const oddStatuses = ["000", "001", "020", "099", "100", "101", "102", "150", "199", "600", "700", "999"];
const soundStatuses = ["200", "404", "500", "599"];

/** Calls of routes that may run once, more than once, and as streams. */
const calls = [["GET", "/look/1"], ["POST", "/order/1"], ["POST", "/talk/1"]] as const;

// Guards against a reply whose status is none of HTTP's, which its caller got as an answer.
describe("replies with a status that ends no reply", () => {
    let deployment: Deployment;
    let status = "200";
    let framing = "a length";
    let refusal = "";
    const server = new RawServer(id => {
        const head = `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${id}\r\nResponse-Signature: ${signature}\r\n${refusal}`;
        return { bytes: `${head}${framings[framing]}`, end: framing === "its connection" ? "close" : "keep" };
    });

    before(async () => {
        deployment = await Deployment.start(1);
        await server.start();
        await deployment.replaceUpstreams({ "i-raw-ops": server.entry("ops"), "i-raw-brain": server.entry("brain") });
    });
    after(() => {
        server.close();
        deployment.close();
    });

    /** Resolves to the status that the caller gets, and whether it comes soon. */
    const call = (method: string, path: string): Promise<string> =>
        new Promise(resolve => {
            const startedAt = performance.now();
            const headers = {
                "Host": "carts.example",
                "Request-Id": deployment.newId(),
                "Deadline-Ms": "2500",
                "Model": "m",
                "Token-Usage": "4,5",
            };
            const { port } = deployment.gateways[0]!;
            const req = request({ host: "127.0.0.1", port, method, path, headers, agent: false }, res => {
                res.on("error", () => resolve(`${res.statusCode!} cut`));
                res.on("end", () =>
                    resolve(`${res.statusCode!}${performance.now() - startedAt < answerMs ? "" : " late"}`));
                res.resume();
            });
            req.on("error", () =>
                resolve("cut"));
            req.end();
        });

    for (const name of Object.keys(framings)) {
        for (const odd of oddStatuses) {
            it(`should be answered with 502 at once, and leave nothing for the next call: ${odd} with ${name}`, async () => {
                const results: string[] = [];
                for (const [method, path] of calls) {
                    [status, framing] = [odd, name];
                    results.push(await call(method, path));
                    [status, framing] = ["200", "a length"];
                    results.push(await call(method, path));
                }
                expect(results).toEqual(["502", "200", "502", "200", "502", "200"]);
            });
        }
    }

    it("should not be taken for a refusal, whatever they say", async () => {
        const results: string[] = [];
        for (const odd of ["000", "600", "999"]) {
            [status, framing, refusal] = [odd, "no body", "Not-Executed: 1\r\n"];
            results.push(await call("POST", "/order/1"));
        }
        [status, framing, refusal] = ["200", "a length", ""];
        expect(results).toEqual(["502", "502", "502"]);
    });

    it("should be passed on with all other statuses", async () => {
        const results: string[] = [];
        for (const sound of soundStatuses) {
            [status, framing] = [sound, "a length"];
            results.push(await call("GET", "/look/1"));
        }
        status = "200";
        expect(results).toEqual(soundStatuses);
    });
});

// Guards against the same on the project's own interface.
describe("replies of services", () => {
    for (const status of [600, 999]) {
        it(`should be no answer with status ${status}`, async () => {
            const server = createServer((_, res) => {
                res.socket!.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 4\r\n\r\ndone`);
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const agent = new Agent();
            const progress = new Progress(2_000);
            const client = new ServiceClient(agent, () => {});
            const req = {
                method: "POST",
                path: "pay",
                contentType: "",
                body: Buffer.alloc(0),
                key: undefined,
                workspace: "w",
            };
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            try {
                await expect(client.call(address, req as never, progress)).toBeRejectedWith(`status ${status}`);
            }
            finally {
                progress.dispose();
                await agent.destroy();
                server.close();
                server.closeAllConnections();
            }
        });
    }
});
