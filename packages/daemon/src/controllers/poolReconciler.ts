/** Reconciles engines with the models, adapters and role that their pool desires; a fencing token guards each pool. */
import { asError, parseAddress, Progress, rendezvous } from "@marigolddrift/common";
import type { Logger, Metrics, Pool } from "@marigolddrift/common";
import type { Compare, Store } from "@marigolddrift/store";
import { z } from "zod";

import { createNonce } from "../peers/handshake.js";
import { instanceName } from "../peers/identity.js";
import type { Identity } from "../peers/identity.js";
import type { EngineClient, EngineLoadReport, EngineOrder } from "../upstreams/engineClient.js";
import { instanceKey } from "./instanceLease.js";
import type { InstanceLease } from "./instanceLease.js";
import type { Membership } from "./membership.js";

const tickMs = 2_000;
const storeTimeoutMs = 1_500;

/** An order is aborted after this time, so that it cannot arrive later. */
export const orderTimeoutMs = 5_000;

/** Limit on the model loads that a controller starts in a pool at a time; it protects the weight store. */
const maxConcurrentLoads = 1;

const poolRecordSchema = z.strictObject({
    pool: z.string(),
    /** Incremented by each change of controller; the fencing token of its orders. */
    epoch: z.number().int().min(1),
    owner: z.string(),
    nonce: z.string(),
});
type PoolRecord = z.infer<typeof poolRecordSchema>;

/** Orders that bring a worker from its actual state to the state that its pool desires. */
export const ordersFor = (pool: Pool, actual: EngineLoadReport, fence: number): EngineOrder[] => {
    const models = pool.models.filter(model => !actual.models.includes(model));
    const adapters = pool.adapters.filter(adapter => !actual.adapters.includes(adapter));
    const role = actual.role === pool.role ? [] : [pool.role];
    return [
        ...models.map(model => ({ order: "loadModel" as const, model, fence })),
        ...adapters.map(text => {
            const [adapter = "", version = ""] = text.split("@");
            return { order: "loadAdapter" as const, adapter, version, fence };
        }),
        ...role.map(name => ({ order: "changeRole" as const, role: name, fence })),
    ];
};

/**
 * Earliest time at which a new controller of a pool may send orders. If the engines do not check fencing tokens, it
 * must wait until no order of the previous controller can arrive.
 */
export const earliestOrderAt = (claimedAt: number, checksFencing: boolean): number =>
    checksFencing ? claimedAt : claimedAt + orderTimeoutMs;

interface PoolClaim {
    readonly record: PoolRecord;
    readonly claimedAt: number;
}

/** Desired and actual state of a worker, as shown to operators. */
export interface WorkerStatus {
    readonly pool: string;
    readonly worker: string;
    readonly desired: readonly string[];
    readonly actual: readonly string[];
    readonly pending: readonly string[];
}

/** Dependencies of {@link PoolReconciler}. */
export interface PoolReconcilerDependencies {
    readonly identity: Identity;
    readonly store: Store;
    readonly lease: InstanceLease;
    readonly membership: Membership;
    readonly engines: EngineClient;
    pools(): Readonly<Record<string, Pool>>;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** Reconciles the pools that this instance controls; each pool has one controller at a time. */
export class PoolReconciler {
    private readonly claims = new Map<string, PoolClaim>();
    private readonly statuses = new Map<string, WorkerStatus>();
    private timer: NodeJS.Timeout | undefined;
    private ticking = false;

    constructor(private readonly deps: PoolReconcilerDependencies) {}

    start(): void {
        this.timer = setInterval(() => void this.tick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Desired and actual state of the workers in the pools that this instance controls. */
    status(): WorkerStatus[] {
        return [...this.statuses.values()];
    }

    private async tick(): Promise<void> {
        if (this.ticking || this.deps.membership.leaving || !this.deps.lease.isValid()) {
            return;
        }
        this.ticking = true;
        try {
            for (const [name, pool] of Object.entries(this.deps.pools())) {
                await this.reconcilePool(name, pool);
            }
        }
        catch (err) {
            this.deps.log.debug("pool orders not sent", { error: asError(err).message });
        }
        finally {
            this.ticking = false;
        }
    }

    private async reconcilePool(name: string, pool: Pool): Promise<void> {
        if (!this.isPreferred(name)) {
            this.claims.delete(name);
            return;
        }
        const poolClaim = this.claims.get(name) ?? await this.claim(name);
        if (poolClaim === undefined || Date.now() < earliestOrderAt(poolClaim.claimedAt, pool.checksFencing)) {
            return;
        }
        let loadsStarted = 0;
        for (const text of pool.workers) {
            const started = await this.reconcileWorker(
                name,
                pool,
                parseAddress(text).address,
                poolClaim,
                loadsStarted < maxConcurrentLoads,
            );
            loadsStarted += started ? 1 : 0;
        }
    }

    private isPreferred(name: string): boolean {
        const members = this.deps.membership.members().map(member => instanceName(member.instance));
        return rendezvous(`pool-${name}`, members)[0] === instanceName(this.deps.identity.instance);
    }

    /** Becomes the controller of a pool; succeeds only if the previous controller's lease has ended. */
    private async claim(name: string): Promise<PoolClaim | undefined> {
        const { store, identity, log } = this.deps;
        const progress = new Progress(storeTimeoutMs);
        try {
            const key = `/marigolddrift/pools/${name}`;
            const stored = await store.get(key, progress);
            const previous = stored === undefined ?
                undefined :
                poolRecordSchema.parse(JSON.parse(stored.value.toString()));
            const record = {
                pool: name,
                epoch: (previous?.epoch ?? 0) + 1,
                owner: identity.instance,
                nonce: createNonce(),
            };
            const fence: Compare[] = previous === undefined || previous.owner === identity.instance ?
                [] :
                [{ key: instanceKey(previous.owner), revision: 0 }];
            const compares = [{ key, revision: stored?.revision ?? 0 }, ...fence];
            const result = await store.txn(compares, [{ key, value: Buffer.from(JSON.stringify(record)) }], progress);
            if (!result.succeeded) {
                return undefined;
            }
            const poolClaim = { record, claimedAt: Date.now() };
            this.claims.set(name, poolClaim);
            log.info("pool claimed", { pool: name, epoch: record.epoch });
            return poolClaim;
        }
        finally {
            progress.dispose();
        }
    }

    /** Sends a worker its next order, if any; returns whether a model load was started or may have been. */
    private async reconcileWorker(
        name: string,
        pool: Pool,
        worker: string,
        poolClaim: PoolClaim,
        mayLoad: boolean,
    ): Promise<boolean> {
        const { engines, lease, log, metrics } = this.deps;
        const progress = new Progress(orderTimeoutMs);
        try {
            const actual = await engines.load(worker, progress);
            const orders = ordersFor(pool, actual, poolClaim.record.epoch);
            this.recordStatus(name, pool, worker, actual, orders);
            const next = orders.find(order => mayLoad || order.order !== "loadModel");
            // After the lease has lapsed, another instance may already control this pool.
            if (next === undefined || !lease.isValid()) {
                return false;
            }
            log.info("engine order", { pool: name, worker, ...next });
            metrics.count("orders.sent");
            await engines.order(worker, next, progress);
            return next.order === "loadModel";
        }
        catch (err) {
            log.warn("engine order failed", { pool: name, worker, error: asError(err).message });
            return true;
        }
        finally {
            progress.dispose();
        }
    }

    private recordStatus(
        name: string,
        pool: Pool,
        worker: string,
        actual: EngineLoadReport,
        orders: readonly EngineOrder[],
    ): void {
        this.statuses.set(`${name}/${worker}`, {
            pool: name,
            worker,
            desired: [...pool.models, ...pool.adapters, `role=${pool.role}`],
            actual: [...actual.models, ...actual.adapters, `role=${actual.role}`],
            pending: orders.map(order => `${order.order} ${order.model ?? order.adapter ?? order.role ?? ""}`),
        });
    }
}
