/** Settings files of a whole fleet of separate processes: stand-ins, daemons, operators' keys and the bundle. */
import { createKeyPair } from "@marigolddrift/common";
import type { KeyPair } from "@marigolddrift/common";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

import { renderBundle, renderIni } from "./sampleBundle.js";
import type { FleetLayout } from "./sampleBundle.js";

/** Ports of a fleet start at these distances from its base port. */
const offsets = { store: 0, list: 1, weights: 2, engines: 10, services: 40, daemons: 60 } as const;
const portsPerDaemon = 3;
const keyFileMode = 0o600;

export const sampleAdminKey = "sample-admin-key-change-me";
const samplePeerKey = "sample-peer-key-change-me";

type Sections = Record<string, Record<string, string | number | boolean>>;

/** One daemon of the fleet. */
export interface DaemonFile {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    readonly http: number;
    readonly admin: number;
    readonly peer: number;
    readonly file: string;
}

/** Variations of the files. */
export interface FleetFileOptions {
    readonly timing?: Record<string, number>;
    readonly engine?: Record<string, string | number | boolean>;
    readonly logLevel?: string;
    /** Folder that file names in commands are relative to. */
    readonly operators?: Readonly<Record<"amira" | "basil", KeyPair>>;
}

/** Files of one fleet in one folder. */
export class FleetFiles {
    readonly daemons: readonly DaemonFile[];
    readonly operators: Readonly<Record<"amira" | "basil", KeyPair>>;

    constructor(
        readonly layout: FleetLayout,
        readonly folder: string,
        readonly basePort: number,
        private readonly options: FleetFileOptions = {},
    ) {
        this.operators = options.operators ?? { amira: createKeyPair(), basil: createKeyPair() };
        this.daemons = this.planDaemons();
    }

    get store(): string {
        return `127.0.0.1:${this.basePort + offsets.store}`;
    }

    get list(): string {
        return `127.0.0.1:${this.basePort + offsets.list}`;
    }

    get standinsFile(): string {
        return join(this.folder, "standins.ini");
    }

    get bundleFile(): string {
        return join(this.folder, "bundle.ini");
    }

    keyFile(operator: "amira" | "basil"): string {
        return join(this.folder, `${operator}.key`);
    }

    /** Addresses of the engines' stand-ins. */
    engines(): { readonly address: string; readonly zone: string; readonly region: string; }[] {
        return this.addresses("engines");
    }

    services(): { readonly address: string; readonly zone: string; readonly region: string; }[] {
        return this.addresses("services");
    }

    write(): void {
        mkdirSync(this.folder, { recursive: true });
        writeFileSync(this.standinsFile, this.renderStandins());
        writeFileSync(this.bundleFile, this.renderBundle());
        for (const operator of ["amira", "basil"] as const) {
            writeFileSync(this.keyFile(operator), `${this.operators[operator].privateKey}\n`, { mode: keyFileMode });
        }
        this.daemons.forEach((daemon, index) => writeFileSync(daemon.file, this.renderSettings(daemon, index)));
    }

    private planDaemons(): DaemonFile[] {
        let next = this.basePort + offsets.daemons;
        return this.layout.zones.flatMap(({ daemons, region, zone }) =>
            Array.from({ length: daemons }, (_, index) => {
                const id = `${zone}-${index + 1}`;
                const port = next;
                next += portsPerDaemon;
                return {
                    id,
                    zone,
                    region,
                    http: port,
                    admin: port + 1,
                    peer: port + 2,
                    file: join(this.folder, `${id}.ini`),
                };
            })
        );
    }

    private addresses(kind: "engines" | "services") {
        let next = this.basePort + offsets[kind];
        return this.layout.zones.flatMap(zone =>
            Array.from(
                { length: zone[kind] },
                () => ({ address: `127.0.0.1:${next++}`, zone: zone.zone, region: zone.region }),
            )
        );
    }

    private renderBundle(): string {
        const keys = Object.fromEntries(Object.entries(this.operators).map(([name, pair]) => [name, pair.publicKey]));
        const name = ({ address, zone }: { address: string; zone: string; }): string => `${zone}=${address}`;
        return renderBundle(
            this.layout,
            { engines: this.engines().map(name), services: this.services().map(name) },
            keys,
        );
    }

    private renderStandins(): string {
        const { layout, basePort, options } = this;
        const sections: Sections = {
            store: { port: basePort + offsets.store },
            list: { port: basePort + offsets.list },
            weights: { port: basePort + offsets.weights },
        };
        this.engines().forEach(({ address, zone, region }, index) => {
            const port = Number(address.split(":")[1]);
            sections[`engine.${layout.pool}-${index + 1}`] = {
                port,
                zone,
                region,
                models: layout.model,
                ...options.engine,
            };
        });
        this.services().forEach(({ address, zone, region }, index) => {
            const port = Number(address.split(":")[1]);
            sections[`service.${layout.service}-${index + 1}`] = { port, zone, region, name: layout.service };
        });
        for (const { id, peer, zone, region } of this.daemons) {
            sections[`instance.${id}`] = { peer: `127.0.0.1:${peer}`, zone, region };
        }
        return renderIni(sections);
    }

    private renderSettings(daemon: DaemonFile, index: number): string {
        const { id, zone, region, http, admin, peer } = daemon;
        const operators = Object.fromEntries(
            Object.entries(this.operators).map(([name, pair]) => [name, `"${pair.publicKey}"`]),
        );
        const hasDisk = index === 0;
        return renderIni({
            instance: { id, zone, region },
            http: { port: http },
            admin: { port: admin, key: sampleAdminKey },
            peer: { port: peer, key: samplePeerKey },
            platform: { store: this.store, list: this.list },
            operators,
            ...(hasDisk ? { data: { folder: join(this.folder, "data", id) } } : {}),
            log: { format: "json", level: this.options.logLevel ?? "info" },
            ...(this.options.timing ? { timing: this.options.timing } : {}),
        });
    }
}
