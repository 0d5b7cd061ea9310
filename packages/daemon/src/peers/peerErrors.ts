/** Errors of requests to a peer. */
import VError from "verror";

/** There is no connection to the peer, or it was lost during the request. */
export class PeerLostError extends VError {
    /** @param sent Whether the peer may have received any part of the request. */
    constructor(readonly peer: string, readonly sent: boolean) {
        super({ name: "PeerLostError" }, "the connection to %s was lost", peer);
    }
}

/** The peer does not own the slot. */
export class NotOwnerError extends VError {
    /** @param owner Instance that owns the slot, if known. */
    constructor(readonly slot: number, readonly owner?: string) {
        super({ name: "NotOwnerError" }, "slot %d is owned by %s", slot, owner ?? "another instance");
    }
}
