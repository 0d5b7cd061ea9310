/** Store calls that peers relay through this instance. */
import type { Progress } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { PeerRequest } from "./peerMessages.js";

/** Makes a store call on behalf of a peer. The call is never relayed further. */
export const handleStoreRequest = async (
    store: VersionedStore,
    request: Extract<PeerRequest, { kind: "get" | "range" | "changes" | "txn"; }>,
    progress: Progress,
): Promise<unknown> => {
    switch (request.kind) {
        case "get":
            return await store.get(request.key, progress);
        case "range":
            return await store.range(request.prefix, progress, { mayBeStale: request.mayBeStale });
        case "changes":
            return await store.changes(request.prefix, request.revision, request.waitMs, progress);
        case "txn":
            return await store.txn(request.compares, request.puts, progress, request.removals);
    }
};
