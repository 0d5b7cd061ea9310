/** Opens the ports of servers, and waits for those that are not free. */
import type { RequestListener, Server as HttpServer } from "node:http";
import type { AddressInfo, Server } from "node:net";
import { setTimeout } from "node:timers/promises";
import type { Polka } from "polka";

import type { Logger } from "./log.js";
import { asError } from "./verdict.js";

/** Interval at which a port that is not free is tried again. */
const retryIntervalMs = 100;

/** Interval at which the wait for a port is logged. */
const waitLogIntervalMs = 5_000;

/** Errors that pass: another process has the port, as a predecessor that still stops, or the address is not there yet. */
const passingCodes: ReadonlySet<string | undefined> = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);

/** Where a server listens. */
export interface ListenOptions {
    /** Name of the server in the log. */
    readonly name: string;
    readonly host: string;
    /** Ports that may be used, in order of preference; 0 for any free one. */
    readonly ports: readonly number[];
    readonly log: Logger;
    /** Ends the wait for a port. */
    readonly signal?: AbortSignal | undefined;
}

/**
 * Opens the first of the ports that is free, and waits while none is. An error of the server after that is logged and ends nothing.
 *
 * @returns The port.
 * @throws Error if no port can be opened for a reason that does not pass, or if the signal is aborted.
 * @example
 * await openPort(server, { name: "callers", host: "10.1.0.38", ports: [8149], log });
 */
export const openPort = async (server: Server, options: ListenOptions): Promise<number> => {
    const { name, host, ports, log, signal } = options;
    const startedAt = performance.now();
    let loggedAt = -Infinity;
    for (;;) {
        signal?.throwIfAborted();
        const err = await tryPorts(server, host, ports);
        if (err === undefined) {
            break;
        }
        if (!passingCodes.has(err.code)) {
            throw err;
        }
        const waitedMs = Math.round(performance.now() - startedAt);
        if (performance.now() - loggedAt > waitLogIntervalMs) {
            loggedAt = performance.now();
            log.warn("waiting for port", { listener: name, host, ports, error: err.message, waitedMs });
        }
        await setTimeout(retryIntervalMs, undefined, { signal });
    }
    const { port } = server.address() as AddressInfo;
    if (loggedAt > 0) {
        const waitedMs = Math.round(performance.now() - startedAt);
        log.info("port opened", { listener: name, host, port, waitedMs });
    }
    server.on(
        "error",
        err => log.error("listener failed", { listener: name, host, port, error: asError(err).message }),
    );
    return port;
};

/** Lets a router answer the requests of a server, whichever port it will listen on. */
export const attachRouter = (server: HttpServer, router: Polka): void =>
    void server.on("request", router.handler.bind(router) as RequestListener);

/** Returns the error of the last port if none could be opened. */
const tryPorts = async (
    server: Server,
    host: string,
    ports: readonly number[],
): Promise<NodeJS.ErrnoException | undefined> => {
    let error: NodeJS.ErrnoException | undefined;
    for (const port of ports) {
        error = await tryPort(server, host, port);
        if (error === undefined) {
            return undefined;
        }
    }
    return error;
};

const tryPort = (server: Server, host: string, port: number): Promise<NodeJS.ErrnoException | undefined> =>
    new Promise(resolve => {
        const onError = (err: NodeJS.ErrnoException): void => {
            server.off("listening", onListening);
            resolve(err);
        };
        const onListening = (): void => {
            server.off("error", onError);
            resolve(undefined);
        };
        server.once("error", onError);
        server.once("listening", onListening);
        server.listen(port, host);
    });
