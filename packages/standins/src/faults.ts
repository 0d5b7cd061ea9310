/** Faults that are set on a stand-in while it runs. */
import { delay, iniNumber } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";

/** A change of one fault, as sent to `POST /faults`. */
export const faultOrderSchema = z.strictObject({
    /**
     * - `down`: connections are closed at once.
     * - `slow`: answers are delayed by `ms`.
     * - `dropReply`: requests take effect, but their replies are lost.
     * - `hang`: requests are accepted and never answered.
     * - `dieMidStream`: streams are cut after `ms` milliseconds.
     * - `leave`: the upstream reports that it is leaving.
     */
    fault: z.enum(["down", "slow", "dropReply", "hang", "dieMidStream", "leave"]),
    on: z.boolean(),
    ms: iniNumber(0).default(1000),
    /** Number of requests after which the fault ends; 0 for no limit. */
    count: iniNumber(0).default(0),
});
export type FaultOrder = z.infer<typeof faultOrderSchema>;
export type FaultName = FaultOrder["fault"];

interface ActiveFault {
    readonly ms: number;
    left: number;
}

/** The faults of one stand-in. */
export class Faults {
    private readonly active = new Map<FaultName, ActiveFault>();

    apply(order: FaultOrder): void {
        if (order.on) {
            this.active.set(order.fault, { ms: order.ms, left: order.count || Infinity });
        }
        else {
            this.active.delete(order.fault);
        }
    }

    /** Whether a fault is set, without using it up. */
    isSet(fault: FaultName): boolean {
        return this.active.has(fault);
    }

    /** Uses a fault once; returns its time in milliseconds if it is set. */
    take(fault: FaultName): number | undefined {
        const entry = this.active.get(fault);
        if (entry === undefined) {
            return undefined;
        }
        entry.left -= 1;
        if (entry.left <= 0) {
            this.active.delete(fault);
        }
        return entry.ms;
    }

    /** Applies the faults that act before a request is handled; returns false if it must not be handled. */
    async before(req: IncomingMessage): Promise<boolean> {
        if (this.take("down") !== undefined) {
            req.socket.destroy();
            return false;
        }
        if (this.take("hang") !== undefined) {
            return false;
        }
        const slowMs = this.take("slow");
        if (slowMs !== undefined) {
            await delay(slowMs);
        }
        return true;
    }

    /** Sends a JSON answer, unless its reply is to be lost. */
    answer(req: IncomingMessage, res: ServerResponse, status: number, body: unknown): void {
        if (this.take("dropReply") !== undefined) {
            req.socket.destroy();
            return;
        }
        sendJson(res, status, body);
    }
}

/** Sends a JSON answer. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};
