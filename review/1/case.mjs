/**
 * With the disruption, another writer leaves one entry among those of the workers whose port is out of range. Then all
 * processes are killed and start again, with and without it.
 */
import { bounds, runCase, sheetWorkers, sleep } from "../lib/fleet.mjs";

const oddKey = "servers/i-0c44e1b7";
const requestsPerSecond = 30;
const beforeS = 6;
const downMs = 800;
const afterS = 8;

await runCase(import.meta.url, async (fleet, hasTrouble) => {
    await fleet.start({
        fronts: ["tunis-a", "tunis-b", "sfax-a"],
        stores: ["tunis-a", "tunis-b", "sfax-a"],
        workers: sheetWorkers(),
    });
    const outcomes = [];
    let stopped = false;
    const traffic = (async () => {
        for (let count = 0; !stopped; count++) {
            const ready = fleet.fronts.filter(front => front.ready);
            // If no front is in rotation, the platform uses all of them.
            const fronts = ready.length > 0 ? ready : fleet.fronts;
            const request = { route: "stock-check", method: "GET", deadlineMs: 1200 };
            void fleet.send(fronts[count % fronts.length], request).then(outcome => outcomes.push(outcome));
            await sleep(1000 / requestsPerSecond);
        }
    })();
    await sleep(beforeS * 1000);
    if (hasTrouble) {
        const [worker] = fleet.workers;
        fleet.store.put(oddKey, worker.entry({ address: `${fleet.store.host}:80800` }));
        fleet.note(`another writer has written ${oddKey}, with port 80800`);
    }
    await sleep(3000);
    const faultAt = fleet.now();
    fleet.machines.forEach(machine => fleet.signal(machine, "SIGKILL"));
    await sleep(downMs);
    fleet.machines.forEach(machine => fleet.spawn(machine, false));
    const backAt = fleet.now();
    fleet.note("all processes have been started again");
    await sleep((bounds.recoverS + afterS) * 1000);
    stopped = true;
    await traffic;
    await sleep(2500);
    const share = (from, to) => {
        const sent = outcomes.filter(({ sentAt }) => sentAt >= from && sentAt < to);
        const served = sent.filter(({ status, whole }) => status === 200 && whole).length;
        fleet.note(`sent from ${from.toFixed(1)} s to ${to.toFixed(1)} s: ${sent.length}, served: ${served}`);
        return served / sent.length;
    };
    const before = share(0, faultAt - 1);
    const after = share(backAt + bounds.recoverS, fleet.now() - 2.5);
    if (!(before > 0.9)) {
        throw new Error(`only ${before} was served before the fault`);
    }
    const notReady = fleet.fronts.filter(front => !front.ready).map(({ name }) => name);
    return after < 0.25 ?
        [
            `RECOVER: ${(100 * after).toFixed(1)}% of the requests sent later than recoverS were served, ` +
            `${(100 * before).toFixed(1)}% before the fault; not ready: ${notReady.join(", ") || "none"}`,
        ] :
        [];
});
