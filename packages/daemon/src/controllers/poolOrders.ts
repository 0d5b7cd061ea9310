/** Orders engines to load models and adapters and to change role; each pool has one orderer with a fencing number. */
import { asError, parseAddress, Progress, rendezvous } from "@marigolddrift/common";
import type { Logger, Metrics, Pool } from "@marigolddrift/common";
import type { Compare, Store } from "@marigolddrift/store";
import { z } from "zod";

import { createNonce } from "../peers/handshake.js";
import { instanceName } from "../peers/identity.js";
import type { Identity } from "../peers/identity.js";
import type { EngineClient, EngineLoadReport, EngineOrder } from "../upstreams/engineClient.js";
import { instanceKey } from "./leaseKeeper.js";
import type { LeaseKeeper } from "./leaseKeeper.js";
import type { Membership } from "./membership.js";

const tickMs = 2_000;
const storeTimeoutMs = 1_500;

/** An order is given up after this time, so that it cannot arrive later; in milliseconds. */
export const maxOrderDelayMs = 5_000;

/** Loads that one orderer has under way at a time, out of regard for the weight store. */
const parallelLoads = 1;

const poolRecordSchema = z.strictObject({
    pool: z.string(),
    /** Raised by each change of orderer; the fencing number of its orders. */
    epoch: z.number().int().min(1),
    owner: z.string(),
    nonce: z.string(),
});
type PoolRecord = z.infer<typeof poolRecordSchema>;

/** Orders that bring a worker from its actual to the desired state. */
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

/** Earliest time at which a new orderer may order a pool whose engines do not check fencing numbers. */
export const firstOrderAt = (claimedAt: number, checksFencing: boolean): number =>
    checksFencing ? claimedAt : claimedAt + maxOrderDelayMs;

interface Ordered {
    readonly record: PoolRecord;
    readonly claimedAt: number;
}

/** What an operator sees of one worker of a pool. */
export interface WorkerStatus {
    readonly pool: string;
    readonly worker: string;
    readonly desired: readonly string[];
    readonly actual: readonly string[];
    readonly pending: readonly string[];
}

/** What the orders need from the rest of the daemon. */
export interface PoolOrdersParts {
    readonly self: Identity;
    readonly store: Store;
    readonly lease: LeaseKeeper;
    readonly membership: Membership;
    readonly engines: EngineClient;
    pools(): Readonly<Record<string, Pool>>;
    readonly log: Logger;
    readonly metrics: Metrics;
}

/** The pools that this instance orders. */
export class PoolOrders {
    private readonly ordered = new Map<string, Ordered>();
    private readonly statuses = new Map<string, WorkerStatus>();
    private timer: NodeJS.Timeout | undefined;
    private busy = false;

    constructor(private readonly parts: PoolOrdersParts) {}

    start(): void {
        this.timer = setInterval(() => void this.tick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Desired and actual state of the workers that this instance orders. */
    status(): WorkerStatus[] {
        return [...this.statuses.values()];
    }

    private async tick(): Promise<void> {
        if (this.busy || this.parts.membership.leaving || !this.parts.lease.isProven()) {
            return;
        }
        this.busy = true;
        try {
            for (const [name, pool] of Object.entries(this.parts.pools())) {
                await this.tend(name, pool);
            }
        }
        catch (err) {
            this.parts.log.debug("orders not given", { error: asError(err).message });
        }
        finally {
            this.busy = false;
        }
    }

    private async tend(name: string, pool: Pool): Promise<void> {
        if (!this.isPreferred(name)) {
            this.ordered.delete(name);
            return;
        }
        const ordered = this.ordered.get(name) ?? await this.claim(name);
        if (ordered === undefined || Date.now() < firstOrderAt(ordered.claimedAt, pool.checksFencing)) {
            return;
        }
        let loads = 0;
        for (const text of pool.workers) {
            const started = await this.orderWorker(
                name,
                pool,
                parseAddress(text).address,
                ordered,
                loads < parallelLoads,
            );
            loads += started ? 1 : 0;
        }
    }

    private isPreferred(name: string): boolean {
        const members = this.parts.membership.members().map(member => instanceName(member.instance));
        return rendezvous(`pool-${name}`, members)[0] === instanceName(this.parts.self.instance);
    }

    /** Becomes the orderer: only when the former one's lease has ended. */
    private async claim(name: string): Promise<Ordered | undefined> {
        const { store, self, log } = this.parts;
        const progress = new Progress(storeTimeoutMs);
        try {
            const key = `/marigolddrift/pools/${name}`;
            const stored = await store.get(key, progress);
            const former = stored === undefined ?
                undefined :
                poolRecordSchema.parse(JSON.parse(stored.value.toString()));
            const record = { pool: name, epoch: (former?.epoch ?? 0) + 1, owner: self.instance, nonce: createNonce() };
            const lapsed: Compare[] = former === undefined || former.owner === self.instance ?
                [] :
                [{ key: instanceKey(former.owner), revision: 0 }];
            const compares = [{ key, revision: stored?.revision ?? 0 }, ...lapsed];
            const result = await store.txn(compares, [{ key, value: Buffer.from(JSON.stringify(record)) }], progress);
            if (!result.succeeded) {
                return undefined;
            }
            const ordered = { record, claimedAt: Date.now() };
            this.ordered.set(name, ordered);
            log.info("pool ordered", { pool: name, epoch: record.epoch });
            return ordered;
        }
        finally {
            progress.dispose();
        }
    }

    /** Orders what a worker lacks; returns whether a model is being loaded. */
    private async orderWorker(
        name: string,
        pool: Pool,
        worker: string,
        ordered: Ordered,
        mayLoad: boolean,
    ): Promise<boolean> {
        const { engines, lease, log, metrics } = this.parts;
        const progress = new Progress(maxOrderDelayMs);
        try {
            const actual = await engines.load(worker, progress);
            const orders = ordersFor(pool, actual, ordered.record.epoch);
            this.note(name, pool, worker, actual, orders);
            const next = orders.find(order => mayLoad || order.order !== "loadModel");
            // A lapsed lease means that another instance may order this pool by now.
            if (next === undefined || !lease.isProven()) {
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

    private note(
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
