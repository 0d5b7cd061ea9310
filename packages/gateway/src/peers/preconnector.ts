/** Opens connections to peers in advance, so that no call has to wait for one. */
import type { PeerClient } from "./peerClient.js";

/** Interval at which connections are checked while all needed ones are open. */
const connectionCheckMs = 500;

/** Interval at which missing connections are opened, one at a time: opening many at once stalls a small machine. */
const connectIntervalMs = 150;

/** What is connected in advance. */
export interface PreconnectorOptions {
    /** Changes whenever members are added, replaced or removed. */
    version(): number;
    /** The needed peers, most urgent first; asked for once per version. */
    listNeeded(): readonly PeerClient[];
}

/** Opens one missing connection after another. */
export class Preconnector {
    private orderVersion = -1;
    private order: readonly PeerClient[] = [];
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: PreconnectorOptions) {}

    start(): void {
        this.connectNext();
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private connectNext(): void {
        const next = this.currentOrder().find(client => client.isUsable && !client.isConnected && !client.isConnecting);
        void next?.preconnect();
        this.timer = setTimeout(() => this.connectNext(), next === undefined ? connectionCheckMs : connectIntervalMs);
    }

    private currentOrder(): readonly PeerClient[] {
        const version = this.options.version();
        if (this.orderVersion !== version) {
            this.orderVersion = version;
            this.order = this.options.listNeeded();
        }
        return this.order;
    }
}
