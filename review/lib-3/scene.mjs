/** Sets up a small deployment: the platform's store, workers, processes and a configuration. */
import { Record } from "./client.mjs";
import { Fleet, sleep } from "./fleet.mjs";
import { Store } from "./store.mjs";

/** Host name of all routes. */
export const site = "tests.example";

/** Beat interval of the workers, as in the settings. */
const beatMs = 1_200;

export const route = (name, kind, service, changes = {}) => ({
    name,
    host: site,
    prefix: `/${name}/`,
    kind,
    service,
    timeoutMs: 4_000,
    latencyGoalMs: 300,
    priority: 1,
    maxAttempts: 1,
    ...changes,
});

export const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

export class Scene {
    record = new Record();
    store = new Store();
    workers = [];
    #beats = undefined;

    constructor(settings = {}) {
        this.settings = settings;
    }

    /** @param choose Returns the names of the machines that are started at once, once their addresses are known; by default all. */
    async start({ machines, workers, config, choose = () => machines.map(({ name }) => name) }) {
        await this.store.start();
        for (const worker of workers) {
            worker.record = this.record.add;
            await worker.start();
            this.workers.push(worker);
            this.store.put(`servers/${worker.id}`, worker.entry());
        }
        this.config = { version: 7, limits, ...config };
        this.store.put("op/config", this.config);
        this.#beats = setInterval(() => this.beat(), beatMs);
        this.fleet = new Fleet(this.store.address, this.record.add, this.settings);
        await this.fleet.prepare(machines);
        const names = choose(this.fleet);
        names.forEach(name => this.fleet.start(name));
        const fronts = machines.filter(({ name, role }) => role === "front" && names.includes(name)).map(({ name }) =>
            name
        );
        await this.fleet.whenReady(fronts);
    }

    /** Whether the workers cannot check in, as the store does not answer them either. */
    isStoreDown = () => false;

    /** All workers check in. */
    beat() {
        if (this.isStoreDown()) {
            return;
        }
        for (const worker of this.workers.filter(({ isAway }) => !isAway)) {
            this.store.put(`servers/${worker.id}`, worker.entry(worker.state ?? "ready"));
        }
    }

    async close() {
        clearInterval(this.#beats);
        await this.fleet?.close();
        this.workers.forEach(worker => worker.close());
        this.store.close();
    }
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (scene, recordFile, play) => {
    const limit = setTimeout(() => finish(2, "the case did not end in time"), 115_000);
    const finish = async (code, text) => {
        clearTimeout(limit);
        scene.record.add(text);
        await scene.close().catch(() => {});
        scene.record.write(recordFile);
        console.log(text);
        process.exit(code);
    };
    try {
        const broken = await play();
        await finish(
            broken === undefined ? 0 : 1,
            broken === undefined ? "the rule held" : `the rule was broken: ${broken}`,
        );
    }
    catch (err) {
        await finish(2, `the case could not run: ${err.stack}`);
    }
};

export { sleep };
