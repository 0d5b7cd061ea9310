import { silentLogger } from "@marigolddrift/common";
import { JournalServer } from "@marigolddrift/gateway";
import type { Gateway } from "@marigolddrift/gateway";
import { PlatformStore } from "@marigolddrift/platform";
import { expect } from "earl";
import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const events = 8;
const eventMs = 25;

/** What a caller got of a stream before it left, or the whole stream. */
interface Received {
    readonly id: string;
    readonly status: number;
    /** Data of the whole events. */
    readonly data: readonly string[];
    readonly lastEventId: string | undefined;
    readonly isWhole: boolean;
}

/** A turn whose stream breaks off, with the turn that it continues. */
interface TurnInput {
    readonly program: string;
    readonly body: string;
    readonly previous?: string;
}

const machines = ["disk-1", "disk-2", "disk-3"];

// Guards against a turn that is taken up after a break and kept without what its caller had from before the break: the next turn then runs
// on other words than the caller has seen (UNASKED).
describe("a turn whose stream is taken up", () => {
    let deployment: Deployment;
    let dir = "";
    let disks: JournalServer[] = [];

    const startDisks = async (): Promise<void> => {
        disks = machines.map(machine =>
            new JournalServer({
                peerAddress: {
                    instance: `${machine}-${Math.random()}`,
                    host: "127.0.0.1",
                    zone: "north-a",
                    region: "north",
                },
                machine,
                peerPort: 0,
                dir: join(dir, machine),
                firstStart: true,
                isCounted: () => true,
                catchUpMs: 0,
                mayTakeTurns: Promise.resolve(),
                store: new PlatformStore(deployment.store.address),
                log: silentLogger,
            })
        );
        await Promise.all(disks.map(disk => disk.start()));
    };

    /** Waits until the fronts know the machines with disks. */
    const connect = async (): Promise<void> => {
        for (const gateway of deployment.gateways) {
            await gateway.refreshPeers();
        }
        await new Promise(resolve => setTimeout(resolve, 700));
    };

    beforeEach(async () => {
        dir = mkdtempSync(join(tmpdir(), "turns-taken-up-"));
        deployment = await Deployment.start(0);
        await startDisks();
        await deployment.addGateway();
        await deployment.addGateway();
        Object.assign(deployment.streamingWorker, { events, delayMs: eventMs });
        await connect();
    });
    afterEach(async () => {
        deployment.close();
        await Promise.all(disks.map(disk => disk.close()));
        rmSync(dir, { recursive: true, force: true });
    });

    const first = (): Gateway => deployment.gateways[0]!;
    const second = (): Gateway => deployment.gateways[1]!;

    /** Sends an attempt at a turn; leaves after a number of events. */
    const attempt = (
        gateway: Gateway,
        { program, body, previous }: TurnInput,
        more: Record<string, string> = {},
        leaveAfter = Infinity,
    ): Promise<Received> =>
        new Promise(resolve => {
            const id = deployment.newId();
            let text = "";
            let status = 0;
            const finish = (isWhole: boolean): void => {
                req.destroy();
                const seen = [...text.matchAll(/id: (\d+)\ndata: ([^\n]*)\n\n/g)].slice(0, leaveAfter);
                const data = seen.map(match => match[2]!);
                resolve({ id, status, data, lastEventId: seen.at(-1)?.[1], isWhole });
            };
            const headers = {
                "Host": "carts.example",
                "Request-Id": id,
                "Deadline-Ms": "2500",
                "Program-Id": program,
                "Session-Id": program,
                "Finish-Ms": "9000",
                "Token-Budget": "2000",
                "Token-Usage": "40,50",
                "Model": "m",
                ...(previous === undefined ? {} : { "Previous-Turn": previous }),
                ...more,
            };
            const address = { host: deployment.hostOf(gateway), port: gateway.port };
            const req = request({ ...address, method: "POST", path: "/story/1", headers, agent: false }, res => {
                status = res.statusCode!;
                res.on("data", (chunk: Buffer) => {
                    text += chunk.toString();
                    if ((text.match(/\n\n/g) ?? []).length >= leaveAfter) {
                        finish(false);
                    }
                });
                res.on("end", () => finish(true));
                res.on("error", () => finish(false));
            });
            req.on("error", () => finish(false));
            req.end(body);
        });

    /** Takes a stream up after what its caller has. */
    const takeUp = (
        gateway: Gateway,
        input: TurnInput,
        resumes: string,
        lastEventId: string | undefined,
        leaveAfter?: number,
    ): Promise<Received> =>
        attempt(
            gateway,
            input,
            { "Resumes": resumes, ...(lastEventId === undefined ? {} : { "Last-Event-Id": lastEventId }) },
            leaveAfter,
        );

    const textOf = (...parts: readonly Received[]): string =>
        parts.flatMap(({ data }) => data).map(text => `${text}\n`).join("");

    /** The body with which the worker runs the turn that follows a kept one. */
    const nextBody = async (program: string, previous: string): Promise<string> => {
        const next = await attempt(second(), { program, body: "next;", previous });
        expect(next.status).toEqual(200);
        return deployment.streamingWorker.ran.find(({ id }) => id === next.id)!.body;
    };

    const input: TurnInput = { program: "p", body: "first;" };

    it("should be kept whole if its caller left", async () => {
        const begun = await attempt(first(), input, {}, 3);
        const rest = await takeUp(first(), input, begun.id, begun.lastEventId);
        expect([rest.status, rest.isWhole, rest.data.length]).toEqual([200, true, events - 3]);
        expect(await nextBody("p", rest.id)).toEqual(`first;${textOf(begun, rest)}next;`);
    });

    it("should be kept whole if the instance that began it has ended", async () => {
        const inputs = Array.from(
            { length: 12 },
            (_, index) => ({ program: `p-${index}`, body: `first of ${index};` }),
        );
        const begun = await Promise.all(inputs.map(each => attempt(first(), each, {}, 3)));
        first().close();
        const rest = await Promise.all(
            begun.map(({ id, lastEventId }, index) => takeUp(second(), inputs[index]!, id, lastEventId)),
        );
        expect(rest.filter(({ isWhole, status }) => isWhole && status === 200).length).toEqual(inputs.length);
        for (const [index, { program, body }] of inputs.entries()) {
            const text = textOf(begun[index]!, rest[index]!);
            expect(await nextBody(program, rest[index]!.id)).toEqual(`${body}${text}next;`);
        }
    });

    it("should be kept as its caller has it, not as the instance before passed it on", async () => {
        const begun = await attempt(first(), input, {}, 5);
        const seen = { ...begun, data: begun.data.slice(0, 2) };
        const rest = await takeUp(second(), input, begun.id, "1");
        expect(await nextBody("p", rest.id)).toEqual(`first;${textOf(seen, rest)}next;`);
    });

    for (const named of ["first", "latest"] as const) {
        it(`should be kept whole if it is taken up twice, one after the other, and names the ${named} attempt`, async () => {
            const begun = await attempt(first(), input, {}, 5);
            // The caller has less than was passed on; what followed must not be taken for what it has.
            const seen = { ...begun, data: begun.data.slice(0, 2) };
            const middle = await takeUp(second(), input, begun.id, "1", 2);
            first().close();
            const resumes = named === "first" ? begun.id : middle.id;
            const rest = await takeUp(second(), input, resumes, middle.lastEventId);
            expect([rest.status, rest.isWhole]).toEqual([200, true]);
            expect(await nextBody("p", rest.id)).toEqual(`first;${textOf(seen, middle, rest)}next;`);
        });
    }

    it("should not be kept with another one's events if it is taken up twice at once", async () => {
        const begun = await attempt(first(), input, {}, 3);
        const both = await Promise.all([first(), second()].map(at => takeUp(at, input, begun.id, "2", 2)));
        const ranBefore = deployment.streamingWorker.ran.length;
        const unclear = await takeUp(second(), input, begun.id, "4");
        expect([unclear.status, deployment.streamingWorker.ran.length]).toEqual([503, ranBefore]);
        const rest = await takeUp(second(), input, both[0]!.id, "4");
        expect(await nextBody("p", rest.id)).toEqual(`first;${textOf(begun, both[0]!, rest)}next;`);
    });

    it("should begin anew if its caller has no event", async () => {
        const begun = await attempt(first(), input, {}, 1);
        const whole = await takeUp(second(), input, begun.id, undefined);
        expect(whole.data.length).toEqual(events);
        expect(await nextBody("p", whole.id)).toEqual(`first;${textOf(whole)}next;`);
    });

    it("should be refused before it runs if what its caller has is not known", async () => {
        const begun = await attempt(first(), input, {}, 3);
        await waitUntil(() => deployment.streamingWorker.abandonedRequestIds.includes(begun.id));
        const ranBefore = deployment.streamingWorker.ran.length;
        const statuses = [
            (await takeUp(second(), input, begun.id, "7")).status,
            (await takeUp(second(), input, "no such call", "2")).status,
            (await attempt(second(), input, { "Last-Event-Id": "2" })).status,
        ];
        expect([statuses, deployment.streamingWorker.ran.length]).toEqual([[503, 503, 503], ranBefore]);
    });

    it("should be refused before it runs if all that knew its beginning have ended", async () => {
        const begun = await attempt(first(), input, {}, 3);
        first().close();
        await Promise.all(disks.map(disk => disk.close()));
        await startDisks();
        await connect();
        const ranBefore = deployment.streamingWorker.ran.length;
        const { status } = await takeUp(second(), input, begun.id, begun.lastEventId);
        expect([status, deployment.streamingWorker.ran.length]).toEqual([503, ranBefore]);
    });

    it("should be kept whole if it is kept again after it had been answered whole", async () => {
        const whole = await attempt(first(), input);
        const rest = await takeUp(second(), input, whole.id, "5");
        expect(rest.data.length).toEqual(2);
        const seen = { ...whole, data: whole.data.slice(0, 6) };
        expect(await nextBody("p", rest.id)).toEqual(`first;${textOf(seen, rest)}next;`);
        expect(await nextBody("p", whole.id)).toEqual(`first;${textOf(whole)}next;`);
    });
});
