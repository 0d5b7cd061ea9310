/** Listens on a port. */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Polka } from "polka";

/** Lets an app listen, on any free port for port 0; returns the port. */
export const listen = async (app: Polka, server: Server, host: string, port: number): Promise<number> => {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        app.listen(port, host, () => resolve());
    });
    return (server.address() as AddressInfo).port;
};
