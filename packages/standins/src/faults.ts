/** Fault injection for the stand-ins. */
import { delay, iniNumber } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

/** Enables or disables one fault; the body of `POST /faults`. */
export const faultChangeSchema = z.strictObject({
    /**
     * - `down`: connections are closed immediately.
     * - `slow`: requests are delayed by `ms` milliseconds before they are handled.
     * - `dropReply`: requests are executed, but the connection is closed instead of sending the reply.
     * - `hang`: requests are accepted and never answered.
     * - `dieMidStream`: the connection is closed `ms` milliseconds after the request was accepted.
     * - `leave`: the upstream reports that it is leaving.
     */
    fault: z.enum(["down", "slow", "dropReply", "hang", "dieMidStream", "leave"]),
    on: z.boolean(),
    ms: iniNumber(0).default(1000),
    /** Number of requests after which the fault is cleared; 0 for no limit. */
    count: iniNumber(0).default(0),
});
export type FaultChange = z.infer<typeof faultChangeSchema>;
export type FaultName = FaultChange["fault"];

interface ActiveFault {
    readonly ms: number;
    remaining: number;
}

/** The active faults of one stand-in. */
export class Faults {
    private readonly active = new Map<FaultName, ActiveFault>();

    apply(change: FaultChange): void {
        if (change.on) {
            this.active.set(change.fault, { ms: change.ms, remaining: change.count || Infinity });
        }
        else {
            this.active.delete(change.fault);
        }
    }

    /** Whether a fault is active; does not count towards its request limit. */
    isSet(fault: FaultName): boolean {
        return this.active.has(fault);
    }

    /** Counts one request against a fault. Returns its `ms` if it is active, and undefined otherwise. */
    consume(fault: FaultName): number | undefined {
        const entry = this.active.get(fault);
        if (entry === undefined) {
            return undefined;
        }
        entry.remaining -= 1;
        if (entry.remaining <= 0) {
            this.active.delete(fault);
        }
        return entry.ms;
    }

    /** Applies the faults that take effect before a request is handled. Returns false if it must not be handled. */
    async beforeRequest(req: IncomingMessage): Promise<boolean> {
        if (this.consume("down") !== undefined) {
            req.socket.destroy();
            return false;
        }
        if (this.consume("hang") !== undefined) {
            return false;
        }
        const slowMs = this.consume("slow");
        if (slowMs !== undefined) {
            await delay(slowMs);
        }
        return true;
    }

    /** Sends a JSON response, or closes the connection if `dropReply` is active. */
    sendReply(req: IncomingMessage, res: ServerResponse, status: number, body: unknown): void {
        if (this.consume("dropReply") !== undefined) {
            req.socket.destroy();
            return;
        }
        sendJson(res, status, body);
    }
}

/** Sends a JSON response. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};
