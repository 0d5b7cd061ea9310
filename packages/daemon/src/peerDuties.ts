/** What a daemon tells its peers, and how it answers them. */
import type { Progress } from "@marigolddrift/common";

import type { BundleManager } from "./controllers/bundleManager.js";
import type { Membership, MembershipEvents, Peer } from "./controllers/membership.js";
import type { Slots } from "./controllers/slots.js";
import type { Sweeper } from "./controllers/sweeper.js";
import type { Upstreams } from "./controllers/upstreams.js";
import type { Owner } from "./owner.js";
import type { Identity } from "./peers/identity.js";
import type { ControlRequest, Heartbeat } from "./peers/messages.js";
import type { PeerHandlers } from "./peers/peerServer.js";

/** The components that know the answers; read only when a peer asks. */
export interface PeerComponents {
    readonly identity: Identity;
    readonly bundles: BundleManager;
    readonly membership: Membership;
    readonly slots: Slots;
    readonly upstreams: Upstreams;
    readonly owner: Owner;
    readonly sweeper: Sweeper;
}

/** Returns what is done when the members of the fleet change, and what they are told regularly. */
export const createMembershipEvents = (of: PeerComponents): MembershipEvents => ({
    onPeerUp: reachablePeer =>
        reachablePeer.link.send({ type: "slots", version: of.slots.version, owned: of.slots.announcement() }),
    onPeerDead: instance => of.slots.directory.removeOwner(instance),
    onInstanceList: instances => of.upstreams.onInstanceList(instances),
    onHeartbeat: (from, { loads }) => {
        of.upstreams.onPeerLoads(loads);
        void of.bundles.onPeerVersion(from);
    },
    heartbeat: to => heartbeatFor(of, to),
});

/** Returns the handlers of the messages and requests of peers. */
export const createPeerHandlers = (of: PeerComponents): PeerHandlers => ({
    onHello: hello => of.membership.onHello(hello),
    onClosed: hello => of.membership.onClosed(hello),
    onHeartbeat: (hello, heartbeat) => of.membership.onHeartbeat(hello, heartbeat),
    onSlots: (hello, _, owned) => of.slots.onPeerAnnouncement(hello.instance, owned),
    onUpstreams: notices => of.upstreams.onPeerNotices(notices),
    answer: (req, progress) => of.owner.answer(req, progress),
    onControlRequest: (request, progress) => answerControlRequest(of, request, progress),
});

const heartbeatFor = (of: PeerComponents, to: Peer): Heartbeat => ({
    type: "heartbeat",
    leaving: of.membership.leaving,
    bundle: of.bundles.version,
    slotsVersion: of.slots.version,
    periodMs: of.membership.heartbeatPeriodMs(to),
    loads: to.region === of.identity.region ? of.upstreams.polledLoads() : [],
});

const answerControlRequest = async (
    of: PeerComponents,
    request: ControlRequest,
    progress: Progress,
): Promise<unknown> => {
    if (request.kind === "handOver") {
        return await of.slots.handOver(request.slot, progress);
    }
    return request.kind === "bundle" ? of.bundles.currentRelease : of.sweeper.selectReleasable(request.programs);
};
