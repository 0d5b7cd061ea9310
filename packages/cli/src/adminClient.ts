/** Client for the daemons' admin API. */
import { request } from "undici";
import VError from "verror";

const timeoutMs = 10_000;

/** Address and key of a daemon's admin port. */
export interface AdminEndpoint {
    readonly address: string;
    readonly key: string;
}

/** An admin request that failed or that the daemon rejected. */
export class AdminError extends VError {
    constructor(address: string, detail: string) {
        super({ name: "AdminError" }, "%s: %s. Check --admin and --admin-key.", address, detail);
    }
}

/** Sends requests to the admin port of one daemon. */
export class AdminClient {
    constructor(private readonly target: AdminEndpoint) {}

    async get(path: string): Promise<unknown> {
        return await this.call("GET", path);
    }

    async post(path: string, body: object): Promise<unknown> {
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
