/**
 * TLS between daemons. Clients read the certificate files for each connection and servers on each reload, so that keys
 * can be rotated without a restart.
 */
import { readFileSync } from "node:fs";
import { createServer } from "node:https";
import type { Server } from "node:https";

/** TLS options of an outgoing connection. */
export interface TlsClientOptions {
    readonly ca?: Buffer;
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly rejectUnauthorized: boolean;
    readonly checkServerIdentity: () => boolean;
}

/** Certificate, key and certificate authority of this instance. */
export class TlsFiles {
    constructor(
        private readonly files: { readonly cert: string; readonly key: string; readonly ca?: string | undefined; },
    ) {}

    clientOptions(): TlsClientOptions {
        return { ...this.read(), rejectUnauthorized: true, checkServerIdentity: () => true };
    }

    /** Creates a server that requires a client certificate from the same certificate authority. */
    createServer(): Server {
        return createServer({ ...this.read(), requestCert: true, rejectUnauthorized: true });
    }

    /** Reloads the certificate files of a running server. */
    reload(server: Server): void {
        server.setSecureContext(this.read());
    }

    private read(): { cert: Buffer; key: Buffer; ca?: Buffer; } {
        const { cert, key, ca } = this.files;
        return { cert: readFileSync(cert), key: readFileSync(key), ...(ca ? { ca: readFileSync(ca) } : {}) };
    }
}
