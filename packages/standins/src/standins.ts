/** Starts the stand-ins that are defined in the settings. */
import { EngineStandin } from "./engine/engineStandin.js";
import { InstanceListStandin } from "./instanceListStandin.js";
import { ServiceStandin } from "./serviceStandin.js";
import type { EngineSettings, StandinSettings } from "./settings.js";
import { StoreStandin } from "./store/storeStandin.js";
import { WeightStoreStandin } from "./weightStoreStandin.js";

/** A set of stand-ins on loopback ports. */
export class Standins {
    readonly store = new StoreStandin();
    readonly list: InstanceListStandin;
    readonly weights: WeightStoreStandin;
    readonly engines = new Map<string, EngineStandin>();
    readonly services = new Map<string, ServiceStandin>();
    /** Port of each stand-in, by name. */
    readonly ports = new Map<string, number>();

    constructor(private readonly cfg: StandinSettings) {
        this.list = new InstanceListStandin([], cfg.list.lagMs);
        this.weights = new WeightStoreStandin(cfg.weights.loadsPerMinute, cfg.weights.loadMs);
    }

    async start(): Promise<void> {
        const { cfg } = this;
        this.ports.set("store", await this.store.server.listen(cfg.store.port));
        this.ports.set("list", await this.list.server.listen(cfg.list.port));
        this.ports.set("weights", await this.weights.server.listen(cfg.weights.port));
        for (const [name, engine] of Object.entries(cfg.engine)) {
            await this.startEngine(name, engine);
        }
        for (const [name, service] of Object.entries(cfg.service)) {
            const standin = new ServiceStandin({ name: service.name, latencyMs: service.latencyMs });
            this.services.set(name, standin);
            this.registerUpstream(name, await standin.server.listen(service.port), service);
        }
        for (const [id, { peer, zone, region }] of Object.entries(cfg.instance)) {
            this.list.add({ id, kind: "daemon", address: peer, zone, region });
        }
    }

    async close(): Promise<void> {
        const all = [this.store, this.list, this.weights, ...this.engines.values(), ...this.services.values()];
        await Promise.all(all.map(standin => standin.close()));
    }

    private async startEngine(name: string, settings: EngineSettings): Promise<void> {
        const { port, zone, region, models, checksFencing, loadLagMs, eventLagMs, eventGapEvery, ...profile } =
            settings;
        const weightStore = `127.0.0.1:${this.ports.get("weights")}`;
        const options = { profile, models, checksFencing, loadLagMs, eventLagMs, eventGapEvery, weightStore };
        const standin = new EngineStandin(options);
        this.engines.set(name, standin);
        this.registerUpstream(name, await standin.server.listen(port), { zone, region });
    }

    private registerUpstream(name: string, port: number, location: { zone: string; region: string; }): void {
        this.ports.set(name, port);
        const address = `127.0.0.1:${port}`;
        this.list.add({ id: address, kind: "upstream", address, zone: location.zone, region: location.region });
    }
}
