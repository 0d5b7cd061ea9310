/**
 * A conversation of three turns on a route with keepS = 60, each continued well within keepS, beside the turns of other programs. The
 * third turn comes in through another front. With the disruption, the store machines are stopped and started in turn before it.
 */
import { runCase, sheetWorkers, sleep } from "../lib/fleet.mjs";

const keepS = 60;
const firstInput = "1".repeat(9_000);
const secondInput = "2".repeat(600);
const thirdInput = "3".repeat(600);
const secondAtS = 55;
const removalDueS = 95;
const othersPerSecond = 12;
const otherBytes = 20_000;
const program = "3fa81c";

const outputOf = (id, events) => Array.from({ length: events }, (_, event) => `${id}-${event}\n`).join("");

await runCase(import.meta.url, async (fleet, hasTrouble) => {
    await fleet.start({
        fronts: ["tunis-a", "tunis-b", "sfax-a"],
        stores: ["tunis-a", "tunis-b", "sfax-a"],
        workers: sheetWorkers(),
    });
    const [here, there] = fleet.fronts;
    const whole = async (front, options, name) => {
        const outcome = await fleet.turn(front, { program, ...options });
        if (outcome.status !== 200 || !outcome.whole) {
            throw new Error(`the ${name} turn was answered ${outcome.status ?? outcome.error}`);
        }
        fleet.note(`the ${name} turn of the conversation is ${outcome.id}`);
        return outcome;
    };
    const first = await whole(here, { body: firstInput }, "first");
    let stopped = false;
    const others = (async () => {
        for (let count = 0; !stopped; count++) {
            const front = fleet.fronts[count % fleet.fronts.length];
            void fleet.turn(front, { program: `other-${count}`, body: `${count} `.padEnd(otherBytes, "x") });
            await sleep(1000 / othersPerSecond);
        }
    })();
    await sleep((secondAtS - fleet.now()) * 1000);
    const second = await whole(here, { body: secondInput, previous: first.id }, "second");
    const turnKey = `marigolddrift/turns/${first.id}`;
    await sleep((removalDueS - fleet.now()) * 1000);
    await fleet.until(() => !fleet.store.items.has(turnKey), 8, "the first turn is still in the platform's store");
    fleet.note("the record of the first turn is no longer in the platform's store");
    stopped = true;
    await others;
    if (hasTrouble) {
        for (const store of fleet.stores) {
            fleet.signal(store, "SIGTERM");
            await fleet.ended(store);
            fleet.spawn(store, false);
            await sleep(1000);
        }
    }
    await sleep(1500);
    const broken = [];
    for (let attempt = 0; attempt < 6; attempt++) {
        const third = await fleet.turn(there, { program, body: thirdInput, previous: second.id });
        const ageS = third.endedAt - second.endedAt;
        const age = `${ageS.toFixed(1)} s after the turn that it continues was answered whole`;
        fleet.note(`the third turn is ${third.id}, ${age}: ${third.status ?? third.error}`);
        if ((third.status === 404 || third.status === 410) && ageS < keepS) {
            broken.push(`LOST: the third turn was answered ${third.status}, ${age}; keepS is ${keepS}`);
        }
        if (third.status === 200) {
            const body = fleet.workers.flatMap(({ ran }) => ran).find(({ id }) => id === third.id).body.toString();
            const chain = `${firstInput}${outputOf(first.id, 7)}${secondInput}${outputOf(second.id, 7)}${thirdInput}`;
            if (body !== chain) {
                broken.push(`UNASKED: the body of the third turn is not the conversation`);
            }
        }
        if (third.status !== 503) {
            break;
        }
        await sleep(Number(third.retryAfter ?? 0.5) * 1000);
    }
    return broken;
});
