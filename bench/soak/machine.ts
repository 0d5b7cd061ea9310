/** Machines of a soak, which differ in their address and have their ports in common. */
import { get } from "node:http";

/** A machine of the system. */
export interface Machine {
    readonly name: string;
    readonly role: "front" | "store";
    readonly zone: string;
    readonly ip: string;
}

/** Ports that are the same on all machines. */
export const ports = { front: 8149, ready: 8141, metrics: 9464, inner: [7380, 7395] } as const;

/** Time limit of a readiness check, after which a front doesn't count as ready. */
const readyCheckTimeoutMs = 1_000;

/**
 * Whether a front says that it takes calls.
 *
 * @example
 * await isReady("127.0.0.1") === false; // nothing listens there
 */
export const isReady = (host: string): Promise<boolean> =>
    new Promise(resolve => {
        const req = get({ host, port: ports.ready, path: "/api/ready" }, res => {
            res.resume();
            resolve(res.statusCode === 200);
        });
        req.setTimeout(readyCheckTimeoutMs, () => req.destroy(new Error("the readiness check timed out")));
        req.on("error", () => resolve(false));
    });
