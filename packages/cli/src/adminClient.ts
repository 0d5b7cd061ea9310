/** Client for the daemons' admin API. */
import { asError } from "@marigolddrift/common";
import VError from "verror";

import { requestJson } from "./requestJson.js";

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
        try {
            return await requestJson(`http://${address}/${path}`, {
                method,
                headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
                body: body === undefined ? null : JSON.stringify(body),
                headersTimeout: timeoutMs,
            });
        }
        catch (err) {
            throw new AdminError(address, asError(err).message);
        }
    }
}
