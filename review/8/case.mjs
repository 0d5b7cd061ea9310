/** A worker breaks off streams inside an event, after the end of a line that is written as CR LF. */
import {
    exits,
    limits,
    RawWorker,
    route,
    runCase,
    sendCall,
    signatureOf,
    sleep,
    until,
    withTrouble,
} from "../lib-2/rig.mjs";

const events = 7;

/** One event as a worker writes it; a stream may end its lines with CR LF. */
const eventText = event => `id: ${event}\r\ndata: piece ${event}\r\n\r\n`;

/** What is sent of the stream before the worker breaks off: some whole events, and a part of the next one. */
const breaks = [
    { name: "after the line of the id", text: `id: 4\r\n` },
    { name: "after the line of the data", text: `id: 4\r\ndata: piece 4\r\n` },
    { name: "within the line of the data", text: `id: 4\r\ndata: pie` },
];

await runCase(import.meta.dirname, {}, async rig => {
    const bodies = new Map();
    let cut;
    const worker = new RawWorker("i-a", "floor", async ({ id, socket, body }) => {
        bodies.set(id, body.toString());
        rig.record.add(`worker runs ${id} with the body ${JSON.stringify(body.toString())}`);
        // Neither a length nor chunks: the answer ends with its connection.
        socket.write(
            `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ${id}\r\nResponse-Signature: ${
                signatureOf(id)
            }\r\nConnection: close\r\n\r\n`,
        );
        const last = cut === undefined ? events : 3;
        for (let event = 1; event <= last; event++) {
            socket.write(eventText(event));
            await sleep(20);
        }
        socket.end(cut?.text ?? "");
    });
    rig.store.put("op/config", {
        version: 3,
        routes: [route("talk", "/talk/", { kind: "stream", service: "floor", retain: true })],
        services: [{
            name: "floor",
            healthPath: "/health",
            maxConns: 150,
            engine: { slots: 12, kvCapacity: 98_048, tokensPerEvent: 10 },
        }],
        limits,
    });
    await rig.addWorker(worker);
    for (const name of ["store-1", "store-2", "store-3"]) {
        await rig.add("store", name);
    }
    const front = await rig.add("front", "front-1");
    if (!await until(() => front.isReady(), 15_000)) {
        throw new Error(`the front is not ready: ${front.log}`);
    }
    await sleep(4_500);
    const turn = async (program, input, previous) => {
        const id = rig.newId();
        const headers = {
            "Request-Id": id,
            "Deadline-Ms": "4000",
            "Model": "m",
            "Token-Usage": "100,100",
            "Program-Id": program,
            "Session-Id": program,
            "Finish-Ms": "6000",
            "Token-Budget": "2000",
            ...(previous === undefined ? {} : { "Previous-Turn": previous }),
        };
        rig.record.add(`caller sends ${id}${previous === undefined ? "" : `, which goes on from ${previous}`}`);
        const answer = await sendCall({ address: front.address, path: "/talk/1", headers, body: input });
        const pieces = answer.body.toString().split("\r\n\r\n").length - 1;
        rig.record.add(
            `caller of ${id} gets ${answer.status}, ${
                answer.isComplete ? "a complete answer" : `an answer ended by ${answer.ending}`
            }, ${pieces} whole events, then ${JSON.stringify(answer.body.toString().split("\r\n\r\n").at(-1))}`,
        );
        return { id, pieces, ...answer };
    };
    let broken = 0;
    for (const [index, trouble] of breaks.entries()) {
        rig.record.add(
            `the worker ${withTrouble ? `breaks off inside event 4, ${trouble.name}` : "sends the whole stream"}`,
        );
        cut = withTrouble ? trouble : undefined;
        const first = await turn(`p-${index}`, "first input;");
        const looksComplete = first.status === 200 && first.isComplete;
        if (looksComplete && first.pieces < events) {
            broken += 1;
            rig.record.add(`${first.id} looks complete to its caller, but has ${first.pieces} of ${events} events`);
        }
        cut = undefined;
        if (looksComplete) {
            const second = await turn(`p-${index}`, "second input;", first.id);
            const expected = `first input;${
                Array.from({ length: events }, (_, event) => `piece ${event + 1}\n`).join("")
            }second input;`;
            if (bodies.has(second.id) && bodies.get(second.id) !== expected) {
                rig.record.add(`the worker runs ${second.id} on a conversation of which a part is missing`);
            }
        }
    }
    rig.record.add(`${broken} of ${breaks.length} answers ended early and looked complete`);
    return broken > 0 ? exits.broken : exits.held;
});
