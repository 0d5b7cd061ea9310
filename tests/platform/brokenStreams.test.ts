import { workerErrorText, WorkerStandin } from "@marigolddrift/platform";
import type { WorkerFault } from "@marigolddrift/platform";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const calls = 12;

// Guards against the error response of another worker being written into a stream that had begun and then broke off.
describe("streams that break off before another worker answers with an error", () => {
    let deployment: Deployment;
    const second = new WorkerStandin("i-brain-2", "brain", true);

    before(async () => {
        deployment = await Deployment.start(1);
        await second.start();
        deployment.store.put("servers/i-brain-2", second.entry());
        await waitUntil(() => deployment.gateways[0]!.upstreams.get("i-brain-2") !== undefined);
    });
    after(() => {
        second.close();
        deployment.close();
    });

    const talk = async (): Promise<string> => {
        const headers = { "Token-Usage": "40,50", "Model": "m" };
        const id = deployment.newId();
        try {
            const { status, body } = await deployment.call(
                "POST",
                "/talk/1",
                { ...headers, "Request-Id": id },
                "hello",
            );
            return `${status} ${body.replaceAll(id, "ID")}`;
        }
        catch {
            return "broken off";
        }
    };

    /** Distinct results of several calls, with each of the workers being the first one for some of them. */
    const talkWith = async (first: WorkerFault, other: WorkerFault): Promise<string[]> => {
        deployment.streamingWorker.fault = first;
        second.fault = other;
        const results = new Set<string>();
        for (let index = 0; index < calls; index++) {
            results.add(await talk());
        }
        return [...results].sort();
    };

    const wholeError = `500 ${workerErrorText}`;
    const wholeStream = "200 id: 0\ndata: ID-0\n\nid: 1\ndata: ID-1\n\nid: 2\ndata: ID-2\n\n";

    for (
        const cut of ["truncate", "truncateAndClose", "endInsideEvent", "unframedReset", "unframedInsideEvent"] as const
    ) {
        it(`should break off a stream that has begun, whatever others would answer: ${cut}`, async () => {
            const results = await talkWith(cut, "error");
            expect(results.every(result => result === "broken off" || result === wholeError)).toEqual(true);
            expect(results).toInclude("broken off");
        });
    }

    it("should pass on the error of another worker as it is if nothing of the stream had been passed on", async () => {
        expect(await talkWith("headOnly", "error")).toEqual([wholeError]);
        expect(await talkWith("loseResponse", "error")).toEqual([wholeError]);
    });

    it("should pass on the whole stream of another worker if nothing of the first one had been passed on", async () => {
        expect(await talkWith("headOnly", "none")).toEqual([wholeStream]);
    });

    it("should not say that a call has not run if others refuse it after one may have run it", async () => {
        const results = await talkWith("loseResponse", "full");
        expect(results.every(result => result.startsWith("502 "))).toEqual(true);
    });
});
