/** Failures of a request that was sent to a peer. */
import VError from "verror";

/** The connection to the owner is not there, or was lost. */
export class PeerLostError extends VError {
    /** @param sent Whether any of the request may have reached the peer. */
    constructor(readonly peer: string, readonly sent: boolean) {
        super({ name: "PeerLostError" }, "the connection to %s was lost", peer);
    }
}

/** The peer does not own the slot. */
export class NotOwnerError extends VError {
    /** @param owner Instance that owns the slot, if it is known. */
    constructor(readonly slot: number, readonly owner?: string) {
        super({ name: "NotOwnerError" }, "slot %d belongs to %s", slot, owner ?? "another instance");
    }
}
