import { LineLogger } from "@marigolddrift/common";
import { callHeaders, storeLayout } from "@marigolddrift/platform";
import { expect } from "earl";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const tenants = [
    { name: "north", apiKeys: ["key-of-north", "second-key-of-north"], priority: 2, ratePerS: 0, burst: 0 },
    { name: "south", apiKeys: ["key-of-south"], ratePerS: 1_000, burst: 1_000 },
];

const withTenants = (version: number, list: readonly unknown[] = tenants) => {
    const { routes, ...rest } = config(version);
    const isPublic = (name: string): boolean => name === "look";
    return { ...rest, routes: routes.map(route => ({ ...route, public: isPublic(route.name) })), tenants: list };
};

const north = { "Api-Key": "key-of-north" };
const south = { "Api-Key": "key-of-south" };

/** Sends raw bytes on an open connection and returns the status of the response. */
const statusOn = (socket: Socket, request: string): Promise<number> =>
    new Promise((resolve, reject) => {
        socket.once("data", data => resolve(Number(data.toString().split(" ")[1])));
        socket.once("error", reject);
        socket.write(request);
    });

describe("workspaces", () => {
    let deployment: Deployment;
    let version = 10;
    const lines: string[] = [];
    const log = new LineLogger({}, (bytes, done) => {
        lines.push(bytes.toString());
        done(undefined, bytes.length);
    });

    const apply = async (list?: readonly unknown[]): Promise<void> => {
        version += 1;
        deployment.store.put("op/config", withTenants(version, list));
        await waitUntil(() => deployment.gateways.every(gateway => gateway.configVersion === version));
    };

    before(async () => {
        deployment = await Deployment.start(1);
        await deployment.addGateway({ log });
        await apply();
    });
    after(() => deployment.close());

    const ranWith = (id: string) => deployment.plainWorker.ran.find(request => request.id === id);

    it("should refuse a call with a missing or unknown key, and not pass it on", async () => {
        const refused: Record<string, string>[] = [{}, { "Api-Key": "unknown" }, {
            "Api-Key": "key-of-north, key-of-south",
        }];
        for (const headers of refused) {
            const id = deployment.newId();
            const response = await deployment.call("POST", "/order/1", { ...headers, "Request-Id": id }, "body");
            expect(response.status).toEqual(401);
            expect(ranWith(id)).toEqual(undefined);
        }
    });

    it("should refuse a call with an unknown key before its body has arrived", async () => {
        const socket = connect(deployment.gateways[0]!.port, "127.0.0.1");
        const head = "POST /order/1 HTTP/1.1\r\nHost: carts.example\r\nRequest-Id: r\r\nContent-Length: 500\r\n\r\n";
        expect(await statusOn(socket, head)).toEqual(401);
        socket.destroy();
    });

    it("should tell the upstream the workspace, whatever the caller says, and never the key", async () => {
        const id = deployment.newId();
        const forged = { "Tenant": "south", "TENANT": "south", "tEnAnT": "east" };
        await deployment.call("POST", "/order/1", { ...north, ...forged, "Request-Id": id }, "body");
        const { headers } = ranWith(id)!;
        expect(headers["tenant"]).toEqual("north");
        expect(headers["api-key"]).toEqual(undefined);
    });

    it("should remove every header of that name, also if there are several", () => {
        const raw = ["Tenant", "a", "TENANT", "b", "Api-Key", "k", "api-key", "l", "X-Other", "c"];
        const headers = callHeaders.buildUpstreamHeaders(raw, {
            upstream: "i-1",
            leftMs: 900,
            caller: { workspace: undefined },
            enginePriority: undefined,
        });
        expect(headers).toEqual(["X-Other", "c", "Deadline-Ms", "900", "Expect-Instance", "i-1"]);
    });

    it("should need no key on a public route, and still identify the workspace of a valid one", async () => {
        const tenantOf = async (headers: Record<string, string>) => {
            const id = deployment.newId();
            const { status } = await deployment.call("GET", "/look/1", { ...headers, "Request-Id": id });
            return [status, ranWith(id)?.headers["tenant"], ranWith(id)?.headers["api-key"]];
        };
        expect(await tenantOf({})).toEqual([200, undefined, undefined]);
        expect(await tenantOf({ "Api-Key": "unknown", "Tenant": "north" })).toEqual([200, undefined, undefined]);
        expect(await tenantOf(south)).toEqual([200, "south", undefined]);
    });

    it("should put the priority of a workspace before that of the route", async () => {
        const urgencyOf = async (headers: Record<string, string>) => {
            const id = deployment.newId();
            await deployment.call("POST", "/talk/1", { ...headers, "Token-Usage": "1,1", "Request-Id": id }, "hello");
            return deployment.streamingWorker.ran.find(request => request.id === id)!.headers["request-urgency"];
        };
        expect(await urgencyOf(north)).toEqual("7");
        expect(await urgencyOf(south)).toEqual("3");
    });

    it("should not let a workspace continue or detect the turn of another one", async () => {
        const turn = (id: string, headers: Record<string, string>, previous?: string) =>
            deployment.call(
                "POST",
                "/chat/turn",
                {
                    ...headers,
                    "Request-Id": id,
                    "Program-Id": "shared",
                    "Session-Id": "shared",
                    "Token-Usage": "40,50",
                    ...(previous === undefined ? {} : { "Previous-Turn": previous }),
                },
                "hello",
            );
        expect((await turn("turn-of-north", north)).status).toEqual(200);
        expect((await turn("next-of-north", { "Api-Key": "second-key-of-north" }, "turn-of-north")).status).toEqual(
            200,
        );
        const [other, unknown] = [await turn("x1", south, "turn-of-north"), await turn("x2", south, "never-made")];
        expect(other.status).toEqual(unknown.status);
        expect(other.body).toEqual(unknown.body);
        // Turns are named within their workspace, so that another one may use the same id.
        expect((await turn("turn-of-north", south)).status).toEqual(200);
        expect((await turn("next-of-south", south, "turn-of-north")).status).toEqual(200);
    });

    it("should keep the token budgets of two workspaces apart that name their programs alike", async () => {
        const spend = (headers: Record<string, string>) =>
            deployment.call(
                "POST",
                "/talk/1",
                { ...headers, "Program-Id": "p-same", "Session-Id": "s", "Token-Budget": "50", "Token-Usage": "1,40" },
                "hello",
            );
        expect((await spend(north)).status).toEqual(200);
        expect((await spend(north)).status).toEqual(402);
        expect((await spend(south)).status).toEqual(200);
    });

    it("should apply removed and added keys on open connections, and on instances that the store turns away", async () => {
        const head = (key: string, id: string): string =>
            `GET /short/1 HTTP/1.1\r\nHost: carts.example\r\nRequest-Id: ${id}\r\nApi-Key: ${key}\r\n\r\n`;
        const sockets = deployment.gateways.map(({ port }) => connect(port, "127.0.0.1"));
        for (const [index, socket] of sockets.entries()) {
            expect(await statusOn(socket, head("key-of-south", `before-${index}`))).toEqual(200);
        }
        await deployment.gateways[1]!.refreshPeers();
        deployment.disconnectFromStore(1);
        await apply([{ ...tenants[1]!, apiKeys: ["new-key-of-south"] }]);
        for (const [index, socket] of sockets.entries()) {
            expect(await statusOn(socket, head("key-of-south", `after-${index}`))).toEqual(401);
            expect(await statusOn(socket, head("new-key-of-south", `new-${index}`))).toEqual(200);
            socket.destroy();
        }
    });

    it("should not write keys to the log", () => {
        expect(lines.length > 0).toEqual(true);
        expect(lines.filter(line => /key-of-(north|south)/.test(line))).toEqual([]);
    });

    it("should keep only digests of the keys", () => {
        const decoded = storeLayout.decodeConfig(Buffer.from(JSON.stringify(withTenants(1))));
        expect(JSON.stringify(decoded).includes("key-of-north")).toEqual(false);
        expect(decoded!.workspaces!.map(({ name }) => name)).toEqual(["north", "south"]);
    });
});
