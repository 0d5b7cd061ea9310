/** Small servers beside the callers' port: readiness and metrics. */
import { listen } from "@marigolddrift/common";
import { createServer } from "node:http";
import polka from "polka";

/** An answer to a GET request. */
export interface StatusAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** Answers one path. */
export class StatusServer {
    private readonly server = createServer();
    private readonly app;

    constructor(path: string, answer: () => Promise<StatusAnswer> | StatusAnswer) {
        this.app = polka({ server: this.server }).get(path, (_, res) => {
            void Promise.resolve(answer()).then(({ status, contentType, body }) => {
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
