/** Stand-in for the key-value store: the subset of the etcd v3 JSON gateway that the daemons use. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

import { readJson, StandinServer } from "../standinServer.js";
import { KeyValueState } from "./keyValueState.js";
import type { KeyEvent, KeyValue } from "./keyValueState.js";

const int64 = z.union([z.string(), z.number()]).transform(Number);

const rangeSchema = z.object({ key: z.string(), range_end: z.string().optional(), keys_only: z.boolean().optional() });
const putSchema = z.object({ key: z.string(), value: z.string().default(""), lease: z.string().default("0") });
const deleteSchema = z.object({ key: z.string() });
const compareSchema = z.object({
    key: z.string(),
    target: z.enum(["MOD", "VERSION"]),
    result: z.literal("EQUAL").default("EQUAL"),
    mod_revision: int64.optional(),
    version: int64.optional(),
});
const operationSchema = z.object({
    request_range: rangeSchema.optional(),
    request_put: putSchema.optional(),
    request_delete_range: deleteSchema.optional(),
});
const txnSchema = z.object({
    compare: z.array(compareSchema).default([]),
    success: z.array(operationSchema).default([]),
    failure: z.array(operationSchema).default([]),
});
const watchSchema = z.object({
    create_request: z.object({
        key: z.string(),
        range_end: z.string().optional(),
        start_revision: int64.default(0),
    }),
});

type Operation = z.infer<typeof operationSchema>;

const leaseCheckMs = 250;
const maxOperations = 128;

const decode = (text: string): string => Buffer.from(text, "base64").toString();
const encode = (text: string): string => Buffer.from(text).toString("base64");

const renderKv = (kv: KeyValue, keysOnly = false) => ({
    key: encode(kv.key),
    value: keysOnly ? undefined : kv.value.toString("base64"),
    create_revision: String(kv.createRevision),
    mod_revision: String(kv.modRevision),
    version: String(kv.version),
    lease: kv.lease,
});

/** In-memory key-value store behind the etcd v3 JSON gateway API. */
export class StoreStandin {
    readonly server: StandinServer;
    readonly state = new KeyValueState();
    private readonly calls: Record<string, number> = {};
    private bytesIn = 0;
    private readonly watches = new Set<ServerResponse>();
    private readonly timer: NodeJS.Timeout;

    constructor() {
        this.server = new StandinServer(() => ({
            calls: this.calls,
            bytesIn: this.bytesIn,
            watches: this.watches.size,
            revision: this.state.revision,
        }));
        this.addOperation("/v3/kv/range", "range", body => this.range(rangeSchema.parse(body)));
        this.addOperation("/v3/kv/put", "put", body => this.put(putSchema.parse(body)));
        this.addOperation("/v3/kv/txn", "txn", body => this.txn(txnSchema.parse(body)));
        this.addOperation("/v3/lease/grant", "grant", body => this.grant(z.object({ TTL: int64 }).parse(body).TTL));
        this.addOperation("/v3/lease/keepalive", "keepalive", body => {
            const id = z.object({ ID: z.string() }).parse(body).ID;
            return { result: { ID: id, TTL: String(this.state.keepAlive(id)) } };
        });
        this.addOperation("/v3/lease/revoke", "revoke", body => {
            this.state.revoke(z.object({ ID: z.string() }).parse(body).ID);
            return {};
        });
        this.server.route("POST", "/v3/watch", (req, res) => this.watch(req, res));
        this.timer = setInterval(() => this.tick(), leaseCheckMs);
        this.timer.unref();
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        await this.server.close();
    }

    private tick(): void {
        if (this.server.faults.isSet("down")) {
            for (const res of this.watches) {
                res.destroy();
            }
            return;
        }
        this.state.expireLeases();
    }

    private addOperation(path: string, name: string, handle: (body: unknown) => unknown): void {
        this.server.route("POST", path, async (req, res) => {
            this.countCall(name);
            const body = await readJson(req);
            this.bytesIn += Number(req.headers["content-length"] ?? 0);
            const header = { revision: String(this.state.revision) };
            this.server.faults.sendReply(req, res, 200, { header, ...handle(body) as object });
        });
    }

    private countCall(name: string): void {
        this.calls[name] = (this.calls[name] ?? 0) + 1;
    }

    private range(req: z.infer<typeof rangeSchema>) {
        const key = decode(req.key);
        const single = this.state.get(key);
        const kvs = req.range_end === undefined ?
            (single === undefined ? [] : [single]) :
            this.state.range(key, decode(req.range_end));
        return { kvs: kvs.map(kv => renderKv(kv, req.keys_only)), count: String(kvs.length) };
    }

    private put(req: z.infer<typeof putSchema>) {
        this.state.beginRevision();
        this.state.put(decode(req.key), Buffer.from(req.value, "base64"), req.lease);
        return { header: { revision: String(this.state.revision) } };
    }

    private txn(req: z.infer<typeof txnSchema>) {
        if (req.success.length > maxOperations || req.failure.length > maxOperations) {
            throw new Error("too many operations in txn request");
        }
        const succeeded = req.compare.every(compare => {
            const kv = this.state.get(decode(compare.key));
            return compare.target === "MOD" ?
                (kv?.modRevision ?? 0) === (compare.mod_revision ?? 0) :
                (kv?.version ?? 0) === (compare.version ?? 0);
        });
        const operations = succeeded ? req.success : req.failure;
        if (operations.some(operation => operation.request_put || operation.request_delete_range)) {
            this.state.beginRevision();
        }
        const responses = operations.map(operation => this.applyOperation(operation));
        return { header: { revision: String(this.state.revision) }, succeeded, responses };
    }

    private applyOperation(operation: Operation) {
        if (operation.request_range !== undefined) {
            return { response_range: this.range(operation.request_range) };
        }
        if (operation.request_put !== undefined) {
            const { key, value, lease } = operation.request_put;
            if (lease !== "0" && !this.state.hasLease(lease)) {
                throw new Error("requested lease not found");
            }
            this.state.put(decode(key), Buffer.from(value, "base64"), lease);
            return { response_put: {} };
        }
        this.state.remove(decode(operation.request_delete_range!.key));
        return { response_delete_range: {} };
    }

    private grant(ttlSeconds: number) {
        return { ID: this.state.grant(ttlSeconds), TTL: String(ttlSeconds) };
    }

    private async watch(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.countCall("watch");
        const { create_request: create } = watchSchema.parse(await readJson(req));
        const key = decode(create.key);
        const end = create.range_end === undefined ? `${key}\u0000` : decode(create.range_end);
        const matches = (event: KeyEvent): boolean => event.kv.key >= key && event.kv.key < end;
        const send = (events: readonly KeyEvent[]): void => {
            const rendered = events.map(event => ({ type: event.type, kv: renderKv(event.kv) }));
            res.write(
                `${
                    JSON.stringify({ result: { header: { revision: String(this.state.revision) }, events: rendered } })
                }\n`,
            );
        };
        res.writeHead(200, { "content-type": "application/json" });
        res.write(`${JSON.stringify({ result: { created: true } })}\n`);
        const missed = create.start_revision > 0 ? this.state.eventsSince(create.start_revision).filter(matches) : [];
        if (missed.length > 0) {
            send(missed);
        }
        const unsubscribe = this.state.subscribe(event => matches(event) && send([event]));
        this.watches.add(res);
        res.on("close", () => {
            unsubscribe();
            this.watches.delete(res);
        });
    }
}
