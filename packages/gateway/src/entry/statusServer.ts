/** HTTP server for a status endpoint, such as readiness or metrics, on its own port. */
import { asError, attachRouter, openPort, silentLogger } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { createServer } from "node:http";
import polka from "polka";

/** Response to a GET request. */
export interface StatusResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** Answers a GET request with the given query. */
export type StatusResponder = (query: URLSearchParams) => Promise<StatusResponse> | StatusResponse;

/** Serves GET requests for a path, and for others that are added. */
export class StatusServer {
    private readonly server = createServer();
    private readonly app;

    constructor(private readonly path: string, respond: StatusResponder, private readonly log: Logger = silentLogger) {
        this.app = polka({ server: this.server });
        attachRouter(this.server, this.app);
        this.add(path, respond);
    }

    /** Serves another path. */
    add(path: string, respond: StatusResponder): void {
        this.app.get(path, (req, res) => {
            const query = new URLSearchParams(req.url.split("?")[1]);
            void Promise.resolve(respond(query)).then(({ status, contentType, body }) => {
                res.writeHead(status, { "content-type": contentType, "content-length": Buffer.byteLength(body) });
                res.end(body);
            });
        });
    }

    /**
     * Resolves to the port once the server listens, or to undefined if it can't: an endpoint that only observes ends nothing.
     *
     * @param signal Ends the wait for the port.
     */
    async listen(host: string, port: number, signal?: AbortSignal): Promise<number | undefined> {
        const { log, path } = this;
        try {
            return await openPort(this.server, { name: path, host, ports: [port], log, signal });
        }
        catch (err) {
            log.error("listener not opened", { listener: path, host, port, error: asError(err).message });
            return undefined;
        }
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
