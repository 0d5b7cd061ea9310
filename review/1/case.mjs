/**
 * Bursts of orders through three fronts. Workers that are full refuse with 503 and `Not-Executed`. With the disruption, one
 * worker of three writes 3 in 100 of its refusals once more, on the same kept connection, when the next request there begins.
 */
import { runCase, sheetWorkers, sleep } from "../lib/fleet.mjs";

const faultyWorker = "i-b20d45e0";
const repeatedOf = 33;
const bursts = 50;
const ordersPerFront = 20;
const pauseMs = 450;
const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

await runCase(import.meta.url, async (fleet, hasTrouble) => {
    const workers = sheetWorkers().map(options => options.streams ? options : { ...options, queueLimit: 4 });
    await fleet.start({
        fronts: ["tunis-a", "tunis-b", "sfax-a"],
        stores: ["tunis-a", "tunis-b", "sfax-a"],
        workers,
    });
    let due = 0;
    let repeated = 0;
    for (const worker of fleet.workers.filter(({ streams }) => !streams)) {
        worker.workMs = () => 30 + Math.random() * 50;
        worker.onBegin = (socket, { id }) => {
            const refusals = socket.refusals ?? 0;
            socket.refusals = 0;
            due += worker.id === faultyWorker ? refusals : 0;
            if (!hasTrouble || worker.id !== faultyWorker || refusals === 0 || due < repeatedOf) {
                return;
            }
            due -= repeatedOf;
            repeated += 1;
            fleet.note(`worker ${worker.id} writes its last refusal on this connection once more, as it begins ${id}`);
            socket.write(refusal);
        };
    }
    const sent = [];
    for (let burst = 0; burst < bursts; burst++) {
        for (const front of fleet.fronts) {
            for (let order = 0; order < ordersPerFront; order++) {
                sent.push(fleet.send(front, { route: "supplier-order", body: "{\"sugar\":1}", deadlineMs: 2000 }));
            }
        }
        await sleep(pauseMs);
    }
    const outcomes = await Promise.all(sent);
    await sleep(1000);
    const runs = new Map();
    for (const worker of fleet.workers) {
        worker.ran.forEach(({ id }) => runs.set(id, [...(runs.get(id) ?? []), worker.id]));
    }
    const refused = fleet.workers.reduce((sum, worker) => sum + worker.refused, 0);
    fleet.note(`${sent.length} orders, ${refused} refusals of full workers, ${repeated} of them written once more`);
    const statuses = {};
    outcomes.forEach(({ status }) => statuses[status ?? "none"] = (statuses[status ?? "none"] ?? 0) + 1);
    fleet.note(`answers by status: ${JSON.stringify(statuses)}`);
    if (refused === 0 || (statuses[200] ?? 0) < sent.length / 2) {
        throw new Error("the orders did not fill the workers as meant");
    }
    return [
        ...[...runs].filter(([, by]) => by.length > 1).map(([id, by]) =>
            `TWICE: order ${id} ran on ${by.join(" and ")}`
        ),
        ...outcomes.filter(({ id, status }) => [408, 421, 429, 503].includes(status) && runs.has(id)).map((
            { id, status },
        ) => `REFUSED: order ${id} was answered ${status} and ran on ${runs.get(id).join(" and ")}`),
    ];
});
