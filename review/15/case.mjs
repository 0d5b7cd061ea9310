/** A front that has just been added and restarts once lends a share of the quotas that the others have already lent. */
import murmurhash from "murmurhash";

import { send } from "../lib-3/client.mjs";
import { route, runCase, Scene, site, sleep } from "../lib-3/scene.mjs";
import { answerBytes, signature, Worker } from "../lib-3/worker.mjs";

const withTrouble = process.env.TROUBLE !== "0";

/** Bounds of the rule, and the quota of the tenant. */
const bounds = { quotaWindowS: 5, quotaOver: 0.1, quotaSlack: 20 };
const tenant = { name: "north", apiKeys: ["key-north"], ratePerS: 100, burst: 20 };

/** What the tenant asks for, in requests a second at each front. */
const perFrontPerSecond = 130;

const workMs = 3;

const scene = new Scene({
    bounds,
    contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "recover",
        "agent",
        "stream",
        "engine",
        "platform",
        "tenants",
        "quota",
    ],
});

const handle = async (request, socket, worker) => {
    worker.ran.push({ id: request.id, at: performance.now() });
    scene.record.add(`${worker.id} runs ${request.id}`);
    await sleep(workMs);
    socket.write(answerBytes(200, { "Request-Id": request.id, "Response-Signature": signature }, "fine"));
};

/** Order of the machines for a duty, as rendezvous hashing over their addresses gives it. */
const rank = (duty, names) => {
    const seed = murmurhash.v3(duty);
    const rankOf = name => murmurhash.v3(new TextEncoder().encode(name), seed);
    return [...names].sort((a, b) => rankOf(b) - rankOf(a));
};

/** Most requests that ran in any window of the rule's length. */
const mostInWindow = times => {
    let most = 0;
    let from = 0;
    for (let to = 0; to < times.length; to++) {
        while (times[to] - times[from] > bounds.quotaWindowS * 1_000) {
            from += 1;
        }
        most = Math.max(most, to - from + 1);
    }
    return most;
};

await runCase(scene, new URL("record.txt", import.meta.url).pathname, async () => {
    const names = ["front-1", "front-2", "front-3"];
    const workers = [1, 2].map(number => new Worker(`w-${number}`, "ops", "north-a", handle));
    workers.forEach(worker => worker.slots = 64);
    // All machines are known beforehand, so that the one that is added is one that the hash prefers; one in three does.
    let added;
    let memberReads = 0;
    scene.store.intercept = async ({ path, param }) => {
        if (path === "/api/kv-range" && param("prefix") === "marigolddrift/members/") {
            memberReads += 1;
        }
        return false;
    };
    await scene.start({
        machines: names.map(name => ({ name, role: "front", zone: "north-a" })),
        workers,
        config: {
            tenants: [tenant],
            routes: [route("look", "safe", "ops", { timeoutMs: 2_000 })],
            services: [{ name: "ops", maxConns: 400 }],
        },
        choose: fleet => {
            const peerPort = fleet.ports.at(-1);
            const nameOf = machine => `${machine.ip}:${peerPort}`;
            const machines = [...fleet.machines.values()];
            const [first] = rank("quota granter 0", machines.map(nameOf));
            added = machines.find(machine => nameOf(machine) === first).name;
            return names.filter(name => name !== added);
        },
    });
    const others = names.filter(name => name !== added);
    let senders = [...others];
    let isSending = true;
    const answers = new Map();
    const sendAll = async () => {
        const periodMs = 1_000 / perFrontPerSecond;
        const running = new Set();
        let next = performance.now();
        while (isSending) {
            for (const name of senders) {
                const sent = send(scene.fleet.front(name), {
                    method: "GET",
                    path: "/look/1",
                    site,
                    headers: { "Deadline-Ms": "1200", "Api-Key": "key-north" },
                    timeoutMs: 3_000,
                }).then(({ id, status }) => {
                    scene.record.add(`${name} answers ${id} with ${status}`);
                    answers.set(`${name} ${status}`, (answers.get(`${name} ${status}`) ?? 0) + 1);
                });
                running.add(sent);
                void sent.finally(() => running.delete(sent));
            }
            next += periodMs;
            await sleep(Math.max(0, next - performance.now()));
        }
        await Promise.all(running);
    };
    // Until the fronts know each other.
    await sleep(12_000);
    const sending = sendAll();
    await sleep(8_000);
    // The others read the list of machines every 8 s, at about the same time, as they started together.
    const readsBefore = memberReads;
    while (memberReads < readsBefore + others.length) {
        await sleep(20);
    }
    scene.record.add(`${added} is added`);
    scene.fleet.start(added, false);
    while (scene.store.get(`marigolddrift/members/${added}`) === undefined) {
        await sleep(20);
    }
    await scene.fleet.whenReady([added]);
    if (withTrouble) {
        await scene.fleet.kill(added);
        await sleep(200);
        scene.fleet.start(added, false);
        await scene.fleet.whenReady([added]);
    }
    scene.record.add(`${added} is ready and gets requests`);
    senders = names;
    await sleep(12_000);
    isSending = false;
    await sending;
    const times = workers.flatMap(({ ran }) => ran.map(({ at }) => at)).sort((a, b) => a - b);
    for (let second = 0; second * 1_000 < times.at(-1) - times[0]; second++) {
        const from = times[0] + second * 1_000;
        const count = times.filter(at => at >= from && at < from + 1_000).length;
        scene.record.add(
            `${((from - scene.record.startedAt) / 1_000).toFixed(1)} s and the second after: ${count} requests ran`,
        );
    }
    answers.forEach((count, key) => scene.record.add(`${key}: ${count}`));
    const { quotaWindowS, quotaOver, quotaSlack } = bounds;
    const allowed = (tenant.ratePerS * quotaWindowS + tenant.burst) * (1 + quotaOver) + quotaSlack;
    const most = mostInWindow(times);
    scene.record.add(`at most ${most} requests ran in ${quotaWindowS} s; the rule allows ${allowed}`);
    return most > allowed ? `QUOTA: ${most} requests ran in ${quotaWindowS} s, more than ${allowed}` : undefined;
});
