import { rendezvous } from "@marigolddrift/common";
import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";

import { config, Deployment, waitUntil } from "./deployment.js";

const quotas = { windowMs: 5_000, over: 0.1, slack: 20 };
const tenant = { name: "north", apiKeys: ["key-of-north"], ratePerS: 50, burst: 10 };

/** Requests that may run in a window. */
const allowed = (tenant.ratePerS * quotas.windowMs / 1_000 + tenant.burst) * (1 + quotas.over) + quotas.slack;

/** Time after which an instance once took itself as known to all others. */
const formerSettlingMs = 10_500;

/** Calls in each step at each instance: more than the quota allows all of them. */
const stepMs = 100;
const callsPerStep = 5;

const findFreePorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        return server;
    }));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    servers.forEach(server => server.close());
    return ports;
};

// Guards against an instance that joins while the others can't read the list of members, and after ten seconds grants its share of the
// quotas beside theirs: 4/3 of the quota ran for as long as the cut lasted (QUOTA).
describe("quotas while an instance joins that others can't find in the store", () => {
    let deployment: Deployment;
    before(async () => {
        deployment = await Deployment.start(0);
        deployment.store.put("op/config", { ...config(11), tenants: [tenant] });
    });
    after(() => deployment.close());

    const mostInWindow = (from: number): number => {
        const times = deployment.plainWorker.ran.map(({ at }) => at).filter(at => at >= from);
        return Math.max(
            0,
            ...times.map((start, index) => times.slice(index).filter(at => at - start <= quotas.windowMs).length),
        );
    };

    const load = async (durationMs: number): Promise<void> => {
        const calls: Promise<unknown>[] = [];
        const endsAt = performance.now() + durationMs;
        while (performance.now() < endsAt) {
            for (const gateway of deployment.gateways) {
                for (let call = 0; call < callsPerStep; call++) {
                    const headers = { "Api-Key": "key-of-north" };
                    calls.push(deployment.call("GET", "/look/1", headers, undefined, gateway));
                }
            }
            await new Promise(resolve => setTimeout(resolve, stepMs));
        }
        await Promise.all(calls);
    };

    it("should be kept, and used", async () => {
        const ports = await findFreePorts(3);
        // The one that joins is the first choice for the duty to grant permits, so that it would grant its share itself.
        const [first] = rendezvous("quota granter 0", ports.map(port => `127.0.0.1:${port}`));
        const isFirst = (port: number): boolean => first === `127.0.0.1:${port}`;
        for (const port of ports.filter(port => !isFirst(port))) {
            await deployment.addGateway({ quotas, peerPorts: [port] });
        }
        for (const gateway of deployment.gateways) {
            await gateway.refreshPeers();
        }
        await waitUntil(() => deployment.gateways.every(({ configVersion }) => configVersion === 11));
        [0, 1].forEach(index => deployment.disconnectFromStore(index));
        await deployment.addGateway({ quotas, peerPorts: ports.filter(isFirst) });
        await new Promise(resolve => setTimeout(resolve, formerSettlingMs));
        const startedAt = performance.now();
        await load(quotas.windowMs + 1_000);
        const most = mostInWindow(startedAt);
        expect(most).toSatisfy(count => count <= allowed && count >= 0.9 * tenant.ratePerS * quotas.windowMs / 1_000);
    });
});
