/**
 * One turn with an input of 1.2 MB, then turns of many programs on a route with keepS = 60. With the disruption, a store machine
 * loses its disk and is back; once it has caught up, another one loses its disk in the final fault, while all other machines are
 * killed. Without it, all disks are kept. LARGE=0 leaves out the large turn.
 */
import { rmSync } from "node:fs";
import { join } from "node:path";

import { goOnUntilRecovered, sendTurns, strike, wholeTurns } from "../lib/finalFault.mjs";
import { bounds, runCase, sheetWorkers, sleep } from "../lib/fleet.mjs";

const largeInputBytes = 1_200_000;
const wipedForMs = 2_000;
const settleMs = 5_000;

await runCase(import.meta.url, async (fleet, hasTrouble) => {
    await fleet.start({
        fronts: ["tunis-a", "tunis-b", "sfax-a"],
        stores: ["tunis-a", "tunis-b", "sfax-a"],
        workers: sheetWorkers(),
    });
    const [first, second] = fleet.stores;
    const loseDisk = store => {
        if (hasTrouble) {
            rmSync(join(fleet.dir, store.name, "data"), { recursive: true, force: true });
            fleet.note(`${store.name} loses its disk`);
        }
    };
    if (process.env.LARGE !== "0") {
        const large = await fleet.turn(fleet.fronts[0], { program: "large", body: "x".repeat(largeInputBytes) });
        fleet.note(`the turn with ${largeInputBytes} bytes was answered ${large.status ?? large.error}`);
        if (large.status !== 200 || !large.whole) {
            throw new Error("the large turn was not answered");
        }
    }
    const turns = await sendTurns(fleet, { perSecond: 30, seconds: 3 });
    const answered = await wholeTurns(fleet, turns);
    await sleep(settleMs);
    const stored = answered.filter(({ id }) => fleet.store.items.has(`marigolddrift/turns/${id}`)).length;
    fleet.note(`${settleMs / 1000} s later, ${stored} of them are in the platform's store`);

    fleet.signal(first, "SIGKILL");
    await fleet.ended(first);
    loseDisk(first);
    await sleep(wipedForMs);
    fleet.spawn(first, false);
    await sleep(bounds.catchupS * 1000 + 1_000);
    fleet.note(`${first.name} is back, and has had more than catchupS`);
    await strike(fleet, fleet.machines, () => loseDisk(second));
    return await goOnUntilRecovered(fleet, answered);
});
