/** Workspaces of a configuration, and how a call is assigned to one. */
import { digest } from "@marigolddrift/common";

/** Requests that a workspace may make through all instances together. */
export interface Quota {
    readonly perSecond: number;
    /** Requests that may be made at once after a pause, beyond the rate. */
    readonly burst: number;
}

/** A customer's unit of isolation, with API keys of its own. */
export interface Workspace {
    readonly name: string;
    /** Digests of the API keys; the keys themselves are not kept. */
    readonly keyDigests: readonly string[];
    /** Takes precedence over the priorities of routes; 0 is the highest. Undefined if the routes decide. */
    readonly priority: number | undefined;
    /** Undefined if the requests are not limited. */
    readonly quota: Quota | undefined;
}

/** Length of the part of a workspace's digest that distinguishes names of several workspaces. */
const scopeLength = 12;

/**
 * Returns the digest under which an API key is known.
 *
 * @example
 * const workspace = { name: "north", keyDigests: [keyDigest(key)], priority: undefined, quota: undefined };
 */
export const keyDigest = (key: string): string => digest("api key", key);

/**
 * Returns a name that a caller chose, such as the id of a turn or a program, as it is known inside: two workspaces that
 * choose the same name do not share what belongs to it.
 *
 * @example
 * scopedName(undefined, "9c41d07be2a35f68") === "9c41d07be2a35f68";
 */
export const scopedName = (workspace: Workspace | undefined, name: string): string =>
    workspace === undefined ? name : `${name}@${digest("workspace", workspace.name).slice(0, scopeLength)}`;

/** Bounds of the weight of a workspace, so that an extreme quota starves neither the others nor the workspace itself. */
const minWeight = 1 / 8;
const maxWeight = 8;

/** Finds workspaces by API key. A look-up takes the same time whatever the number of keys. */
export class WorkspaceTable {
    private readonly byKeyDigest = new Map<string, Workspace>();
    /** Mean of the quotas, in requests a second; undefined if there are none. */
    private readonly meanQuota: number | undefined;

    constructor(workspaces: readonly Workspace[]) {
        const quotas = workspaces.flatMap(({ quota }) => quota === undefined ? [] : [quota.perSecond]);
        this.meanQuota = quotas.length === 0 ? undefined : quotas.reduce((sum, rate) => sum + rate, 0) / quotas.length;
        for (const workspace of workspaces) {
            workspace.keyDigests.forEach(keyDigest => this.byKeyDigest.set(keyDigest, workspace));
        }
    }

    /**
     * Returns the workspace that has an API key; undefined if the key is missing or unknown.
     *
     * @example
     * const workspace = table.identify(protocol.readApiKey(req.headers));
     */
    identify(key: string | undefined): Workspace | undefined {
        return key === undefined ? undefined : this.byKeyDigest.get(keyDigest(key));
    }

    /**
     * Returns the share of the upstreams that a workspace is due relative to others: its quota, or 1 without one.
     *
     * @example
     * table.weightOf(ctx.workspace) === 1;
     */
    weightOf(workspace: Workspace | undefined): number {
        const weight = workspace?.quota === undefined || this.meanQuota === undefined ?
            1 :
            workspace.quota.perSecond / this.meanQuota;
        return Math.min(maxWeight, Math.max(minWeight, weight));
    }
}
