/** A small deployment on loopback: the platform's store, workers and gateways. */
import { silentLogger } from "@marigolddrift/common";
import { Gateway } from "@marigolddrift/gateway";
import { callHeaders, PlatformStandin, PlatformStore, storeLayout, WorkerStandin } from "@marigolddrift/platform";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { request } from "undici";

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
const engine = { slots: 4, kvCapacity: 90_000, tokensPerEvent: 10 };

const route = (name: string, prefix: string, changes: Record<string, unknown>) => ({
    name,
    host: "carts.example",
    prefix,
    timeoutMs: 3_000,
    latencyGoalMs: 300,
    priority: 0,
    maxAttempts: 1,
    ...changes,
});

/** Configuration of the deployment. */
export const config = (version: number) => ({
    version,
    routes: [
        route("chat", "/chat/", { kind: "stream", service: "brain", retain: true, keepS: 60 }),
        route("look", "/look/", { kind: "safe", service: "ops", maxAttempts: 2 }),
        route("order", "/order/", { kind: "unsafe", service: "ops" }),
        route("short", "/short/", { kind: "safe", service: "ops", timeoutMs: 200 }),
    ],
    services: [{ name: "brain", maxConns: 150, engine }, { name: "ops", maxConns: 96 }],
    limits,
});

/** An answer as a caller sees it. */
export interface SeenAnswer {
    readonly status: number;
    readonly body: string;
    readonly headers: NodeJS.Dict<string | string[]>;
}

/** Everything in one process, on ports of its own. */
export class Deployment {
    readonly store = new PlatformStandin();
    readonly brain = new WorkerStandin("i-brain", "brain", true);
    readonly ops = new WorkerStandin("i-ops", "ops", false);
    readonly gateways: Gateway[] = [];
    private readonly doors: StoreDoor[] = [];
    private nextRequest = 0;

    static async start(gateways: number): Promise<Deployment> {
        const deployment = new Deployment();
        await deployment.store.start();
        await deployment.brain.start();
        await deployment.ops.start();
        deployment.store.put("op/config", config(3));
        deployment.store.put("servers/i-brain", deployment.brain.entry());
        deployment.store.put("servers/i-ops", deployment.ops.entry());
        deployment.store.put("servers/i-odd", { service: 7, note: "another writer's" });
        for (let index = 0; index < gateways; index++) {
            await deployment.addGateway();
        }
        return deployment;
    }

    async addGateway(): Promise<Gateway> {
        const machine = `front-${this.gateways.length}`;
        const door = await StoreDoor.open(this.store.address);
        this.doors.push(door);
        const gateway = new Gateway({
            instance: `${machine}-1`,
            machine,
            zone: "north-a",
            regionOf: () => "north",
            host: "127.0.0.1",
            port: 0,
            peerPort: 0,
            store: new PlatformStore(door.address),
            layout: storeLayout,
            protocol: callHeaders,
            toleratedLosses: 1,
            storeSilenceMs: 5_000,
            graceMs: 4_000,
            log: silentLogger,
        });
        await gateway.start();
        this.gateways.push(gateway);
        await until(() => gateway.isReady && gateway.upstreams.size >= 2);
        return gateway;
    }

    /** Sends a call; `id` is made up if it is missing. */
    async call(
        method: "GET" | "POST",
        path: string,
        headers: Record<string, string> = {},
        body?: string,
        gateway = this.gateways[0]!,
    ): Promise<SeenAnswer> {
        const id = headers["Request-Id"] ?? this.newId();
        const res = await request(`http://127.0.0.1:${gateway.port}${path}`, {
            method,
            headers: { "Host": "carts.example", "Deadline-Ms": "2500", ...headers, "Request-Id": id },
            ...(body === undefined ? {} : { body }),
        });
        return { status: res.statusCode, body: await res.body.text(), headers: res.headers };
    }

    /** Sends a turn of a program. */
    turn(program: string, id: string, input: string, previous?: string, gateway?: Gateway): Promise<SeenAnswer> {
        const headers = {
            "Request-Id": id,
            "Program-Id": program,
            "Session-Id": program,
            "Finish-Ms": "5000",
            "Token-Budget": "200",
            "Token-Usage": "40,50",
            "Model": "m",
            ...(previous === undefined ? {} : { "Previous-Turn": previous }),
        };
        return this.call("POST", "/chat/turn", headers, input, gateway);
    }

    /** Cuts one gateway off from the store. */
    turnAway(index: number): void {
        this.doors[index]!.shut();
    }

    newId(): string {
        this.nextRequest += 1;
        return `id-${this.nextRequest}`;
    }

    close(): void {
        this.gateways.forEach(gateway => gateway.close());
        this.doors.forEach(door => door.close());
        this.brain.close();
        this.ops.close();
        this.store.close();
    }
}

/** Loopback proxy between one gateway and the store. */
class StoreDoor {
    address = "";
    private isShut = false;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    private constructor(target: string) {
        const [host, port] = target.split(":");
        this.server = createServer(socket => {
            if (this.isShut) {
                socket.destroy();
                return;
            }
            const upstream = connect(Number(port), host);
            for (const [from, to] of [[socket, upstream], [upstream, socket]] as const) {
                this.sockets.add(from);
                from.on("error", () => to.destroy());
                from.on("close", () => to.destroy());
                from.pipe(to);
            }
        });
    }

    static async open(target: string): Promise<StoreDoor> {
        const door = new StoreDoor(target);
        await new Promise<void>(resolve => door.server.listen(0, "127.0.0.1", () => resolve()));
        door.address = `127.0.0.1:${(door.server.address() as AddressInfo).port}`;
        return door;
    }

    shut(): void {
        this.isShut = true;
        this.sockets.forEach(socket => socket.destroy());
    }

    close(): void {
        this.shut();
        this.server.close();
    }
}

const untilMs = 5_000;

/** Waits until a condition holds. */
export const until = async (condition: () => boolean): Promise<void> => {
    const endsAt = performance.now() + untilMs;
    while (!condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`the condition did not hold within ${untilMs} ms: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};
