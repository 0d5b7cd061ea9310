/**
 * Turns of many programs, until all machines lose power. With the disruption, the last write to the log of two of the three store
 * machines, which was not synced yet, is torn: its length is in the file, but its first sectors are not, so that they read as zeros. Without it, that write is missing.
 */
import { appendFileSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

import { goOnUntilRecovered, sendTurns, strike, wholeTurns } from "../lib/finalFault.mjs";
import { runCase, sheetWorkers, sleep } from "../lib/fleet.mjs";

const tornMachines = 2;
const sectorBytes = 512;
const restartDelayMs = 500;

/** Appends a copy of the first write of the newest log, with its first sectors missing. */
const tearLastWrite = (fleet, store) => {
    const dir = join(fleet.dir, store.name, "data", "journal");
    const numberOf = name => Number(/\d+/.exec(name)[0]);
    const newest = readdirSync(dir).filter(name => name.endsWith(".log")).sort((a, b) => numberOf(a) - numberOf(b)).at(
        -1,
    );
    const bytes = readFileSync(join(dir, newest));
    const write = Buffer.from(bytes.subarray(0, 8 + bytes.readUInt32BE(0)));
    write.fill(0, 0, Math.min(sectorBytes, write.length));
    appendFileSync(join(dir, newest), write);
    fleet.note(`${store.name}: the last ${write.length} bytes of ${newest} are a torn write`);
};

await runCase(import.meta.url, async (fleet, hasTrouble) => {
    await fleet.start({
        fronts: ["tunis-a", "tunis-b", "sfax-a"],
        stores: ["tunis-a", "tunis-b", "sfax-a"],
        workers: sheetWorkers(),
    });
    const turns = await sendTurns(fleet, { perSecond: 30, seconds: 3 });
    const answered = await wholeTurns(fleet, turns);
    fleet.note("all machines lose power");
    let isOver = false;
    let ownEnds = 0;
    await strike(
        fleet,
        fleet.machines,
        () => hasTrouble && fleet.stores.slice(0, tornMachines).forEach(store => tearLastWrite(fleet, store)),
    );
    // A process that exits is restarted after a short delay.
    const restarts = (async () => {
        while (!isOver) {
            for (const machine of fleet.machines.filter(({ name }) => !fleet.processes.has(name))) {
                ownEnds += 1;
                await sleep(restartDelayMs);
                fleet.spawn(machine, false);
            }
            await sleep(25);
        }
    })();
    const broken = await goOnUntilRecovered(fleet, answered);
    isOver = true;
    await restarts;
    fleet.note(`processes that ended by themselves: ${ownEnds}`);
    return broken;
});
