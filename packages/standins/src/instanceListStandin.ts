/** Stand-in for the platform's list of live and leaving instances, which lags behind their actual state. */
import { connect } from "node:net";
import { z } from "zod";

import { sendJson } from "./faults.js";
import { readJson, StandinServer } from "./standinServer.js";

/** An entry of the instance list. */
export interface ListedInstance {
    readonly id: string;
    readonly kind: "daemon" | "upstream";
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    readonly state: "live" | "leaving";
}

const stateOverrideSchema = z.object({ id: z.string(), state: z.enum(["live", "leaving"]) });
const probeMs = 500;
const probeTimeoutMs = 300;

/** Probes the configured instances and serves the list with a configurable lag. */
export class InstanceListStandin {
    readonly server: StandinServer;
    private readonly stateOverrides = new Map<string, "live" | "leaving">();
    private readonly snapshots: { readonly at: number; readonly instances: ListedInstance[]; }[] = [];
    private readonly timer: NodeJS.Timeout;
    private reads = 0;

    constructor(private readonly known: Omit<ListedInstance, "state">[], private readonly lagMs: number) {
        this.server = new StandinServer(() => ({ reads: this.reads }));
        this.server.route("GET", "/instances", async (req, res) => {
            this.reads += 1;
            this.server.faults.sendReply(req, res, 200, { instances: this.visibleInstances() });
        });
        this.server.routeWithoutFaults("POST", "/mark", async (req, res) => {
            const mark = stateOverrideSchema.parse(await readJson(req));
            this.stateOverrides.set(mark.id, mark.state);
            sendJson(res, 200, mark);
        });
        this.timer = setInterval(() => void this.probe(), probeMs);
        this.timer.unref();
        void this.probe();
    }

    /** Adds an instance to probe. */
    add(instance: Omit<ListedInstance, "state">): void {
        this.known.push(instance);
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        await this.server.close();
    }

    private visibleInstances(): ListedInstance[] {
        const newestVisibleAt = Date.now() - this.lagMs;
        const snapshot = this.snapshots.filter(candidate => candidate.at <= newestVisibleAt).at(-1);
        return (snapshot ?? this.snapshots[0])?.instances ?? [];
    }

    private async probe(): Promise<void> {
        const results = await Promise.all(
            this.known.map(async instance => ({ instance, up: await acceptsConnections(instance.address) })),
        );
        const instances = results
            .filter(result => result.up)
            .map(({ instance }) => ({ ...instance, state: this.stateOverrides.get(instance.id) ?? "live" as const }));
        this.snapshots.push({ at: Date.now(), instances });
        const oldest = Date.now() - this.lagMs;
        while (this.snapshots.length > 1 && this.snapshots[1]!.at <= oldest) {
            this.snapshots.shift();
        }
    }
}

const acceptsConnections = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const portSeparator = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, portSeparator),
            port: Number(address.slice(portSeparator + 1)),
            timeout: probeTimeoutMs,
        });
        const end = (accepted: boolean): void => {
            socket.destroy();
            resolve(accepted);
        };
        socket.once("connect", () => end(true));
        socket.once("error", () => end(false));
        socket.once("timeout", () => end(false));
    });
