/** Finds out whether an upstream has ended when the connections of calls to it end. */
import { delay } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { connect } from "node:net";

import type { Upstream, Upstreams } from "../upstreams/upstreams.js";
import type { Fingerprints } from "./fingerprint.js";

/** Timeout of the connection by which an upstream is checked. */
const checkTimeoutMs = 500;

/** Time within which the entry of an upstream that has restarted at once names the new process. */
const restartNoticeMs = 1_500;

/** Handles the end of an upstream with the calls that it had not answered at all. */
export type CrashListener = (upstream: Upstream, calls: readonly Fingerprints[]) => void;

/**
 * Takes an upstream for crashed if calls to it broke off and its address refuses connections, or its entry soon names another
 * process, although it has not said that it leaves. A reset connection, a cut network, a lost answer and a planned end leave
 * other traces.
 */
export class CrashDetector {
    /** The calls that broke off, by upstreams that are being checked. */
    private readonly checked = new Map<Upstream, Fingerprints[]>();

    constructor(
        private readonly upstreams: Pick<Upstreams, "get">,
        private readonly onCrash: CrashListener,
        private readonly log: Logger,
    ) {}

    /** Handles a call that broke off before any of its answer had arrived. */
    onBroken(upstream: Upstream, call: Fingerprints): void {
        const calls = this.checked.get(upstream);
        if (calls !== undefined) {
            calls.push(call);
            return;
        }
        this.checked.set(upstream, [call]);
        void this.check(upstream);
    }

    private async check(upstream: Upstream): Promise<void> {
        const { id, address } = upstream.entry;
        const refused = await refusesConnections(address);
        if (!refused) {
            await delay(restartNoticeMs);
        }
        const calls = this.checked.get(upstream) ?? [];
        this.checked.delete(upstream);
        const present = this.upstreams.get(id);
        const restarted = present !== undefined && present !== upstream;
        const isLeaving = upstream.entry.draining || upstream.isLeaving || present === undefined;
        const crashed = (refused || restarted) && !isLeaving;
        this.log.info("upstream checked", {
            upstream: id,
            refused,
            restarted,
            isLeaving,
            crashed,
            calls: calls.length,
        });
        if (crashed) {
            calls.forEach(({ whole }) => this.log.info("call ended with its upstream", { upstream: id, call: whole }));
            this.onCrash(upstream, calls);
        }
    }
}

const refusesConnections = (address: string): Promise<boolean> => {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host: host!, port: Number(port), timeout: checkTimeoutMs });
        const end = (refused: boolean): void => {
            socket.destroy();
            resolve(refused);
        };
        socket.on("connect", () => end(false));
        socket.on("timeout", () => end(false));
        socket.on("error", err => end((err as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
};
