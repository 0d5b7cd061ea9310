/** A small deployment on loopback: a fake platform store, fake workers and real gateways. */
import { silentLogger } from "@marigolddrift/common";
import { Gateway } from "@marigolddrift/gateway";
import type { GatewayOptions } from "@marigolddrift/gateway";
import { callHeaders, PlatformStandin, PlatformStore, storeLayout, WorkerStandin } from "@marigolddrift/platform";
import { request } from "node:http";
import type { RequestOptions } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

const loopback = "127.0.0.1";
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

/** Returns the deployment's configuration with the given version. */
export const config = (version: number) => ({
    version,
    routes: [
        route("chat", "/chat/", { kind: "stream", service: "brain", retain: true, keepS: 60 }),
        route("look", "/look/", { kind: "safe", service: "ops", maxAttempts: 2 }),
        route("order", "/order/", { kind: "unsafe", service: "ops" }),
        route("short", "/short/", { kind: "safe", service: "ops", timeoutMs: 200 }),
        route("story", "/story/", {
            kind: "stream",
            service: "brain",
            retain: true,
            keepS: 60,
            resumable: true,
            maxAttempts: 2,
        }),
        route("talk", "/talk/", { kind: "stream", service: "brain", resumable: true, maxAttempts: 3 }),
    ],
    services: [{ name: "brain", maxConns: 150, engine }, { name: "ops", maxConns: 96 }],
    limits,
});

/** A response as received by a caller. */
export interface ReceivedResponse {
    readonly status: number;
    readonly body: string;
    readonly headers: NodeJS.Dict<string | string[]>;
}

/**
 * Sends a request on a connection of its own. Rejects if the response is broken off, also by a reset where the end of the
 * connection ends the response; undici takes that for whole.
 */
const sendRequest = (options: RequestOptions, body: string | undefined): Promise<ReceivedResponse> =>
    new Promise((resolve, reject) => {
        const req = request({ ...options, agent: false }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("error", reject);
            res.on("end", () =>
                resolve({
                    status: res.statusCode!,
                    body: Buffer.concat(chunks).toString(),
                    headers: res.headers,
                }));
        });
        req.on("error", reject);
        req.end(body);
    });

/** Runs the store, the workers and the gateways in one process, each on a free port. */
export class Deployment {
    readonly store = new PlatformStandin();
    readonly streamingWorker = new WorkerStandin("i-brain", "brain", true);
    readonly plainWorker = new WorkerStandin("i-ops", "ops", false);
    readonly gateways: Gateway[] = [];
    private readonly hosts = new Map<Gateway, string>();
    private readonly storeProxies: StoreProxy[] = [];
    private nextRequestId = 0;

    static async start(gateways: number): Promise<Deployment> {
        const deployment = new Deployment();
        await deployment.store.start();
        await deployment.streamingWorker.start();
        await deployment.plainWorker.start();
        deployment.store.put("op/config", config(3));
        deployment.store.put("servers/i-brain", deployment.streamingWorker.entry());
        deployment.store.put("servers/i-ops", deployment.plainWorker.entry());
        deployment.store.put("servers/i-odd", { service: 7, note: "another writer's" });
        for (let index = 0; index < gateways; index++) {
            await deployment.addGateway();
        }
        return deployment;
    }

    async addGateway(options: Partial<GatewayOptions> = {}): Promise<Gateway> {
        const machine = `front-${this.gateways.length}`;
        const proxy = await StoreProxy.open(this.store.address);
        this.storeProxies.push(proxy);
        const gateway = new Gateway({
            instance: `${machine}-1`,
            machine,
            zone: "north-a",
            regionOf: () => "north",
            host: loopback,
            port: 0,
            peerPorts: [0],
            store: new PlatformStore(proxy.address),
            layout: storeLayout,
            protocol: callHeaders,
            toleratedLosses: 1,
            storeSilenceMs: 5_000,
            changeDelayLimitMs: 2_500,
            graceMs: 4_000,
            memory: { replyBytes: 24 * 1024 * 1024 },
            log: silentLogger,
            ...options,
        });
        await gateway.start();
        this.gateways.push(gateway);
        this.hosts.set(gateway, options.host ?? loopback);
        await waitUntil(() => gateway.isReady && gateway.upstreams.size >= 2);
        return gateway;
    }

    /** The address on which a gateway listens. */
    hostOf(gateway: Gateway): string {
        return this.hosts.get(gateway)!;
    }

    /** Sends a call; generates a `Request-Id` if the headers have none. */
    async call(
        method: "GET" | "POST",
        path: string,
        headers: Record<string, string> = {},
        body?: string,
        gateway = this.gateways[0]!,
    ): Promise<ReceivedResponse> {
        const id = headers["Request-Id"] ?? this.newId();
        const sent = { "Host": "carts.example", "Deadline-Ms": "2500", ...headers, "Request-Id": id };
        return await sendRequest({ host: this.hostOf(gateway), port: gateway.port, method, path, headers: sent }, body);
    }

    /** Sends a turn of a program. */
    turn(program: string, id: string, input: string, previous?: string, gateway?: Gateway): Promise<ReceivedResponse> {
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

    /** Removes the workers' faults and forgets the calls that they ran, so that tests can share a deployment. */
    resetWorkers(): void {
        for (const worker of [this.streamingWorker, this.plainWorker]) {
            worker.fault = "none";
            worker.ran.length = 0;
            worker.delayMs = 1;
            worker.delayOf = () => undefined;
            worker.endlessBytes = 0;
        }
    }

    /** Makes the upstreams with the given entries the only ones, and waits until the first gateway knows that. */
    async replaceUpstreams(entries: Readonly<Record<string, unknown>>): Promise<void> {
        const { upstreams } = this.gateways[0]!;
        const former = ["i-brain", "i-ops"].filter(id => !(id in entries));
        former.forEach(id => this.store.remove(`servers/${id}`));
        Object.entries(entries).forEach(([id, entry]) => this.store.put(`servers/${id}`, entry));
        await waitUntil(() => Object.keys(entries).every(id => upstreams.get(id) !== undefined));
        await waitUntil(() => former.every(id => upstreams.get(id)?.isAvailable(performance.now()) !== true));
    }

    /** Closes one gateway's connections to the store and refuses new ones. */
    disconnectFromStore(index: number): void {
        this.storeProxies[index]!.block();
    }

    newId(): string {
        this.nextRequestId += 1;
        return `id-${this.nextRequestId}`;
    }

    close(): void {
        this.gateways.forEach(gateway => gateway.close());
        this.storeProxies.forEach(proxy => proxy.close());
        this.streamingWorker.close();
        this.plainWorker.close();
        this.store.close();
    }
}

/** Loopback TCP proxy between one gateway and the store, which can be blocked. */
class StoreProxy {
    address = "";
    private isBlocked = false;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    private constructor(target: string) {
        const [host, port] = target.split(":");
        this.server = createServer(socket => {
            if (this.isBlocked) {
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

    static async open(target: string): Promise<StoreProxy> {
        const proxy = new StoreProxy(target);
        await new Promise<void>(resolve => proxy.server.listen(0, "127.0.0.1", () => resolve()));
        proxy.address = `127.0.0.1:${(proxy.server.address() as AddressInfo).port}`;
        return proxy;
    }

    block(): void {
        this.isBlocked = true;
        this.sockets.forEach(socket => socket.destroy());
    }

    close(): void {
        this.block();
        this.server.close();
    }
}

const conditionTimeoutMs = 5_000;

/** Polls until a condition holds. */
export const waitUntil = async (condition: () => boolean, timeoutMs = conditionTimeoutMs): Promise<void> => {
    const endsAt = performance.now() + timeoutMs;
    while (!condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`the condition did not hold within ${timeoutMs} ms: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};
