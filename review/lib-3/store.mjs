/** Stand-in of the platform's metadata store, as the users' page describes it. */
import { createServer } from "node:http";

const maxEntries = 32;
const pageItems = 500;

export class Store {
    /** @type {Map<string, { value: string, rev: number, createdRev: number }>} */
    items = new Map();
    events = [];
    rev = 1;
    address = "";
    /** Called before each call; may wait, or return true if it has dealt with the response itself. */
    intercept = async () => false;
    #waiters = new Set();
    #server = createServer((req, res) => void this.#handle(req, res).catch(() => res.destroy()));

    async start(host = "127.0.0.1", port = 0) {
        await new Promise((resolve, reject) => this.#server.once("error", reject).listen(port, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes a key as the operator or a worker does. */
    put(key, value) {
        this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    remove(key) {
        this.#apply([], [key]);
    }

    get(key) {
        const item = this.items.get(key);
        return item && Buffer.from(item.value, "base64");
    }

    keys(prefix) {
        return [...this.items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    #apply(writes, removals) {
        this.rev += 1;
        for (const { key, value } of writes) {
            const createdRev = this.items.get(key)?.createdRev ?? this.rev;
            const item = { value, rev: this.rev, createdRev };
            this.items.set(key, item);
            this.events.push({ key, value, rev: this.rev, createdRev, lease: 0 });
        }
        for (const key of removals) {
            if (this.items.delete(key)) {
                this.events.push({ key, rev: this.rev, deleted: true });
            }
        }
        this.#waiters.forEach(wake => wake());
    }

    #render(key) {
        const { value, rev, createdRev } = this.items.get(key);
        return { key, value, rev, createdRev, lease: 0 };
    }

    async #handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString();
        const url = new URL(req.url, "http://store");
        const param = name => url.searchParams.get(name) ?? "";
        const call = {
            method: req.method,
            path: url.pathname,
            param,
            body: text === "" ? undefined : JSON.parse(text),
            from: req.socket.remoteAddress,
            req,
            res,
        };
        if (await this.intercept(call)) {
            return;
        }
        this.serve(call);
    }

    /** Does what a call asks for, and answers it unless the connection has ended. */
    serve({ path, param, body, res }) {
        const send = (status, value) => {
            res.writeHead(status, { "content-type": "application/json" });
            res.end(JSON.stringify(value));
        };
        switch (path) {
            case "/api/kv-key":
                return this.items.has(param("key")) ?
                    send(200, { ...this.#render(param("key")), at: this.rev }) :
                    send(404, {});
            case "/api/kv-range": {
                const keys = this.keys(param("prefix")).filter(key => key > param("after"));
                const items = keys.slice(0, pageItems).map(key => this.#render(key));
                return send(200, { items, more: keys.length > pageItems, at: this.rev });
            }
            case "/api/kv-watch":
                return void this.#watch(param("prefix"), Number(param("after")), Number(param("waitMs")), send, res);
            case "/api/kv-txn":
                return this.#txn(body, send);
            default:
                return send(404, {});
        }
    }

    async #watch(prefix, after, waitMs, send, res) {
        const found = () => this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
        const endsAt = performance.now() + waitMs;
        while (found().length === 0 && performance.now() < endsAt && !res.destroyed) {
            await new Promise(resolve => {
                const timer = setTimeout(done, Math.max(0, endsAt - performance.now()));
                const waiters = this.#waiters;
                waiters.add(done);
                function done() {
                    clearTimeout(timer);
                    waiters.delete(done);
                    resolve();
                }
            });
        }
        send(200, { events: found(), at: this.rev });
    }

    #txn({ expectedRev, writes, remove }, send) {
        if (expectedRev.length + writes.length + remove.length > maxEntries) {
            return send(400, {});
        }
        if ([...writes.map(({ key }) => key), ...remove].some(key => /^(op|servers)\//.test(key))) {
            return send(403, {});
        }
        if (!expectedRev.every(({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev)) {
            const items = expectedRev.filter(({ key }) => this.items.has(key)).map(({ key }) => this.#render(key));
            return send(412, { items });
        }
        this.#apply(writes, remove);
        return send(200, { rev: this.rev });
    }
}
