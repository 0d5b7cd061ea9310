/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, ranges, watches, transactions, leases. */
import { createServer } from "node:http";

const answerMs = 4;
const maxEntries = 32;
const pageItems = 500;
const valueBytes = 1_048_576;

export class Store {
    revision = 10;
    items = new Map();
    history = [];
    waiting = new Set();
    calls = 0;
    /** Called with the key of each removed item. */
    onRemoved = () => {};

    constructor(host) {
        this.host = host;
        this.server = createServer((req, res) => void this.handle(req, res).catch(() => res.destroy()));
        this.server.keepAliveTimeout = 60_000;
    }

    async start() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, this.host, resolve);
        });
        this.address = `${this.host}:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes an item as an operator, a worker or another writer does; a Buffer is written as it is. */
    put(key, value) {
        this.write(++this.revision, key, Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value)));
        this.wake();
    }

    remove(key) {
        this.erase(++this.revision, key);
        this.wake();
    }

    write(rev, key, value, lease = 0) {
        const createdRev = this.items.get(key)?.createdRev ?? rev;
        const item = { key, value: value.toString("base64"), rev, createdRev, lease };
        this.items.set(key, item);
        this.history.push(item);
    }

    erase(rev, key) {
        if (this.items.delete(key)) {
            this.history.push({ key, rev, deleted: true });
            this.onRemoved(key);
        }
    }

    wake() {
        [...this.waiting].forEach(wake => wake());
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        this.calls += 1;
        const url = new URL(req.url, "http://store");
        const [status, body] = await this.answer(req.method, url, Buffer.concat(chunks).toString());
        await new Promise(resolve => setTimeout(resolve, answerMs));
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(body));
    }

    async answer(method, url, text) {
        const param = name => url.searchParams.get(name) ?? "";
        switch (`${method} ${url.pathname}`) {
            case "GET /api/kv-key": {
                const item = this.items.get(param("key"));
                return item === undefined ? [404, {}] : [200, { ...item, at: this.revision }];
            }
            case "GET /api/kv-range": {
                const keys = [...this.items.keys()].filter(key =>
                    key.startsWith(param("prefix")) && key > param("after")
                )
                    .sort();
                const items = keys.slice(0, pageItems).map(key => this.items.get(key));
                return [200, { items, more: keys.length > pageItems, at: this.revision }];
            }
            case "GET /api/kv-watch":
                return [200, await this.watch(param("prefix"), Number(param("after")), Number(param("waitMs")))];
            case "POST /api/kv-txn":
                return this.txn(JSON.parse(text));
            default:
                return [404, {}];
        }
    }

    async watch(prefix, after, waitMs) {
        const events = () => this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
        const endsAt = Date.now() + waitMs;
        while (events().length === 0 && Date.now() < endsAt) {
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timer);
                    this.waiting.delete(done);
                    resolve();
                };
                const timer = setTimeout(done, endsAt - Date.now());
                this.waiting.add(done);
            });
        }
        return { events: events(), at: this.revision };
    }

    txn({ expectedRev, writes, remove }) {
        if (expectedRev.length + writes.length + remove.length > maxEntries) {
            return [400, {}];
        }
        const own = [...writes.map(({ key }) => key), ...remove];
        if (own.some(key => key.startsWith("op/") || key.startsWith("servers/"))) {
            return [403, {}];
        }
        if (writes.some(({ value }) => Buffer.byteLength(value, "base64") > valueBytes)) {
            return [400, {}];
        }
        if (!expectedRev.every(({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev)) {
            return [412, {
                items: expectedRev.map(({ key }) => this.items.get(key)).filter(item => item !== undefined),
            }];
        }
        const rev = ++this.revision;
        writes.forEach(({ key, value, lease }) => this.write(rev, key, Buffer.from(value, "base64"), lease));
        remove.forEach(key => this.erase(rev, key));
        this.wake();
        return [200, { rev }];
    }
}
