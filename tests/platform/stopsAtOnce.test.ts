import type { Gateway } from "@marigolddrift/gateway";
import { expect } from "earl";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";

import { Deployment, waitUntil } from "./deployment.js";

const graceMs = 8_000;

/** Instances that a test starts at most; a process id has 22 bits, and a loopback address 24 that are free. */
const maxInstances = 4;

/** Time between two checks whether callers are served. */
const checkIntervalMs = 50;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const accepts = (host: string, port: number): Promise<boolean> =>
    new Promise(resolve => {
        const socket = connect(port, host);
        const end = (isOpen: boolean): void => {
            socket.destroy();
            resolve(isOpen);
        };
        socket.on("connect", () => end(true));
        socket.on("error", () => end(false));
    });

/**
 * A loopback address that no other process binds to, nor another instance of this one. The system gives the port of an instance
 * that has ended to any other listener on its address, so that it would still seem to accept connections.
 */
const ownAddress = (index: number): string => {
    const number = process.pid * maxInstances + index;
    return `127.${(number >> 16) & 0xff}.${(number >> 8) & 0xff}.${number & 0xff}`;
};

describe("instances of an availability zone that are stopped at once", () => {
    let deployment: Deployment;
    let stopped: Promise<void>[];
    beforeEach(async () => {
        deployment = await Deployment.start(0);
        await addGateway();
        await addGateway();
        await Promise.all(deployment.gateways.map(gateway => gateway.refreshPeers()));
        stopped = [];
    });
    afterEach(async () => {
        await Promise.all(stopped);
        deployment.close();
    });

    const addGateway = (): Promise<Gateway> =>
        deployment.addGateway({ graceMs, host: ownAddress(deployment.gateways.length + 1) });

    const takesConnections = (gateway: Gateway): Promise<boolean> => accepts(deployment.hostOf(gateway), gateway.port);

    /** Stops an instance as the program does at SIGTERM. */
    const stop = async (gateway: Gateway): Promise<void> => {
        await gateway.drain();
        gateway.close();
    };

    // Guards against callers that reach no instance because all of their zone end at about the same time.
    for (const apartMs of [0, 400]) {
        it(`should not leave before one of them is back, with stop signals ${apartMs} ms apart`, async () => {
            const [first, second] = deployment.gateways as [Gateway, Gateway];
            stopped.push(stop(first));
            await sleep(apartMs);
            stopped.push(stop(second));
            await Promise.race(stopped);
            // The first one that ends is replaced after a second, as a start takes some time.
            const replacedAt = performance.now() + 1_000;
            while (performance.now() < replacedAt) {
                const served = await Promise.all([takesConnections(first), takesConnections(second)]);
                expect(served.some(Boolean)).toEqual(true);
                await sleep(checkIntervalMs);
            }
            const call = await deployment.call(
                "GET",
                "/look/1",
                {},
                undefined,
                await takesConnections(first) ? first : second,
            );
            expect(call.status).toEqual(200);
            const replacement = await addGateway();
            await Promise.all([first.refreshPeers(), second.refreshPeers()]);
            await waitUntil(() => first.entry.connections + second.entry.connections === 0);
            await Promise.all(stopped);
            expect(
                await Promise.all([takesConnections(first), takesConnections(second), takesConnections(replacement)]),
            ).toEqual([
                false,
                false,
                true,
            ]);
        });
    }

    it("should end within the grace period although no other one is there", async () => {
        const [first, second] = deployment.gateways as [Gateway, Gateway];
        second.close();
        const startedAt = performance.now();
        await stop(first);
        expect(performance.now() - startedAt).toSatisfy(ms => ms < graceMs);
    });

    it("should leave as soon as callers may be sent elsewhere if another one takes calls", async () => {
        const startedAt = performance.now();
        await stop(deployment.gateways[0]!);
        expect(performance.now() - startedAt).toSatisfy(ms => ms < graceMs / 2);
    });
});
