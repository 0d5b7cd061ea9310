/** Client of the daemons' admin ports. */
import { request } from "undici";
import VError from "verror";

const timeoutMs = 10_000;

/** Where a daemon's admin port is, and its key. */
export interface AdminTarget {
    readonly address: string;
    readonly key: string;
}

/** A daemon that could not be asked, or that refused. */
export class AdminError extends VError {
    constructor(address: string, detail: string) {
        super({ name: "AdminError" }, "%s: %s. Check --admin and --admin-key.", address, detail);
    }
}

/** Asks the admin port of one daemon. */
export class AdminClient {
    constructor(private readonly target: AdminTarget) {}

    async view(path: string): Promise<unknown> {
        return await this.call("GET", path);
    }

    async order(path: string, body: object): Promise<unknown> {
        return await this.call("POST", path, body);
    }

    private async call(method: "GET" | "POST", path: string, body?: object): Promise<unknown> {
        const { address, key } = this.target;
        let status: number;
        let reply: unknown;
        try {
            const res = await request(`http://${address}/${path}`, {
                method,
                headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
                body: body === undefined ? null : JSON.stringify(body),
                headersTimeout: timeoutMs,
            });
            status = res.statusCode;
            reply = await res.body.json();
        }
        catch (err) {
            throw new AdminError(address, err instanceof Error ? err.message : String(err));
        }
        if (status !== 200) {
            throw new AdminError(address, (reply as { error?: string; }).error ?? `status ${status}`);
        }
        return reply;
    }
}
