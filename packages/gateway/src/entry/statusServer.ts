/** HTTP server for a status endpoint, such as readiness or metrics, on its own port. */
import { listen } from "@marigolddrift/common";
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

    constructor(path: string, respond: StatusResponder) {
        this.app = polka({ server: this.server });
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

    listen(host: string, port: number): Promise<number> {
        return listen(this.app, this.server, host, port);
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
