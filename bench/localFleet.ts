/** A whole fleet in one process: stand-ins, daemons, and a signed bundle. */
import { createKeyPair, parseIni, Progress, signBundle, silentLogger } from "@marigolddrift/common";
import type { BundleDocument, KeyPair, Logger } from "@marigolddrift/common";
import { Daemon, settingsSchema } from "@marigolddrift/daemon";
import { Standins, standinSettingsSchema } from "@marigolddrift/standins";
import { BundleChain, StoreClient } from "@marigolddrift/store";

import { renderBundle, renderIni } from "./sampleBundle.js";
import type { FleetLayout, ZoneLayout } from "./sampleBundle.js";

const setUpTimeoutMs = 20_000;
const peerKey = "a-peer-key-of-this-fleet";
const adminKey = "an-admin-key-of-this-fleet";

/** Variations of a fleet. */
export interface FleetOptions {
    readonly layout: FleetLayout;
    readonly log?: Logger;
    /** Keys of an engine's section in the stand-ins' settings. */
    readonly engine?: Record<string, string | number | boolean>;
    readonly service?: Record<string, string | number>;
    readonly timing?: Record<string, number>;
    readonly limits?: Record<string, string | number>;
    readonly pool?: Record<string, string | number | boolean>;
    readonly listLagMs?: number;
    readonly placement?: string;
    /** Seed of the daemons' random choices. */
    readonly random?: () => number;
}

/** Stand-ins and daemons of one user. */
export class LocalFleet {
    readonly daemons: Daemon[] = [];
    readonly standins: Standins;
    readonly operators: Readonly<Record<"amira" | "basil", KeyPair>> = {
        amira: createKeyPair(),
        basil: createKeyPair(),
    };

    constructor(private readonly options: FleetOptions) {
        this.standins = new Standins(parseIni(standinSettingsSchema, this.renderStandins(), "stand-ins"));
    }

    async start(): Promise<void> {
        await this.standins.start();
        await this.installBundle(this.renderBundle(1));
        for (const zone of this.options.layout.zones) {
            for (let index = 1; index <= zone.daemons; index++) {
                await this.startDaemon(zone, index);
            }
        }
        await this.waitUntilSettled();
    }

    async stop(): Promise<void> {
        await Promise.all(this.daemons.map(daemon => daemon.stop()));
        await this.standins.close();
    }

    /** URL of a daemon's port for callers. */
    url(index: number): string {
        return `http://127.0.0.1:${this.daemons[index % this.daemons.length]!.ports.http}`;
    }

    get storeAddress(): string {
        return `127.0.0.1:${this.standins.ports.get("store")}`;
    }

    /** Starts one more daemon. */
    async startDaemon(zone: ZoneLayout, index: number): Promise<Daemon> {
        const text = this.renderSettings(zone, `${zone.zone}-${index}`, await freePort());
        const daemon = new Daemon(parseIni(settingsSchema, text, `${zone.zone}-${index}`), {
            log: this.options.log ?? silentLogger,
            ...(this.options.random === undefined ? {} : { random: this.options.random }),
        });
        await daemon.start();
        this.daemons.push(daemon);
        const { instance, zone: name, region, address } = daemon.identity;
        this.standins.list.add({ id: instance, kind: "daemon", address, zone: name, region });
        return daemon;
    }

    /** Text of a bundle for this fleet. */
    renderBundle(version: number): string {
        const { layout, limits, pool } = this.options;
        const keys = Object.fromEntries(Object.entries(this.operators).map(([name, pair]) => [name, pair.publicKey]));
        const extra = { version, ...(limits ? { limits } : {}), ...(pool ? { pool } : {}) };
        return renderBundle(
            layout,
            { engines: this.addresses("engine"), services: this.addresses("service") },
            keys,
            extra,
        );
    }

    /** Proposes, signs off and rolls out a bundle to all regions. */
    async installBundle(text: string): Promise<void> {
        const client = new StoreClient(this.storeAddress);
        const chain = new BundleChain(client);
        const progress = new Progress(setUpTimeoutMs);
        const { amira, basil } = this.operators;
        try {
            const version = (await chain.versions(progress)).length + 1;
            await chain.propose(text, version, "amira", progress);
            const proposed = (await chain.version(version, progress))!;
            const signOff = { operator: "basil", signature: signBundle(proposed.value, "sign-off", basil.privateKey) };
            const doc: BundleDocument = await chain.update(proposed, { ...proposed.value, signOff }, progress);
            const regions = [...new Set(this.options.layout.zones.map(zone => zone.region))].map(region => ({
                region,
                operator: "amira",
                signature: signBundle(doc, `rollout:${region}`, amira.privateKey),
                at: new Date().toISOString(),
            }));
            await chain.updateRollout(await chain.rollout(progress), { version, regions }, progress);
        }
        finally {
            progress.dispose();
            await client.close();
        }
    }

    /** Waits until every slot has an owner and every daemon knows all others. */
    async waitUntilSettled(): Promise<void> {
        const progress = new Progress(setUpTimeoutMs);
        try {
            while (!this.isSettled()) {
                await progress.sleep(20);
            }
        }
        finally {
            progress.dispose();
        }
    }

    private isSettled(): boolean {
        const owned = this.daemons.reduce(
            (sum, daemon) => sum + daemon.slots.all().filter(slot => !slot.provisional).length,
            0,
        );
        const slots = this.daemons[0]?.bundles.current?.limits.slots ?? 0;
        const known = this.daemons.every(daemon =>
            daemon.membership.connectedPeers().length === this.daemons.length - 1 &&
            daemon.slots.directory.all().length === slots
        );
        return slots > 0 && owned === slots && known;
    }

    private addresses(kind: "engine" | "service"): string[] {
        return [...this.standins.ports]
            .filter(([name]) => name.startsWith(`${kind}-`))
            .map(([name, port]) => `${name.split("/")[1]}=127.0.0.1:${port}`);
    }

    private renderStandins(): string {
        const { layout, engine, service, listLagMs } = this.options;
        const sections: Record<string, Record<string, string | number | boolean>> = {
            store: { port: 0 },
            list: { port: 0, lagMs: listLagMs ?? 300 },
            weights: { port: 0 },
        };
        for (const { zone, region, engines, services } of layout.zones) {
            for (let index = 1; index <= engines; index++) {
                sections[`engine.engine-${index}/${zone}`] = { port: 0, zone, region, models: layout.model, ...engine };
            }
            for (let index = 1; index <= services; index++) {
                sections[`service.service-${index}/${zone}`] = {
                    port: 0,
                    zone,
                    region,
                    name: layout.service,
                    ...service,
                };
            }
        }
        return renderIni(sections);
    }

    private renderSettings(zone: ZoneLayout, id: string, port: number): string {
        const operators = Object.fromEntries(
            Object.entries(this.operators).map(([name, pair]) => [name, `"${pair.publicKey}"`]),
        );
        return renderIni({
            instance: { id, zone: zone.zone, region: zone.region },
            http: { port: 0 },
            admin: { port: 0, key: adminKey },
            peer: {
                port,
                key: peerKey,
                ...(this.daemons[0] ? { seeds: this.daemons.map(peer => peer.identity.address).join(",") } : {}),
            },
            platform: { store: this.storeAddress, list: `127.0.0.1:${this.standins.ports.get("list")}` },
            operators,
            policy: { placement: this.options.placement ?? "expectedFinish" },
            timing: { heartbeatMs: 200, listPollMs: 200, loadPollMs: 200, ...this.options.timing },
        });
    }
}

/** A port that nothing listens on now. */
export const freePort = async (): Promise<number> => {
    const { createServer } = await import("node:net");
    return await new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as { port: number; };
            server.close(() => resolve(port));
        });
    });
};
