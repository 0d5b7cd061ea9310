/** A listener of somebody else on a port that a process is about to open. */
import { once } from "node:events";
import { createServer } from "node:net";

/**
 * Takes a port, and closes each connection to it at once. Returns what gives the port up.
 *
 * @throws Error if the port is in use.
 * @example
 * const release = await holdPort("127.0.0.1", 9464);
 * release();
 */
export const holdPort = async (host: string, port: number): Promise<() => void> => {
    const server = createServer(socket => socket.on("error", () => {}).destroy());
    server.listen(port, host);
    await once(server, "listening");
    return () => void server.close();
};
