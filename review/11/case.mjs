/** A worker's extra answer to a refused request is taken for the answer to the same request when it is sent again. */
import { send } from "../lib-3/client.mjs";
import { route, runCase, Scene, site, sleep } from "../lib-3/scene.mjs";
import { answerBytes, signature, Worker } from "../lib-3/worker.mjs";

const withTrouble = process.env.TROUBLE !== "0";

/** The disruption: for 5 s, one of the two workers also sends a second answer, late, after 3 % of its answers at most. */
const troubleMs = 5_000;
const spoiltShare = 0.03;

/** Both workers are full for a moment after each 60 requests, as other consumers fill their slots. */
const requestsPerPeak = 60;
const fullMs = 30;

const workMs = 2;

const scene = new Scene();
let fullUntil = 0;
/** The worker that is at fault now. */
let faulty;

const maySpoil = worker => worker === faulty && worker.spoilt + 1 <= spoiltShare * worker.answers;

const handle = async (request, socket, worker) => {
    if (socket.extra !== undefined) {
        scene.record.add(`worker ${worker.id} sends its second answer to ${socket.extraId} late`);
        socket.write(socket.extra);
        socket.extra = undefined;
    }
    worker.answers = (worker.answers ?? 0) + 1;
    worker.spoilt ??= 0;
    if (performance.now() < fullUntil) {
        const refusal = answerBytes(503, { "Request-Id": request.id, "Not-Executed": "1" });
        scene.record.add(`worker ${worker.id} refuses ${request.id}: it is full`);
        socket.write(refusal);
        if (maySpoil(worker)) {
            worker.spoilt += 1;
            socket.extra = refusal;
            socket.extraId = request.id;
        }
        return;
    }
    worker.run(request);
    await sleep(workMs);
    socket.write(answerBytes(200, { "Request-Id": request.id, "Response-Signature": signature }, "done"));
};

await runCase(scene, new URL("record.txt", import.meta.url).pathname, async () => {
    await scene.start({
        machines: [{ name: "front-1", role: "front", zone: "north-a" }],
        workers: [1, 2].map(number => new Worker(`w-${number}`, "ops", "north-a", handle)),
        config: {
            routes: [route("order", "unsafe", "ops", { timeoutMs: 2_000 })],
            services: [{ name: "ops", maxConns: 96 }],
        },
    });
    const answers = [];
    const order = async () => {
        const answer = await send(scene.fleet.front("front-1"), {
            path: "/order/1",
            site,
            headers: { "Deadline-Ms": "2000" },
            body: "one order",
        });
        scene.record.add(`consumer gets ${answer.status} for ${answer.id} after ${answer.ms} ms`);
        answers.push(answer);
    };
    for (let count = 0; count < 2 * requestsPerPeak; count++) {
        await order();
    }
    // One of the two; that which the front uses more, so that the disruption meets some requests.
    const [first] = [...scene.workers].sort((a, b) => (b.answers ?? 0) - (a.answers ?? 0));
    faulty = withTrouble ? first : undefined;
    scene.record.add(withTrouble ? `the disruption begins at ${first.id}` : "no disruption");
    const endsAt = performance.now() + troubleMs;
    for (let count = 1; performance.now() < endsAt; count++) {
        if (count % requestsPerPeak === 0) {
            fullUntil = performance.now() + fullMs;
        }
        await order();
    }
    faulty = undefined;
    scene.record.add("the disruption ends");
    await sleep(500);
    const broken = [];
    for (const { id, status } of answers) {
        const runs = scene.workers.reduce((sum, worker) => sum + worker.timesRun(id), 0);
        if (runs > 1) {
            broken.push(`TWICE: ${id} ran ${runs} times`);
        }
        if ([408, 421, 429, 503].includes(status) && runs > 0) {
            broken.push(`REFUSED: ${id} got ${status} and ran`);
        }
    }
    scene.record.add(
        `${answers.length} requests; ${first.id} gave ${first.answers} answers, ${first.spoilt} of them with a second one`,
    );
    return broken.length === 0 ? undefined : broken.join("; ");
});
