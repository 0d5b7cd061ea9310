import { Progress } from "@marigolddrift/common";
import { EngineClient } from "@marigolddrift/daemon";
import type { EngineEvent } from "@marigolddrift/daemon";
import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { Agent } from "undici";

const chunk = (text: string, reason?: string): string =>
    `data: ${JSON.stringify({ choices: [{ delta: { content: text }, finish_reason: reason }] })}\n\n`;
const completion = `${chunk("two ")}${chunk("words", "stop")}data: [DONE]\n\n`;

/** Resolves to the events of a completion that an engine writes as given. */
const complete = async (body: string): Promise<EngineEvent[]> => {
    const server = createServer((_, res) => res.writeHead(200, { "content-type": "text/event-stream" }).end(body));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = new Agent();
    const progress = new Progress(2_000);
    const client = new EngineClient(agent, () => {});
    const req = {
        id: "c-1",
        program: "p-1",
        model: "m",
        messages: [],
        maxTokens: 10,
        priority: 0,
        resumeText: "",
        options: {},
        firstTokenTimeoutMs: 1_000,
        stallMs: 1_000,
    };
    const events: EngineEvent[] = [];
    try {
        for await (
            const event of client.complete(`127.0.0.1:${(server.address() as AddressInfo).port}`, req, progress)
        ) {
            events.push(event);
        }
        return events;
    }
    finally {
        progress.dispose();
        await agent.destroy();
        server.close();
    }
};

// Guards against a whole completion that was taken for truncated, since the parser waited for an LF after its last CR.
describe("completions of engines", () => {
    for (const [name, lineEnd] of Object.entries({ "LF": "\n", "CR LF": "\r\n", "CR": "\r" })) {
        it(`should be whole with each end of a line: ${name}`, async () => {
            expect(await complete(completion.replaceAll("\n", lineEnd))).toEqual([
                { kind: "delta", text: "two " },
                { kind: "delta", text: "words" },
                { kind: "finish", reason: "stop", usage: undefined },
            ]);
        });
    }

    it("should be truncated without the end marker", async () => {
        await expect(complete(chunk("two "))).toBeRejectedWith("end marker");
    });
});
