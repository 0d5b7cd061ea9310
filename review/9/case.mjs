/** A front freezes while a worker of a new version comes; its callers take their streams up at another front. */
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

const contactMs = 4_000;
const streams = 20;
const events = 14;
const pauseMs = 120;
/** Callers leave a stream that has been silent for two seconds. */
const patienceMs = 2_000;
const budgetMs = 4_000;
const freezeMs = 3_200;

await runCase(import.meta.dirname, {}, async rig => {
    const stream = async ({ id, socket, headers, worker }) => {
        const from = Number(headers["last-event-id"] ?? 0) + 1;
        rig.record.add(`${worker.id} (${worker.fields.version}) runs ${id} from event ${from}`);
        socket.write(
            `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ${id}\r\nResponse-Signature: ${
                signatureOf(id)
            }\r\nTransfer-Encoding: chunked\r\n\r\n`,
        );
        for (let event = from; event <= events && !socket.destroyed; event++) {
            const text = `id: ${event}\ndata: piece ${event} of ${worker.fields.version}\n\n`;
            socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
            await sleep(pauseMs);
        }
        socket.write("0\r\n\r\n");
    };
    rig.store.put("op/config", {
        version: 3,
        routes: [route("talk", "/talk/", { kind: "stream", service: "floor", resumable: true })],
        services: [{
            name: "floor",
            healthPath: "/health",
            maxConns: 150,
            engine: { slots: 12, kvCapacity: 98_048, tokensPerEvent: 10 },
        }],
        limits,
    });
    const addWorker = async (id, version) =>
        await rig.addWorker(new RawWorker(id, "floor", stream, { slots: 12, version }));
    for (const id of ["i-a", "i-b", "i-c"]) {
        await addWorker(id, "v1");
    }
    for (const name of ["store-1", "store-2", "store-3"]) {
        await rig.add("store", name);
    }
    const fronts = [];
    for (let number = 1; number <= 7; number++) {
        fronts.push(await rig.add("front", `front-${number}`));
    }
    for (const front of fronts) {
        if (!await until(() => front.isReady(), 15_000)) {
            throw new Error(`the front is not ready: ${front.log}`);
        }
    }
    await sleep(contactMs + 500);

    const attempt = async (front, leftMs, resumed) => {
        const id = rig.newId();
        const headers = {
            "Request-Id": id,
            "Deadline-Ms": String(Math.round(leftMs)),
            "Model": "m",
            "Token-Usage": "100,140",
            "Prompt-Prefix": `${id.slice(0, 8)}:100`,
            ...(resumed === undefined ? {} : { "Last-Event-Id": String(resumed.last), "Resumes": resumed.id }),
        };
        rig.record.add(
            `caller sends ${id} to ${front.node}${
                resumed === undefined ? "" : `, after event ${resumed.last} of ${resumed.id}`
            }`,
        );
        const answer = await sendCall(
            { address: front.address, path: "/talk/1", headers, body: "how full" },
            leftMs,
            patienceMs,
        );
        const text = answer.body.toString();
        const ids = [...text.matchAll(/^id: (\d+)\n/gm)].map(([, number]) => Number(number));
        rig.record.add(
            `caller of ${id} gets ${answer.status} with ${ids.length} events, ${
                answer.isComplete ? "complete" : `ended by ${answer.ending}`
            }${answer.status === 200 ? "" : ` ${text.slice(0, 230)}`}`,
        );
        return { id, ids, status: answer.status, isWhole: answer.status === 200 && answer.isComplete };
    };
    const call = async front => {
        const startedAt = performance.now();
        const first = await attempt(front, budgetMs);
        if (first.isWhole || first.ids.length === 0) {
            return { takenUp: false };
        }
        const leftMs = budgetMs - (performance.now() - startedAt);
        const second = await attempt(fronts[1], leftMs, { id: first.id, last: first.ids.at(-1) });
        return { takenUp: true, goesOn: second.status === 200 && second.ids.length > 0 };
    };

    const begun = Array.from({ length: streams }, () => call(fronts[0]));
    await sleep(300);
    if (withTrouble) {
        fronts[0].signal("SIGSTOP");
        rig.record.add("front-1 freezes");
        setTimeout(() => {
            fronts[0].signal("SIGCONT");
            rig.record.add("front-1 goes on");
        }, freezeMs);
    }
    if (process.env.CONTROL !== "1") {
        await sleep(300);
        await addWorker("i-d", "v2");
        rig.record.add("a worker of version v2 is ready");
    }
    await sleep(600);
    const fresh = Array.from({ length: streams / 2 }, () => attempt(fronts[1], budgetMs));
    const taken = (await Promise.all(begun)).filter(({ takenUp }) => takenUp);
    const goOn = taken.filter(({ goesOn }) => goesOn).length;
    const begin = (await Promise.all(fresh)).filter(({ ids }) => ids.length > 0).length;
    rig.record.add(
        `${taken.length} streams were taken up at front-2, ${goOn} went on; ${begin} of ${fresh.length} new streams began there`,
    );
    return taken.length >= 12 && goOn / taken.length < 0.5 * (begin / fresh.length) ? exits.broken : exits.held;
});
