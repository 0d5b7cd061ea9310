/** Client of a key-value store that speaks the JSON gateway protocol of etcd v3. */
import { asError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { Agent, request } from "undici";
import { z } from "zod";

import { appliedStatus, HistoryGoneError, StoreError, StoreRefusalError } from "./store.js";
import type { ChangeBatch, Compare, Put, Snapshot, Store, StoreChange, StoredValue, TxnResult } from "./store.js";

const int64 = z.string().transform(Number);
const kvSchema = z.object({ key: z.string(), value: z.string().default(""), mod_revision: int64 });
const rangeReplySchema = z.object({
    header: z.object({ revision: int64 }),
    kvs: z.array(kvSchema).default([]),
});
const txnReplySchema = z.object({
    header: z.object({ revision: int64 }),
    succeeded: z.boolean().default(false),
});
const grantReplySchema = z.object({ ID: z.string() });
const keepAliveReplySchema = z.object({ result: z.object({ TTL: int64.default(0) }) });
const watchReplySchema = z.object({
    result: z.object({
        canceled: z.boolean().default(false),
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: kvSchema })).default([]),
    }),
});

type WatchReply = z.infer<typeof watchReplySchema>["result"];

const encode = (text: string): string => Buffer.from(text).toString("base64");
const decode = (text: string): string => Buffer.from(text, "base64").toString();

/** Exclusive end of the key range with the given prefix. */
const prefixEnd = (prefix: string): string =>
    prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);

const connectTimeoutMs = 1_000;

/** Calls the etcd gateway over HTTP. */
export class StoreClient implements Store {
    readonly calls: Record<string, number> = {};
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs }, connections: 4, pipelining: 1 });

    constructor(private readonly address: string) {}

    async get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        const reply = rangeReplySchema.parse(await this.call("kv/range", { key: encode(key) }, progress));
        return reply.kvs.map(toStored)[0];
    }

    async range(prefix: string, progress: Progress): Promise<Snapshot> {
        const body = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
        const reply = rangeReplySchema.parse(await this.call("kv/range", body, progress));
        return { values: reply.kvs.map(toStored), revision: reply.header.revision };
    }

    async changes(prefix: string, revision: number, waitMs: number, progress: Progress): Promise<ChangeBatch> {
        const wait = progress.child(waitMs);
        try {
            for await (const reply of this.watchReplies(prefix, revision + 1, wait.signal)) {
                if (reply.canceled) {
                    throw new HistoryGoneError(revision);
                }
                const changes = reply.events.map(toChange);
                if (changes.length > 0) {
                    return { changes, revision: Math.max(...reply.events.map(event => event.kv.mod_revision)) };
                }
            }
        }
        catch (err) {
            if (err instanceof HistoryGoneError || !wait.signal.aborted) {
                throw err;
            }
        }
        finally {
            wait.dispose();
        }
        progress.throwIfAborted();
        return { changes: [], revision };
    }

    async txn(
        compares: readonly Compare[],
        puts: readonly Put[],
        progress: Progress,
        removals: readonly string[] = [],
    ): Promise<TxnResult> {
        const body = {
            compare: compares.map(({ key, revision }) => ({
                key: encode(key),
                target: "MOD",
                result: "EQUAL",
                mod_revision: String(revision),
            })),
            success: [
                ...puts.map(({ key, value, lease }) => ({
                    request_put: { key: encode(key), value: value.toString("base64"), ...(lease ? { lease } : {}) },
                })),
                ...removals.map(key => ({ request_delete_range: { key: encode(key) } })),
            ],
        };
        const reply = txnReplySchema.parse(await this.call("kv/txn", body, progress));
        return { succeeded: reply.succeeded, revision: reply.header.revision };
    }

    async grantLease(ttlSeconds: number, progress: Progress): Promise<string> {
        return grantReplySchema.parse(await this.call("lease/grant", { TTL: String(ttlSeconds) }, progress)).ID;
    }

    async keepAlive(lease: string, progress: Progress): Promise<boolean> {
        const reply = keepAliveReplySchema.parse(await this.call("lease/keepalive", { ID: lease }, progress));
        return reply.result.TTL > 0;
    }

    async revokeLease(lease: string, progress: Progress): Promise<void> {
        await this.call("lease/revoke", { ID: lease }, progress);
    }

    async watch(prefix: string, onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void> {
        for await (const reply of this.watchReplies(prefix, 0, signal)) {
            reply.events.filter(event => event.type === "PUT").forEach(event => onChange(toStored(event.kv)));
        }
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Streams the messages of one watch; `startRevision` 0 means the current revision. */
    private async *watchReplies(
        prefix: string,
        startRevision: number,
        signal: AbortSignal,
    ): AsyncGenerator<WatchReply> {
        this.count("watch");
        const createRequest = {
            key: encode(prefix),
            range_end: encode(prefixEnd(prefix)),
            ...(startRevision === 0 ? {} : { start_revision: String(startRevision) }),
        };
        const res = await request(`http://${this.address}/v3/watch`, {
            method: "POST",
            body: JSON.stringify({ create_request: createRequest }),
            dispatcher: this.agent,
            signal,
            bodyTimeout: 0,
        });
        let partialLine = "";
        for await (const chunk of res.body) {
            const lines = (partialLine + String(chunk)).split("\n");
            partialLine = lines.pop() ?? "";
            for (const line of lines.filter(text => text !== "")) {
                yield watchReplySchema.parse(JSON.parse(line)).result;
            }
        }
    }

    private count(name: string): void {
        this.calls[name] = (this.calls[name] ?? 0) + 1;
    }

    private async call(path: string, body: object, progress: Progress): Promise<unknown> {
        progress.throwIfAborted();
        this.count(path);
        let status: number;
        let reply: unknown;
        try {
            const res = await request(`http://${this.address}/v3/${path}`, {
                method: "POST",
                body: JSON.stringify(body),
                dispatcher: this.agent,
                signal: progress.signal,
                headersTimeout: progress.leftMs + 1,
                bodyTimeout: progress.leftMs + 1,
            });
            status = res.statusCode;
            reply = await res.body.json();
        }
        catch (err) {
            throw new StoreError(appliedStatus(err), `the store did not answer ${path}`, asError(err));
        }
        if (status !== 200) {
            throw new StoreRefusalError(`${path}: ${JSON.stringify(reply)}`, status);
        }
        return reply;
    }
}

const toChange = (event: WatchReply["events"][number]): StoreChange =>
    event.type === "PUT" ?
        { kind: "put", stored: toStored(event.kv) } :
        { kind: "removed", key: decode(event.kv.key), revision: event.kv.mod_revision };

const toStored = (kv: z.infer<typeof kvSchema>): StoredValue => ({
    key: decode(kv.key),
    value: Buffer.from(kv.value, "base64"),
    revision: kv.mod_revision,
});
