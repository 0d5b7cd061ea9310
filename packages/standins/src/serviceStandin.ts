/** Stand-in for a tool or service that counts the executions of each idempotency key. */
import { delay } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import { readBody, StandinServer } from "./standinServer.js";

/** Settings of one service. */
export interface ServiceOptions {
    readonly name: string;
    /** Duration of an execution. */
    readonly latencyMs: number;
}

/** One upstream of a service. */
export class ServiceStandin {
    readonly server: StandinServer;
    private readonly executions = new Map<string, number>();
    private total = 0;
    private lastNewWorkAt = 0;

    constructor(private readonly options: ServiceOptions) {
        this.server = new StandinServer(() => ({
            total: this.total,
            doubled: [...this.executionsByKey().values()].filter(count => count > 1).length,
            executions: Object.fromEntries(this.executions),
            lastNewWorkAt: this.lastNewWorkAt,
        }));
        for (const method of ["GET", "POST", "DELETE"] as const) {
            this.server.route(method, "*", (req, res) => this.execute(req, res));
        }
    }

    /** Number of executions per idempotency key, without the calls that have no key. */
    executionsByKey(): Map<string, number> {
        return new Map([...this.executions].filter(([key]) => key !== ""));
    }

    async close(): Promise<void> {
        await this.server.close();
    }

    private async execute(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readBody(req);
        const key = String(req.headers["idempotency-key"] ?? "");
        this.lastNewWorkAt = Date.now();
        this.total += 1;
        this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
        if (this.server.faults.isSet("leave")) {
            res.setHeader("x-upstream-leaving", "true");
        }
        await delay(this.options.latencyMs);
        this.server.faults.sendReply(req, res, 200, {
            service: this.options.name,
            path: req.url,
            key,
            execution: this.executions.get(key),
            receivedBytes: body.length,
        });
    }
}
