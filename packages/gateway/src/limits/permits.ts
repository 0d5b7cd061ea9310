/** Takes permits for calls to limited upstreams from the instance that grants them for all. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { takePermits, unreachableRate } from "@marigolddrift/policy";
import type { PermitBucket } from "@marigolddrift/policy";

import type { Duties } from "../fleet/duties.js";
import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance, PeerRequest, PermitResponse } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { PermitGranter } from "./permitGranter.js";

/** Timeout of a request for permits within the region. */
const askTimeoutMs = 400;

/** Timeout of a request for permits that is passed on, shorter than that of the one that caused it. */
const relayTimeoutMs = 300;

/** Longest time until an instance that reaches no granting instance tries again. */
const unreachableRetryMs = 250;

/** Most permits in one request: permits are used at once, so there is no use for more than wait at an instance. */
const maxPermits = 16;

/** A limited upstream. */
export interface LimitedUpstream {
    /** Identifies the process. */
    readonly key: string;
    readonly region: string;
    /** Requests a second that all instances together may send. */
    readonly perSecond: number;
}

type PermitRequest = Extract<PeerRequest, { kind: "takePermits"; }>;

/** Tells a waiting call whether it may be sent. */
type Waiter = (granted: boolean) => void;

interface UpstreamPermits {
    waiters: Waiter[];
    isAsking: boolean;
    /** Monotonic time until which no permit is expected. */
    closedUntil: number;
    /** Number of instances that share the limit, as of the last response. */
    sharers: number;
    /** Used while no granting instance responds. */
    unreachableBucket: PermitBucket | undefined;
}

/**
 * The permits of one instance. An upstream's permits are granted by one instance of its region, by rendezvous hash; if it
 * does not respond, by the next one at a lower rate.
 */
export class Permits {
    private readonly upstreams = new Map<string, UpstreamPermits>();

    constructor(
        private readonly localInstance: LocalInstance,
        private readonly duties: Pick<Duties, "firstCoordinator">,
        private readonly peers: Pick<Peers, "getByName" | "namesInRegion" | "regions">,
        private readonly granter: PermitGranter,
        private readonly metrics: Metrics,
        private readonly log: Logger,
    ) {}

    /** Whether the upstream has refused a permit so recently that asking again is of no use. */
    isClosed(key: string, now: number): boolean {
        return now < (this.upstreams.get(key)?.closedUntil ?? -Infinity);
    }

    /** Number of instances that share the upstream's limit. */
    sharers(key: string): number {
        return this.upstreams.get(key)?.sharers ?? 1;
    }

    /** Takes a permit for one call that is sent at once; resolves to false if there is none now. */
    async take(upstream: LimitedUpstream, progress: Progress): Promise<boolean> {
        const state = this.stateOf(upstream.key);
        if (this.isClosed(upstream.key, performance.now())) {
            return false;
        }
        const granted = new Promise<boolean>(resolve => state.waiters.push(resolve));
        void this.askForWaiters(upstream, state);
        return await progress.race(granted);
    }

    /** Drops the state of an upstream that has left. */
    forget(key: string): void {
        this.upstreams.delete(key);
    }

    /** Handles the request of a peer: grants permits, or passes the request on to the instance that does. */
    async onRequest(request: PermitRequest, progress: Progress): Promise<PermitResponse> {
        const granter = this.findGranter(request.upstream, request.region);
        if (typeof granter === "object" && !request.relayed) {
            const relayProgress = progress.child(relayTimeoutMs);
            try {
                const response = await granter.ask({ ...request, relayed: true }, relayProgress);
                if (response !== undefined) {
                    return response;
                }
            }
            catch (err) {
                this.logFailure(request.upstream, granter, err);
            }
            finally {
                relayProgress.dispose();
            }
        }
        return this.grant(request);
    }

    private async askForWaiters(upstream: LimitedUpstream, state: UpstreamPermits): Promise<void> {
        if (state.isAsking) {
            return;
        }
        state.isAsking = true;
        while (state.waiters.length > 0) {
            const waiters = state.waiters.splice(0, maxPermits);
            const { granted, retryInMs, sharers } = await this.ask(upstream, waiters.length, state);
            state.sharers = sharers;
            this.metrics.count("permits.granted", granted);
            if (granted < waiters.length) {
                state.closedUntil = performance.now() + retryInMs;
                this.metrics.count("permits.refused", waiters.length - granted);
            }
            waiters.forEach((resolve, index) => resolve(index < granted));
        }
        state.isAsking = false;
    }

    private async ask(upstream: LimitedUpstream, count: number, state: UpstreamPermits): Promise<PermitResponse> {
        const request: PermitRequest = {
            kind: "takePermits",
            upstream: upstream.key,
            region: upstream.region,
            perSecond: upstream.perSecond,
            count,
            instance: this.localInstance.instance,
            relayed: false,
        };
        const granter = this.findGranter(upstream.key, upstream.region);
        if (granter === "none") {
            return this.takeUnreachableShare(upstream, count, state);
        }
        if (granter === "self") {
            return this.grant(request);
        }
        const progress = new Progress(askTimeoutMs);
        try {
            const response = await granter.ask(request, progress);
            return response ?? this.takeUnreachableShare(upstream, count, state);
        }
        catch (err) {
            this.logFailure(upstream.key, granter, err);
            return this.takeUnreachableShare(upstream, count, state);
        }
        finally {
            progress.dispose();
        }
    }

    private grant({ upstream, region, perSecond, count, instance }: PermitRequest): PermitResponse {
        return this.granter.grant(upstream, perSecond, count, instance, this.isFirstChoice(upstream, region));
    }

    /** Whether no known instance, also if it does not respond now, precedes this one. */
    private isFirstChoice(key: string, region: string): boolean {
        return this.duties.firstCoordinator(key, region) === this.localInstance.address();
    }

    private findGranter(key: string, region: string): PeerClient | "self" | "none" {
        const localName = this.localInstance.address();
        const isUsable = (name: string): boolean => name === localName || this.peers.getByName(name)?.isUsable === true;
        const first = this.duties.firstCoordinator(key, region, isUsable);
        return first === undefined ? "none" : this.peers.getByName(first) ?? "self";
    }

    private takeUnreachableShare(
        { perSecond }: LimitedUpstream,
        count: number,
        state: UpstreamPermits,
    ): PermitResponse {
        const instances = 1 + this.peers.regions().flatMap(region => this.peers.namesInRegion(region)).length;
        const rate = unreachableRate(perSecond, instances);
        const { bucket, granted, retryInMs } = takePermits(state.unreachableBucket, rate, count, performance.now());
        state.unreachableBucket = bucket;
        this.metrics.count("permits.unreachable");
        return { granted, retryInMs: Math.min(retryInMs, unreachableRetryMs), sharers: instances };
    }

    private stateOf(key: string): UpstreamPermits {
        let state = this.upstreams.get(key);
        if (state === undefined) {
            state = { waiters: [], isAsking: false, closedUntil: -Infinity, sharers: 1, unreachableBucket: undefined };
            this.upstreams.set(key, state);
        }
        return state;
    }

    private logFailure(upstream: string, granter: PeerClient, err: unknown): void {
        const peer = granter.address.instance;
        this.log.info("permit request failed", { upstream, peer, error: asError(err).message });
    }
}
