import { WorkerStandin } from "@marigolddrift/platform";
import { expect } from "earl";
import { once } from "node:events";
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

describe("stand-in of a worker", () => {
    const worker = new WorkerStandin("i-1", "ops", false);

    afterEach(() => worker.close());

    // An error that nobody catches would end the test that uses the stand-in, such as a soak in which a front is killed.
    it("should not run a request whose connection ends within its body, and answer the next one", async () => {
        await worker.start();
        const [host, port] = worker.address.split(":");
        const head = [
            "POST /turn HTTP/1.1",
            "Host: i-1",
            "Expect-Instance: i-1",
            "Request-Id: r-1",
            "Content-Length: 10",
        ];
        const socket = connect(Number(port), host);
        socket.write(`${head.join("\r\n")}\r\n\r\nhalf`);
        await once(socket, "connect");
        await sleep(50);
        socket.destroy();
        await sleep(50);

        const headers = { "expect-instance": "i-1", "request-id": "r-2" };
        const answer = await fetch(`http://${worker.address}/turn`, { method: "POST", headers, body: "whole" });
        await answer.text();

        expect(answer.status).toEqual(200);
        expect(worker.ran.map(({ id }) => id)).toEqual(["r-2"]);
    });
});
