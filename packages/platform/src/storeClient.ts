/** Client of the key-value service: the JSON gateway of etcd v3. */
import { asError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { Agent, request } from "undici";
import VError from "verror";
import { z } from "zod";

const int64 = z.string().transform(Number);
const kvSchema = z.object({ key: z.string(), value: z.string().default(""), mod_revision: int64 });
const rangeReplySchema = z.object({ kvs: z.array(kvSchema).default([]) });
const txnReplySchema = z.object({
    header: z.object({ revision: int64 }),
    succeeded: z.boolean().default(false),
});
const grantReplySchema = z.object({ ID: z.string() });
const keepAliveReplySchema = z.object({ result: z.object({ TTL: int64.default(0) }) });
const watchReplySchema = z.object({
    result: z.object({
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: kvSchema })).default([]),
    }),
});

/** A value with the revision at which it was written. */
export interface StoredValue {
    readonly key: string;
    readonly value: Buffer;
    readonly revision: number;
}

/** A condition of a transaction: the revision of a key, 0 meaning that it does not exist. */
export interface Compare {
    readonly key: string;
    readonly revision: number;
}

/** A change made by a transaction. */
export interface Put {
    readonly key: string;
    readonly value: Buffer;
    readonly lease?: string;
}

/** Result of a transaction. */
export interface TxnResult {
    readonly succeeded: boolean;
    readonly revision: number;
}

/** A call to the store that failed; `applied` says whether it may have taken effect. */
export class StoreError extends VError {
    constructor(readonly applied: "no" | "unknown", detail: string, cause?: Error) {
        super({ name: "StoreError", ...(cause ? { cause } : {}) }, "%s", detail);
    }
}

/** What the daemon needs of the platform's key-value service. */
export interface Store {
    get(key: string, progress: Progress): Promise<StoredValue | undefined>;
    range(prefix: string, progress: Progress): Promise<StoredValue[]>;
    /** Applies the puts if all conditions hold. */
    txn(compares: readonly Compare[], puts: readonly Put[], progress: Progress): Promise<TxnResult>;
    grantLease(ttlSeconds: number, progress: Progress): Promise<string>;
    /** Returns false if the lease has lapsed. */
    keepAlive(lease: string, progress: Progress): Promise<boolean>;
    revokeLease(lease: string, progress: Progress): Promise<void>;
    /** Calls back for each change below a prefix, until the signal aborts; reconnects by itself. */
    watch(prefix: string, onChange: (value: StoredValue) => void, signal: AbortSignal): Promise<void>;
}

const encode = (text: string): string => Buffer.from(text).toString("base64");
const decode = (text: string): string => Buffer.from(text, "base64").toString();

/** End of the range of keys with a prefix. */
const prefixEnd = (prefix: string): string =>
    prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);

const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

const mayHaveApplied = (err: unknown): "no" | "unknown" => {
    const code = (err as { code?: string; }).code ?? "";
    return notSentCodes.has(code) ? "no" : "unknown";
};

const connectTimeoutMs = 1_000;

/** Calls the store over HTTP. */
export class StoreClient implements Store {
    readonly calls: Record<string, number> = {};
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs }, connections: 4, pipelining: 1 });

    constructor(private readonly address: string) {}

    async get(key: string, progress: Progress): Promise<StoredValue | undefined> {
        const reply = rangeReplySchema.parse(await this.call("kv/range", { key: encode(key) }, progress));
        return reply.kvs.map(toStored)[0];
    }

    async range(prefix: string, progress: Progress): Promise<StoredValue[]> {
        const body = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
        return rangeReplySchema.parse(await this.call("kv/range", body, progress)).kvs.map(toStored);
    }

    async txn(compares: readonly Compare[], puts: readonly Put[], progress: Progress): Promise<TxnResult> {
        const body = {
            compare: compares.map(({ key, revision }) => ({
                key: encode(key),
                target: "MOD",
                result: "EQUAL",
                mod_revision: String(revision),
            })),
            success: puts.map(({ key, value, lease }) => ({
                request_put: { key: encode(key), value: value.toString("base64"), ...(lease ? { lease } : {}) },
            })),
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
        this.count("watch");
        const create = { key: encode(prefix), range_end: encode(prefixEnd(prefix)) };
        const res = await request(`http://${this.address}/v3/watch`, {
            method: "POST",
            body: JSON.stringify({ create_request: create }),
            dispatcher: this.agent,
            signal,
            bodyTimeout: 0,
        });
        let rest = "";
        for await (const chunk of res.body) {
            const lines = (rest + String(chunk)).split("\n");
            rest = lines.pop() ?? "";
            lines.filter(line => line !== "").forEach(line => emitChanges(line, onChange));
        }
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private count(name: string): void {
        this.calls[name] = (this.calls[name] ?? 0) + 1;
    }

    private async call(path: string, body: object, progress: Progress): Promise<unknown> {
        progress.check();
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
            throw new StoreError(mayHaveApplied(err), `the store did not answer ${path}`, asError(err));
        }
        if (status !== 200) {
            throw new StoreError("no", `the store refused ${path}: ${JSON.stringify(reply)}`);
        }
        return reply;
    }
}

const emitChanges = (line: string, onChange: (value: StoredValue) => void): void => {
    const { events } = watchReplySchema.parse(JSON.parse(line)).result;
    events.filter(event => event.type === "PUT").forEach(event => onChange(toStored(event.kv)));
};

const toStored = (kv: z.infer<typeof kvSchema>): StoredValue => ({
    key: decode(kv.key),
    value: Buffer.from(kv.value, "base64"),
    revision: kv.mod_revision,
});
