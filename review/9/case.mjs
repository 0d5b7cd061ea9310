/** A worker breaks off a turn, the caller takes the stream up again, and the next turn goes on from it. */
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
const eventsBeforeBreak = 3;
const turns = 4;

await runCase(import.meta.dirname, {}, async rig => {
    const bodies = new Map();
    let breaksNext = false;
    const stream = async ({ id, socket, body, headers, worker }) => {
        bodies.set(id, body.toString());
        const from = Number(headers["last-event-id"] ?? 0) + 1;
        const isBroken = breaksNext;
        breaksNext = false;
        rig.record.add(`${worker.id} runs ${id} from event ${from} with the body ${JSON.stringify(body.toString())}`);
        socket.write(
            `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ${id}\r\nResponse-Signature: ${
                signatureOf(id)
            }\r\nTransfer-Encoding: chunked\r\n\r\n`,
        );
        for (let event = from; event <= events && !socket.destroyed; event++) {
            const text = `id: ${event}\ndata: piece ${event}\n\n`;
            socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
            await sleep(40);
            if (isBroken && event === eventsBeforeBreak) {
                rig.record.add(`${worker.id} breaks ${id} off after event ${event}`);
                socket.resetAndDestroy();
                return;
            }
        }
        socket.write("0\r\n\r\n");
    };
    rig.store.put("op/config", {
        version: 3,
        routes: [route("talk", "/talk/", { kind: "stream", service: "floor", retain: true, resumable: true })],
        services: [{
            name: "floor",
            healthPath: "/health",
            maxConns: 150,
            engine: { slots: 12, kvCapacity: 98_048, tokensPerEvent: 10 },
        }],
        limits,
    });
    await rig.addWorker(new RawWorker("i-a", "floor", stream, { slots: 12 }));
    await rig.addWorker(new RawWorker("i-b", "floor", stream, { slots: 12 }));
    for (const name of ["store-1", "store-2", "store-3"]) {
        await rig.add("store", name);
    }
    const front = await rig.add("front", "front-1");
    if (!await until(() => front.isReady(), 15_000)) {
        throw new Error(`the front is not ready: ${front.log}`);
    }
    await sleep(4_500);

    const attempt = async (program, input, previous, resumed) => {
        const id = rig.newId();
        const headers = {
            "Request-Id": id,
            "Deadline-Ms": "4000",
            "Model": "m",
            "Token-Usage": "100,70",
            "Program-Id": program,
            "Session-Id": program,
            "Finish-Ms": "9000",
            "Token-Budget": "3000",
            ...(previous === undefined ? {} : { "Previous-Turn": previous }),
            ...(resumed === undefined ? {} : { "Last-Event-Id": String(resumed.lastEvent), "Resumes": resumed.id }),
        };
        rig.record.add(
            `caller sends ${id}${previous === undefined ? "" : `, from ${previous}`}${
                resumed === undefined ? "" : `, after event ${resumed.lastEvent} of ${resumed.id}`
            }`,
        );
        const answer = await sendCall({ address: front.address, path: "/talk/1", headers, body: input });
        const pieces = [...answer.body.toString().matchAll(/^data: (.*)\n\n/gm)].map(([, piece]) => piece);
        const reason = answer.status === 200 ? "" : answer.body.toString().slice(0, 160);
        rig.record.add(
            `caller of ${id} gets ${answer.status}, ${answer.isComplete ? "complete" : `ended by ${answer.ending}`}: ${
                pieces.join(", ")
            }${reason}`,
        );
        return { id, pieces, isWhole: answer.status === 200 && answer.isComplete };
    };
    /** A turn of the caller, with its retry after a broken connection. */
    const turn = async (program, input, previous) => {
        const first = await attempt(program, input, previous);
        if (first.isWhole) {
            return first;
        }
        const second = await attempt(program, input, previous, { id: first.id, lastEvent: first.pieces.length });
        return { ...second, pieces: [...first.pieces, ...second.pieces] };
    };

    let broken = 0;
    let judged = 0;
    for (let index = 0; index < turns; index++) {
        const program = `program-${index + 1}`;
        breaksNext = withTrouble;
        const first = await turn(program, "first input;");
        if (!first.isWhole) {
            rig.record.add(`the first turn of ${program} was not answered whole`);
            continue;
        }
        const second = await turn(program, "second input;", first.id);
        const expected = `first input;${first.pieces.map(piece => `${piece}\n`).join("")}second input;`;
        const body = bodies.get(second.id);
        if (body !== undefined) {
            judged += 1;
            broken += body === expected ? 0 : 1;
            rig.record.add(
                `the second turn of ${program} ran ${
                    body === expected ?
                        "on the whole conversation" :
                        `without ${
                            first.pieces.filter(piece => !body.includes(piece)).join(", ")
                        }, which the caller had got`
                }`,
            );
        }
    }
    rig.record.add(`${broken} of ${judged} second turns ran on a conversation of which a part was missing`);
    if (judged === 0 && !withTrouble) {
        return exits.couldNotRun;
    }
    return broken > 0 ? exits.broken : exits.held;
});
