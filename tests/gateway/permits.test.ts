import { Progress, silentLogger } from "@marigolddrift/common";
import { Duties, GatewayMetrics, PermitGranter, Permits } from "@marigolddrift/gateway";
import type { PeerRequest } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

/** Arrivals that an upstream bears in 4 s: one and a half times what its limit allows, and 5 more. */
const windowMs = 4_000;
const allowedInWindow = (perSecond: number): number => 1.5 * perSecond * (windowMs / 1_000) + 5;

/** Time after which all instances know each other. */
const settledMs = 10_500;

/** Interval at which each instance has another call to send. */
const callIntervalMs = 100;

/** Time that a request takes to a peer and back. */
const roundTripMs = 4;

/** Time after which the instances of a fake fleet are known to each other. */
const settlingMs = 10_000;

interface Member {
    readonly region: string;
    readonly permits: Permits;
    readonly granter: PermitGranter;
    /** Whether it neither answers nor sends. */
    isFrozen: boolean;
    /** Whether no peer reaches it and it reaches none, while it still sends calls. */
    isCutOff: boolean;
}

type PermitRequest = Extract<PeerRequest, { kind: "takePermits"; }>;

/** Instances in two regions that share the limit of one upstream in region "north". */
class Fleet {
    readonly members = new Map<string, Member>();
    /** Monotonic times of the calls that reached the upstream. */
    readonly arrivals: number[] = [];
    perSecond: number;
    /** Peers that did not respond, by the instance that asked, with the time until which it does not ask them again. */
    private readonly backoffs = new Map<string, number>();

    constructor(instances: number, perSecond: number) {
        this.perSecond = perSecond;
        Array.from({ length: instances }, (_, index) => this.add(`f${index}`, index % 2 === 0 ? "north" : "south"));
    }

    /** The instance that grants the upstream's permits while all respond. */
    async firstChoice(): Promise<string> {
        const [name] = [...this.members].find(([, { permits, region }]) =>
            region === "north" &&
            (permits as unknown as { isFirstChoice(key: string, region: string): boolean; }).isFirstChoice("u", "north")
        )!;
        return name;
    }

    async run(clock: { tickAsync(ms: number): Promise<unknown>; }, durationMs: number): Promise<void> {
        for (let elapsed = 0; elapsed < durationMs; elapsed += callIntervalMs) {
            this.members.forEach(member => void this.sendCall(member));
            await clock.tickAsync(callIntervalMs);
        }
    }

    mostInWindow(from: number): number {
        const late = this.arrivals.filter(at => at >= from);
        return Math.max(0, ...late.map(start => late.filter(at => at >= start && at < start + windowMs).length));
    }

    close(): void {
        this.members.forEach(({ granter }) => granter.close());
    }

    private async sendCall(member: Member): Promise<void> {
        if (member.isFrozen) {
            return;
        }
        const progress = new Progress(1_000);
        const upstream = { key: "u", region: "north", perSecond: this.perSecond };
        if (await member.permits.take(upstream, progress).catch(() => false)) {
            this.arrivals.push(performance.now());
        }
        progress.dispose();
    }

    private add(name: string, region: string): void {
        let granted = 0.5;
        const random = (): number => granted = (granted * 16_807 + 0.123) % 1;
        const startedAt = performance.now();
        const granter = new PermitGranter(random, () => performance.now() - startedAt >= settlingMs);
        const localInstance = { instance: name, region, address: () => name };
        const inRegion = (of: string): [string, Member][] =>
            [...this.members].filter(([other, member]) => other !== name && member.region === of);
        const peers = {
            version: 0,
            namesInRegion: (of: string) => inRegion(of).map(([other]) => other),
            getByName: (other: string) =>
                this.members.has(other) && other !== name ?
                    Object.assign(this.peer(name, other) as object, {
                        isUsable: performance.now() >= (this.backoffs.get(`${name}>${other}`) ?? 0),
                    }) :
                    undefined,
            regions: () => ["north", "south"],
        } as never;
        // The members of a fake fleet change without a version.
        const duties = {
            firstCoordinator: (...args: Parameters<Duties["firstCoordinator"]>) =>
                new Duties(localInstance, peers).firstCoordinator(...args),
        };
        const permits = new Permits(localInstance, duties, peers, granter, new GatewayMetrics(), silentLogger);
        this.members.set(name, { region, permits, granter, isFrozen: false, isCutOff: false });
    }

    private peer(from: string, to: string): unknown {
        const ask = async (request: PermitRequest, progress: Progress): Promise<unknown> => {
            try {
                await progress.sleep(roundTripMs / 2);
                const target = this.members.get(to)!;
                if (target.isFrozen || target.isCutOff || this.members.get(from)!.isCutOff) {
                    await progress.sleep(60_000);
                }
                const response = await target.permits.onRequest(request, progress);
                await progress.sleep(roundTripMs / 2);
                return response;
            }
            catch (err) {
                this.backoffs.set(`${from}>${to}`, performance.now() + 1_000);
                throw err;
            }
        };
        return { name: to, address: { instance: to }, ask };
    }
}

describe("permits", () => {
    for (
        const { instances, perSecond } of [
            { instances: 7, perSecond: 1 },
            { instances: 7, perSecond: 40 },
            { instances: 67, perSecond: 1 },
            { instances: 67, perSecond: 8 },
            { instances: 67, perSecond: 300 },
        ]
    ) {
        it(`should share ${perSecond} requests a second between ${instances} instances, and use most of them`, async () => {
            await withClock(async clock => {
                const fleet = new Fleet(instances, perSecond);
                const startedAt = performance.now();
                await fleet.run(clock, settledMs + 2 * windowMs);
                expect(fleet.mostInWindow(startedAt)).toSatisfy(count => count <= allowedInWindow(perSecond));
                const settled = fleet.arrivals.filter(at => at >= startedAt + settledMs);
                expect(settled.length).toSatisfy(count => count >= 0.6 * perSecond * (2 * windowMs / 1_000));
                fleet.close();
            });
        });
    }

    for (const fault of ["isFrozen", "isCutOff"] as const) {
        it(`should keep to the limit while the granting instance ${fault === "isFrozen" ? "is frozen" : "is cut off"}`, async () => {
            await withClock(async clock => {
                const perSecond = 12;
                const fleet = new Fleet(16, perSecond);
                const startedAt = performance.now();
                await fleet.run(clock, settledMs);
                const granter = fleet.members.get(await fleet.firstChoice())!;
                granter[fault] = true;
                await fleet.run(clock, 8_000);
                const duringFault = fleet.arrivals.filter(at => at >= startedAt + settledMs + windowMs).length;
                granter[fault] = false;
                await fleet.run(clock, 8_000);
                expect(fleet.mostInWindow(startedAt)).toSatisfy(count => count <= allowedInWindow(perSecond));
                // A stand-in grants permits meanwhile.
                expect(duringFault).toSatisfy(count => count >= 0.2 * perSecond * 4);
                fleet.close();
            });
        });
    }

    it("should keep to a limit that falls while it is in force", async () => {
        await withClock(async clock => {
            const fleet = new Fleet(7, 60);
            await fleet.run(clock, settledMs);
            fleet.perSecond = 4;
            await fleet.run(clock, 500);
            const changedAt = performance.now();
            await fleet.run(clock, 2 * windowMs);
            expect(fleet.mostInWindow(changedAt)).toSatisfy(count => count <= allowedInWindow(4));
            fleet.close();
        });
    });
});
