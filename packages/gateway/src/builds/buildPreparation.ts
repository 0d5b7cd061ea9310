/**
 * Decides when a further build may be declared. While a single build is declared its streams have no records, so all instances record
 * theirs before another build may begin streams. An instance that does not respond (ended, frozen or cut off) is waited for until its
 * callers have taken their streams up elsewhere.
 */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { BuildReadiness } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import type { BuildView } from "./buildView.js";
import type { StreamBuilds } from "./streamBuilds.js";

/** Timeout of a question to one instance. */
const askTimeoutMs = 1_000;

/** Number of instances that are asked at once: connections to most of a large fleet must be opened first. */
const maxAskedAtOnce = 16;

/** Pause before the instances that are not ready are asked again. */
const retryDelayMs = 250;

/**
 * Longest wait for instances that do not respond, as a multiple of the longest time limit of a stream: its caller leaves a silent stream
 * earlier and takes it up at once. At most some seconds, for upstreams of the further build begin no streams meanwhile.
 */
const maxWaitFactor = 1.5;
const maxWaitLimitMs = 10_000;

/** Dependencies of {@link BuildPreparation}. */
export interface BuildPreparationOptions {
    readonly view: Pick<BuildView, "maxTimeoutMs" | "onAnnounced">;
    readonly streams: Pick<StreamBuilds, "recordNow">;
    readonly peers: Pick<Peers, "fronts">;
    readonly log: Logger;
}

/** What is known since a build has come that is not declared. */
interface Round {
    /** Monotonic time at which the build was first seen here. */
    readonly since: number;
    /** Ids of the instances that have recorded their streams. */
    readonly ready: Set<string>;
    /** Monotonic time until which streams may be taken up that began before one of the instances started. */
    startsSettledAt: number;
}

/** The further builds of all services. */
export class BuildPreparation {
    private readonly startedAt = performance.now();
    private readonly rounds = new Map<string, Round>();

    constructor(private readonly options: BuildPreparationOptions) {}

    /** Time for which a service has had a build that is not declared, as seen here. */
    pendingMs(service: string): number {
        return performance.now() - this.roundOf(service).since;
    }

    /** Called when all builds of a service are declared. */
    onDeclared(service: string): void {
        this.rounds.delete(service);
    }

    /**
     * Asks the instances that have not recorded their streams to do so.
     *
     * @returns Time after which to ask again; 0 if the builds may be declared now.
     */
    async delayMs(service: string, builds: readonly string[]): Promise<number> {
        const round = this.roundOf(service);
        const endsAt = round.since + this.maxWaitMs;
        const [isRecorded] = await Promise.all([
            this.options.streams.recordNow(service),
            this.askAll(round, service, builds),
        ]);
        const missing = this.missing(round);
        const leftMs = endsAt - performance.now();
        if (leftMs <= 0) {
            const instances = missing.map(({ address }) => address.instance);
            this.options.log.warn("builds declared without all instances", { service, builds, isRecorded, instances });
            return 0;
        }
        if (missing.length > 0 || !isRecorded) {
            return Math.min(retryDelayMs, leftMs);
        }
        return Math.min(Math.max(0, round.startsSettledAt - performance.now()), leftMs);
    }

    /** Records the streams of this instance for one that is about to declare builds, and those that begin later, too. */
    async prepareForPeer(service: string, builds: readonly string[]): Promise<BuildReadiness> {
        this.options.view.onAnnounced(service, builds);
        const isRecorded = await this.options.streams.recordNow(service);
        return { isRecorded, upMs: performance.now() - this.startedAt };
    }

    private get maxWaitMs(): number {
        return Math.min(maxWaitLimitMs, maxWaitFactor * this.options.view.maxTimeoutMs);
    }

    private roundOf(service: string): Round {
        const round = this.rounds.get(service) ??
            { since: performance.now(), ready: new Set<string>(), startsSettledAt: this.settledAt(this.startedAt) };
        this.rounds.set(service, round);
        return round;
    }

    private missing({ ready }: Round): PeerClient[] {
        return this.options.peers.fronts.filter(({ address }) => !ready.has(address.instance));
    }

    private async askAll(round: Round, service: string, builds: readonly string[]): Promise<void> {
        const remaining = this.missing(round).filter(({ isUsable }) => isUsable);
        const askNext = async (): Promise<void> => {
            for (let peer = remaining.pop(); peer !== undefined; peer = remaining.pop()) {
                await this.ask(round, peer, service, builds);
            }
        };
        await Promise.all(Array.from({ length: maxAskedAtOnce }, askNext));
    }

    private async ask(round: Round, peer: PeerClient, service: string, builds: readonly string[]): Promise<void> {
        const progress = new Progress(askTimeoutMs);
        try {
            const readiness = await peer.ask({ kind: "prepareBuilds", service, builds }, progress);
            // Earlier versions don't know the request. They record their streams once they have seen the build.
            if (readiness?.isRecorded ?? true) {
                round.ready.add(peer.address.instance);
                const startedAt = performance.now() - (readiness?.upMs ?? Infinity);
                round.startsSettledAt = Math.max(round.startsSettledAt, this.settledAt(startedAt));
            }
        }
        catch (err) {
            const error = asError(err).message;
            this.options.log.info("builds not prepared", { service, peer: peer.address.instance, error });
        }
        finally {
            progress.dispose();
        }
    }

    /** Time from which streams that began before a start have ended, which may have no records. */
    private settledAt(startedAt: number): number {
        return startedAt + Math.min(this.options.view.maxTimeoutMs, maxWaitLimitMs);
    }
}
