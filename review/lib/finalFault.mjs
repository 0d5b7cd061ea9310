/** The final fault of a day, and the turns that go on afterwards. */
import { bounds, sleep } from "./fleet.mjs";

const downMs = 1_400;
const keepS = 60;

/** Sends turns of new programs for some seconds, and returns those that were answered whole. */
export const sendTurns = async (fleet, { perSecond, seconds, ...options }) => {
    const turns = [];
    for (let count = 0; count < perSecond * seconds; count++) {
        const program = `program-${count}`;
        const front = fleet.fronts[count % fleet.fronts.length];
        const turn = fleet.turn(front, { program, body: `${count} `.padEnd(3000, "x"), ...options });
        turns.push(turn.then(outcome => ({ program, ...outcome })));
        await sleep(1000 / perSecond);
    }
    return turns;
};

/** Returns the turns that were answered whole. */
export const wholeTurns = async (fleet, turns) => {
    const answered = (await Promise.all(turns)).filter(({ status, whole }) => status === 200 && whole);
    fleet.note(`${answered.length} turns of ${turns.length} were answered whole`);
    if (answered.length < turns.length / 2) {
        throw new Error("too few turns were answered");
    }
    return answered;
};

/** Kills the processes of the machines, does something to their disks, and starts them again. */
export const strike = async (fleet, machines, whileDown) => {
    machines.forEach(machine => fleet.signal(machine, "SIGKILL"));
    await Promise.all(machines.map(machine => fleet.ended(machine)));
    whileDown();
    await sleep(downMs);
    machines.forEach(machine => fleet.spawn(machine, false));
    fleet.fronts.forEach(front => front.ready = false);
};

/**
 * Continues each turn until `recoverS`, beside turns of new programs. Returns what breaks LOST. An error means that the
 * system does not serve other turns either.
 */
export const goOnUntilRecovered = async (fleet, answered, options = {}) => {
    const recoveredAt = fleet.now() + bounds.recoverS;
    await fleet.until(() => fleet.fronts.every(({ ready }) => ready), bounds.recoverS, "the fronts are not ready");
    const outcomes = [];
    let sent = 0;
    const send = async (name, turn) => {
        const front = fleet.fronts[sent++ % fleet.fronts.length];
        const outcome = { name, ...await fleet.turn(front, { body: "go on", ...options, ...turn }) };
        outcomes.push(outcome);
        return outcome;
    };
    const goOn = async ({ program, id }) => {
        while (fleet.now() < recoveredAt) {
            const { status, retryAfter } = await send(id, { program, previous: id });
            if (status !== undefined && status !== 503) {
                return;
            }
            await sleep(Number(retryAfter ?? 0.5) * 1000);
        }
    };
    const beginPrograms = async () => {
        for (let count = 0; fleet.now() < recoveredAt; count++) {
            void send("new", { program: `new-${count}` });
            await sleep(100);
        }
    };
    await Promise.all([beginPrograms(), ...answered.map(goOn)]);
    await sleep(1000);

    const lastTurns = outcomes.filter(({ name, sentAt }) => name === "new" && sentAt > recoveredAt - 4);
    const servedShare = lastTurns.filter(({ status, whole }) => status === 200 && whole).length / lastTurns.length;
    fleet.note(`turns of new programs in the last 4 s until recoverS: ${(100 * servedShare).toFixed(0)}% served`);
    if (!(servedShare >= 0.8)) {
        throw new Error("the system does not serve other turns");
    }
    const reached = new Set(fleet.workers.flatMap(({ ran }) => ran).map(({ id }) => id));
    return answered.flatMap(({ id, endedAt }) => {
        const tries = outcomes.filter(({ name }) => name === id);
        const denied = tries.find(({ status, endedAt: at }) =>
            (status === 404 || status === 410) && at - endedAt < keepS
        );
        if (denied !== undefined) {
            const ageS = (denied.endedAt - endedAt).toFixed(1);
            return [`LOST: the turn after ${id} was answered ${denied.status}, ${ageS} s after the answer of ${id}`];
        }
        return tries.some(turn => reached.has(turn.id)) ?
            [] :
            [`LOST: the turn after ${id} reached no worker by recoverS, in ${tries.length} tries: ${
                tries.at(-1)?.status
            }`];
    });
};
