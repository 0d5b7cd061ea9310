/** TLS between daemons, from files that are read again at each connection, so that keys rotate without a restart. */
import { readFileSync } from "node:fs";
import { createServer } from "node:https";
import type { Server } from "node:https";

/** Options of an outgoing connection. */
export interface TlsClientOptions {
    readonly ca?: Buffer;
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly rejectUnauthorized: boolean;
    readonly checkServerIdentity: () => boolean;
}

/** Certificate, key and authority of this instance. */
export class TlsFiles {
    constructor(
        private readonly files: { readonly cert: string; readonly key: string; readonly ca?: string | undefined; },
    ) {}

    clientOptions(): TlsClientOptions {
        return { ...this.read(), rejectUnauthorized: true, checkServerIdentity: () => true };
    }

    /** Creates a server that demands a certificate of the same authority. */
    createServer(): Server {
        return createServer({ ...this.read(), requestCert: true, rejectUnauthorized: true });
    }

    /** Lets a running server use the files as they are now. */
    reload(server: Server): void {
        server.setSecureContext(this.read());
    }

    private read(): { cert: Buffer; key: Buffer; ca?: Buffer; } {
        const { cert, key, ca } = this.files;
        return { cert: readFileSync(cert), key: readFileSync(key), ...(ca ? { ca: readFileSync(ca) } : {}) };
    }
}
