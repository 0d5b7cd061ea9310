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

/** Serves GET requests for a single path. */
export class StatusServer {
    private readonly server = createServer();
    private readonly app;

    constructor(path: string, respond: () => Promise<StatusResponse> | StatusResponse) {
        this.app = polka({ server: this.server }).get(path, (_, res) => {
            void Promise.resolve(respond()).then(({ status, contentType, body }) => {
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
