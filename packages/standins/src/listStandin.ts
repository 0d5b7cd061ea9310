/** Stand-in for the platform's lagging list of live and leaving instances. */
import { connect } from "node:net";
import { z } from "zod";

import { sendJson } from "./faults.js";
import { readJson, StandinServer } from "./standinServer.js";

/** An entry of the list. */
export interface ListedInstance {
    readonly id: string;
    readonly kind: "daemon" | "upstream";
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    readonly state: "live" | "leaving";
}

const markSchema = z.object({ id: z.string(), state: z.enum(["live", "leaving"]) });
const probeMs = 500;
const probeTimeoutMs = 300;

/** Probes the known instances and shows them with a lag. */
export class ListStandin {
    readonly server: StandinServer;
    private readonly marks = new Map<string, "live" | "leaving">();
    private readonly versions: { readonly at: number; readonly instances: ListedInstance[]; }[] = [];
    private readonly timer: NodeJS.Timeout;
    private reads = 0;

    constructor(private readonly known: Omit<ListedInstance, "state">[], private readonly lagMs: number) {
        this.server = new StandinServer(() => ({ reads: this.reads }));
        this.server.route("GET", "/instances", async (req, res) => {
            this.reads += 1;
            this.server.faults.answer(req, res, 200, { instances: this.visible() });
        });
        this.server.observerRoute("POST", "/mark", async (req, res) => {
            const mark = markSchema.parse(await readJson(req));
            this.marks.set(mark.id, mark.state);
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

    private visible(): ListedInstance[] {
        const until = Date.now() - this.lagMs;
        const old = this.versions.filter(version => version.at <= until).at(-1);
        return (old ?? this.versions[0])?.instances ?? [];
    }

    private async probe(): Promise<void> {
        const results = await Promise.all(
            this.known.map(async instance => ({ instance, up: await isUp(instance.address) })),
        );
        const instances = results
            .filter(result => result.up)
            .map(({ instance }) => ({ ...instance, state: this.marks.get(instance.id) ?? "live" as const }));
        this.versions.push({ at: Date.now(), instances });
        const oldest = Date.now() - this.lagMs;
        while (this.versions.length > 1 && this.versions[1]!.at <= oldest) {
            this.versions.shift();
        }
    }
}

const isUp = (address: string): Promise<boolean> =>
    new Promise(resolve => {
        const cut = address.lastIndexOf(":");
        const socket = connect({
            host: address.slice(0, cut),
            port: Number(address.slice(cut + 1)),
            timeout: probeTimeoutMs,
        });
        const end = (up: boolean): void => {
            socket.destroy();
            resolve(up);
        };
        socket.once("connect", () => end(true));
        socket.once("error", () => end(false));
        socket.once("timeout", () => end(false));
    });
