/** Which instances of a region carry a duty for the others. */
import { RendezvousTable } from "@marigolddrift/common";

import type { PeerClient } from "../peers/peerClient.js";
import type { LocalInstance } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";

/**
 * Number of instances of a region that may coordinate budgets and permits. Bounded, so that an instance needs connections to these only,
 * however large the fleet is; large enough to spread the work, and to go on when several are lost.
 */
const maxCoordinators = 16;

/** Instances per duty to which connections are opened in advance: those that carry it, and their successors. */
const connectedPerDuty = 4;

/** Keys of the duties; instances of all versions must use the same. */
export const duties = { loadAggregator: "load board", factRelay: "fact relay", coordinators: "budget coordinators" };

interface RegionTables {
    readonly version: number;
    /** The name of this instance, which changes when it begins to listen. */
    readonly localName: string;
    readonly members: RendezvousTable;
    readonly coordinators: RendezvousTable;
    /** Order of all members by duty. */
    readonly orders: Map<string, readonly string[]>;
}

/** The part of {@link Peers} from which duties are assigned. */
export type DutyMembers = Pick<Peers, "version" | "namesInRegion" | "getByName">;

/**
 * Assigns the duties of each region by rendezvous hashing over its known front instances. The tables are computed once per
 * version of the member list, so that asking who is responsible costs as much in a large fleet as in a small one.
 *
 * The member lists of two instances may differ for some seconds. No duty depends on all naming the same instance: budgets are spent only
 * from allocations in the store, permits are granted at a lower rate by an instance that is not the first choice, facts and
 * load reports are merged, and a follower of the store reads the store itself when no leader responds.
 *
 * @example
 * const coordinator = duties.coordinatorOf("program-7");
 */
export class Duties {
    private readonly tables = new Map<string, RegionTables>();

    constructor(private readonly localInstance: LocalInstance, private readonly members: DutyMembers) {}

    /** Names of a region's instances in the order in which they carry a duty, whether or not they respond. */
    order(duty: string, region = this.localInstance.region): readonly string[] {
        const { orders, members } = this.tablesOf(region);
        const known = orders.get(duty);
        if (known !== undefined) {
            return known;
        }
        const order = members.rank(duty);
        orders.set(duty, order);
        return order;
    }

    /** The first `count` instances that carry a duty and respond as far as known. */
    carriers(duty: string, count: number, isEligible: (name: string) => boolean, region?: string): string[] {
        const carriers: string[] = [];
        for (const name of this.order(duty, region)) {
            if (carriers.length === count) {
                break;
            }
            if (isEligible(name)) {
                carriers.push(name);
            }
        }
        return carriers;
    }

    /** The peer that coordinates the budget of a program in this region; undefined if this instance does. */
    coordinatorOf(program: string): PeerClient | undefined {
        const localName = this.localInstance.address();
        const { region } = this.localInstance;
        const isEligible = (name: string): boolean => name === localName || this.isUsable(name);
        const name = this.firstCoordinator(program, region, isEligible);
        return name === undefined || name === localName ? undefined : this.members.getByName(name);
    }

    /** The instance that answers for a key among a region's coordinators; undefined if none is eligible. */
    firstCoordinator(key: string, region: string, isEligible?: (name: string) => boolean): string | undefined {
        return this.tablesOf(region).coordinators.first(key, isEligible);
    }

    /** Names of the peers that are likely to carry one of the given duties. */
    likelyCarriers(dutyKeys: readonly string[]): string[] {
        return [...new Set(dutyKeys.flatMap(duty => this.order(duty).slice(0, connectedPerDuty)))];
    }

    /** Names of the peers of this region that calls of this instance are likely to need. */
    partners(): string[] {
        const { coordinators } = this.tablesOf(this.localInstance.region);
        return [...this.likelyCarriers([duties.factRelay, duties.loadAggregator]), ...coordinators.names];
    }

    private isUsable(name: string): boolean {
        return this.members.getByName(name)?.isUsable === true;
    }

    private tablesOf(region: string): RegionTables {
        const known = this.tables.get(region);
        const localName = this.localInstance.address();
        const { version } = this.members;
        if (known?.version === version && known.localName === localName) {
            return known;
        }
        const local = region === this.localInstance.region ? [localName] : [];
        const members = new RendezvousTable([...this.members.namesInRegion(region), ...local]);
        const coordinators = new RendezvousTable(members.rank(duties.coordinators).slice(0, maxCoordinators));
        const tables = { version, localName, members, coordinators, orders: new Map<string, readonly string[]>() };
        this.tables.set(region, tables);
        return tables;
    }
}
