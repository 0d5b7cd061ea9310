import { traceRequest } from "@marigolddrift/cli";
import { expect } from "earl";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";

const logLine = (second: number, event: string, fields: object): string =>
    JSON.stringify({ time: `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`, event, ...fields });

describe("trace", () => {
    it("should return a request's lines and its instance's recent changes, and leave the others out", async () => {
        const folder = mkdtempSync(join(tmpdir(), "marigolddrift-"));
        const log = join(folder, "front.log");
        writeFileSync(
            log,
            [
                logLine(1, "upstream removed", { instance: "front-1", upstream: "old" }),
                logLine(15, "store writes lost", { instance: "front-1" }),
                logLine(16, "call", { instance: "front-1", request: "other", program: "p9" }),
                `12.3 front-1 ${
                    logLine(17, "call", { instance: "front-1", request: "r1", program: "p1", turnOf: "t0" })
                }`,
                logLine(16, "conversation loaded", { instance: "front-1", turn: "t0" }),
                logLine(18, "store writes regained", { instance: "front-1" }),
                logLine(16, "store writes lost", { instance: "front-2" }),
                "{\"time\":\"cut",
            ].join("\n"),
        );
        const events = (await traceRequest([log], "r1")).map(({ event }) => event);
        expect(events).toEqual(["store writes lost", "conversation loaded", "call"]);
        expect(await traceRequest([log], "nobody")).toEqual([]);
    });
});
