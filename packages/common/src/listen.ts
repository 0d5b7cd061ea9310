/** Starts HTTP servers. */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Polka } from "polka";

/** Starts listening, on any free port if `port` is 0; returns the actual port. */
export const listen = async (app: Polka, server: Server, host: string, port: number): Promise<number> => {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        app.listen(port, host, () => resolve());
    });
    return (server.address() as AddressInfo).port;
};
