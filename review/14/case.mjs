/** A turn whose stream was taken up after a break is kept without the events before the break. */
import { connect } from "node:net";

import { newId } from "../lib-3/client.mjs";
import { route, runCase, Scene, site, sleep } from "../lib-3/scene.mjs";
import { signature, Worker } from "../lib-3/worker.mjs";

const withTrouble = process.env.TROUBLE !== "0";

const events = 8;
const gapMs = 60;
const programs = 21;

/** Time from the beginning of the first turns to the crash of a worker, and for which the worker is down. */
const crashAfterMs = 250;
const downMs = 2_000;

const scene = new Scene();

const dataOf = event => `word ${event}`;

const handle = async (request, socket, worker) => {
    const { born } = worker;
    const last = request.headers["last-event-id"];
    worker.ran.push({ id: request.id, body: request.body.toString(), previous: request.headers["previous-turn"] });
    scene.record.add(`worker ${worker.id} runs ${request.id}: ${JSON.stringify(request.body.toString())}`);
    socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\nResponse-Signature: ${signature}\r\n` +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for (let event = last === undefined ? 0 : Number(last) + 1; event < events; event++) {
        await sleep(gapMs);
        if (socket.destroyed || worker.born !== born) {
            return;
        }
        const text = `id: ${event}\ndata: ${dataOf(event)}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    }
    socket.write("0\r\n\r\n");
};

/** One attempt: resolves to the id of the last event, and whether the answer was whole. */
const attempt = (program, body, more) =>
    new Promise(resolve => {
        const id = newId();
        const socket = connect(scene.fleet.front("front-1"));
        let text = "";
        const headers = {
            "Host": site,
            "Request-Id": id,
            "Deadline-Ms": "4000",
            "Model": "m",
            "Token-Usage": "200,200",
            "Program-Id": program,
            "Session-Id": program,
            "Finish-Ms": "20000",
            "Token-Budget": "5000",
            ...more,
        };
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`POST /chat/1 HTTP/1.1\r\n${lines}Content-Length: ${body.length}\r\n\r\n${body}`);
        const finish = () => {
            clearTimeout(timer);
            socket.destroy();
            const last = [...text.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].at(-1)?.[1];
            const isWhole = text.startsWith("HTTP/1.1 200") && text.endsWith("\r\n0\r\n\r\n");
            scene.record.add(
                `${program}: ${id}${more["Resumes"] === undefined ? "" : ` (takes up ${more["Resumes"]})`} ` +
                    `gets ${text.split(" ")[1] ?? "nothing"}, last event ${last ?? "none"}, ${
                        isWhole ? "whole" : "not whole"
                    }`,
            );
            resolve({ id, last, isWhole });
        };
        const timer = setTimeout(finish, 5_000);
        socket.on("data", chunk => {
            text += chunk.toString();
            if (text.endsWith("\r\n0\r\n\r\n") || /^HTTP\/1.1 [45][^]*\r\n\r\n/.test(text)) {
                finish();
            }
        });
        socket.on("close", finish);
        socket.on("error", () => {});
    });

/** A turn, which is taken up once if its stream breaks off. Resolves to the id of the attempt that was answered whole. */
const turn = async (program, body, previous) => {
    const more = previous === undefined ? {} : { "Previous-Turn": previous };
    const first = await attempt(program, body, more);
    if (first.isWhole || first.last === undefined) {
        return first.isWhole ? { id: first.id, wasTakenUp: false } : undefined;
    }
    await sleep(150);
    const second = await attempt(program, body, { ...more, "Last-Event-Id": first.last, "Resumes": first.id });
    return second.isWhole ? { id: second.id, wasTakenUp: true } : undefined;
};

await runCase(scene, new URL("record.txt", import.meta.url).pathname, async () => {
    const workers = Array.from({ length: 7 }, (_, index) => new Worker(`w-${index + 1}`, "brain", "north-a", handle));
    workers.forEach(worker => worker.slots = 12);
    await scene.start({
        machines: [
            { name: "front-1", role: "front", zone: "north-a" },
            { name: "store-1", role: "store", zone: "north-a" },
            { name: "store-2", role: "store", zone: "north-a" },
            { name: "store-3", role: "store", zone: "north-a" },
        ],
        workers,
        config: {
            routes: [
                route("chat", "stream", "brain", {
                    retain: true,
                    keepS: 60,
                    resumable: true,
                    maxAttempts: 2,
                    sticky: true,
                    gapAimMs: 200,
                }),
            ],
            services: [{ name: "brain", maxConns: 150, engine: { slots: 12, kvCapacity: 98_048, tokensPerEvent: 10 } }],
        },
    });
    await sleep(4_000);
    const names = Array.from({ length: programs }, (_, index) => `p-${index + 1}`);
    const turns = Promise.all(names.map(name => turn(name, `first of ${name};`)));
    await sleep(crashAfterMs);
    // The one that runs most of the turns, so that the disruption meets some.
    const [worker] = [...workers].sort((a, b) => b.ran.length - a.ran.length);
    if (withTrouble) {
        scene.record.add(`${worker.id} crashes`);
        worker.isAway = true;
        worker.crash();
    }
    const first = await turns;
    if (withTrouble) {
        await sleep(downMs);
        const [host, port] = worker.address.split(":");
        worker.born = Date.now();
        await worker.start(host, Number(port));
        worker.isAway = false;
        scene.beat();
        scene.record.add(`${worker.id} is back`);
    }
    const output = Array.from({ length: events }, (_, event) => `${dataOf(event)}\n`).join("");
    const wrong = [];
    for (const [index, name] of names.entries()) {
        if (first[index] === undefined) {
            continue;
        }
        await turn(name, `second of ${name};`, first[index].id);
        const expected = `first of ${name};${output}second of ${name};`;
        const bodies = workers.flatMap(({ ran }) => ran.filter(({ previous }) => previous === first[index].id));
        const isWrong = bodies.some(({ body }) => body !== expected);
        scene.record.add(
            `${name}: the first turn was ${first[index].wasTakenUp ? "taken up" : "not broken off"}; ` +
                `the second one ran with ${isWrong ? "another body than" : "the body of"} the chain`,
        );
        if (isWrong) {
            wrong.push(name);
        }
    }
    return wrong.length > 0 ?
        `UNASKED: ${wrong.length} turns ran with a body that isn't the chain's inputs and outputs` :
        undefined;
});
