/** Answers the requests that peers send to a front instance. */
import type { Progress } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import type { Budgets } from "../budgets/budgets.js";
import type { RegionBudgets } from "../budgets/regionBudgets.js";
import type { Builds } from "../builds/builds.js";
import type { DrainController } from "../drainController.js";
import type { FactExchange } from "../facts/factExchange.js";
import type { JournalArchive } from "../journal/journalArchive.js";
import type { Permits } from "../limits/permits.js";
import type { Quotas } from "../quotas/quotas.js";
import type { WatchedPrefix } from "../state/watchedPrefix.js";
import { packTurn } from "../turns/turnRecord.js";
import type { LoadExchange } from "../upstreams/loadExchange.js";
import { peerName } from "./peerMessages.js";
import type { JournalRequest, PeerRequest } from "./peerMessages.js";
import type { Peers } from "./peers.js";
import type { RequestHandler } from "./peerServer.js";
import { handleStoreRequest } from "./storeRequests.js";

/** The components that answer. */
export interface FrontComponents {
    readonly drainController: Pick<DrainController, "standing">;
    readonly budgets: Pick<Budgets, "returnUnspent">;
    readonly regionBudgets: Pick<RegionBudgets, "reserveForPeer" | "settleForPeer">;
    readonly loadExchange: Pick<LoadExchange, "onReport">;
    readonly facts: Pick<FactExchange, "onRequest">;
    readonly permits: Pick<Permits, "onRequest">;
    /** Undefined if no quotas are enforced. */
    readonly quotas: Pick<Quotas, "onRequest" | "countsWith"> | undefined;
    readonly peers: Pick<Peers, "add">;
    readonly journalArchive: Pick<JournalArchive, "loadForPeer">;
    readonly builds: Pick<Builds, "prepareForPeer">;
    /** The platform's store, reached directly. */
    readonly store: VersionedStore;
    /** Whether callers can connect, and the instance knows what it needs to serve them. */
    canServe(): boolean;
    /** The followed part of the store that has a prefix. */
    followed(prefix: string): Pick<WatchedPrefix, "reader">;
}

/**
 * Returns the handler of a front instance.
 *
 * @example
 * new PeerServer(() => peers.key, createFrontHandler(components), log);
 */
export const createFrontHandler = (of: FrontComponents): RequestHandler => async (request, progress) =>
    await handleRequest(of, request, progress);

const handleRequest = async (
    of: FrontComponents,
    request: PeerRequest | JournalRequest,
    progress: Progress,
): Promise<unknown> => {
    switch (request.kind) {
        case "standing":
            return of.drainController.standing(of.canServe());
        case "recognize":
            of.peers.add(request.machine, request.address);
            return of.quotas?.countsWith(peerName(request.address)) ?? true;
        case "returnBudget":
            return await of.budgets.returnUnspent(request.program, progress);
        case "followed": {
            const { prefix, revision, waitMs } = request;
            return await of.followed(prefix).reader.readForPeer(prefix, revision, waitMs, progress);
        }
        case "shareLoad":
            return of.loadExchange.onReport(request.instance, request.load);
        case "shareFacts":
            return await of.facts.onRequest(request, progress);
        case "takePermits":
            return await of.permits.onRequest(request, progress);
        case "takeQuota":
            return of.quotas?.onRequest(request);
        case "prepareBuilds":
            return await of.builds.prepareForPeer(request);
        case "loadTurn": {
            const turn = await of.journalArchive.loadForPeer(request, progress);
            return turn && packTurn(turn);
        }
        case "reserveTokens":
            return await of.regionBudgets.reserveForPeer(request, progress);
        case "settleTokens":
            return await of.regionBudgets.settleForPeer(request);
        case "get":
        case "range":
        case "changes":
        case "txn":
            return await handleStoreRequest(of.store, request, progress);
        case "keepTurn":
        case "findTurn":
        case "turnsFlushed":
        case "recordStreams":
        case "findStream":
        case "recordBeginning":
        case "findBeginnings":
            throw new Error("this instance keeps no turns");
    }
};
