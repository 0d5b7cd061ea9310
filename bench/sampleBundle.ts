/** Builds the bundle of a fleet on this machine. */
import { createHash } from "node:crypto";

/** An availability zone of a fleet. */
export interface ZoneLayout {
    readonly zone: string;
    readonly region: string;
    readonly daemons: number;
    readonly engines: number;
    readonly services: number;
}

/** One user's fleet. */
export interface FleetLayout {
    readonly user: string;
    readonly workspace: string;
    /** Key of the workspace's callers. */
    readonly callerKey: string;
    readonly pool: string;
    readonly model: string;
    /** Service whose calls must not be repeated. */
    readonly service: string;
    /** Service whose calls may be repeated. */
    readonly lookup: string;
    readonly zones: readonly ZoneLayout[];
    /** Agents, with what the bundle says of them. */
    readonly agents: Readonly<Record<string, Readonly<Record<string, string | number>>>>;
}

export const barbeDouce: FleetLayout = {
    user: "barbe-douce",
    workspace: "barbe-douce",
    callerKey: "key-of-barbe-douce",
    pool: "floss-brain",
    model: "floss-brain",
    service: "cart-ops",
    lookup: "cart-stock",
    zones: [
        { zone: "tunis-a", region: "tunis-north", daemons: 3, engines: 3, services: 1 },
        { zone: "tunis-b", region: "tunis-north", daemons: 2, engines: 3, services: 1 },
        { zone: "sfax-a", region: "sfax-south", daemons: 2, engines: 2, services: 1 },
    ],
    agents: {
        "restock-planner": { priority: 4, budget: 60_000, deadlineSeconds: 300 },
        "route-supervisor": { priority: 5, budget: 400_000, deadlineSeconds: 900 },
    },
};

export const brazos: FleetLayout = {
    user: "brazos",
    workspace: "brazos",
    callerKey: "key-of-brazos-fill",
    pool: "agentfloor",
    model: "agentfloor",
    service: "ordersdesk",
    lookup: "tyre-table",
    zones: [
        { zone: "waco-1", region: "blackland", daemons: 2, engines: 2, services: 1 },
        { zone: "temple-2", region: "blackland", daemons: 2, engines: 2, services: 1 },
        { zone: "amarillo-1", region: "highplains", daemons: 2, engines: 2, services: 1 },
    ],
    agents: {
        "fill-quote": { priority: 3, budget: 40_000, deadlineSeconds: 180 },
        "rig-guide": { priority: 5, budget: 400_000, deadlineSeconds: 900 },
    },
};

/**
 * A fleet of the same user in one availability zone with one service.
 *
 * @example
 * const fleet = new LocalFleet({ layout: inOneZone(barbeDouce, { daemons: 2, engines: 1 }) });
 */
export const inOneZone = (layout: FleetLayout, counts: Pick<ZoneLayout, "daemons" | "engines">): FleetLayout => {
    const { zone, region } = layout.zones[0]!;
    return { ...layout, zones: [{ zone, region, ...counts, services: 1 }] };
};

/** Addresses of the upstreams, as `zone=host:port`. */
export interface FleetAddresses {
    readonly engines: readonly string[];
    readonly services: readonly string[];
}

/** Renders sections of INI. */
export const renderIni = (
    sections: Readonly<Record<string, Readonly<Record<string, string | number | boolean>>>>,
): string =>
    Object.entries(sections)
        .map(([name, keys]) =>
            `[${name}]\n${Object.entries(keys).map(([key, value]) => `${key} = ${value}\n`).join("")}`
        )
        .join("\n");

/** The bundle of a fleet, in INI. */
export const renderBundle = (
    layout: FleetLayout,
    addresses: FleetAddresses,
    operators: Readonly<Record<string, string>>,
    extra: {
        readonly version?: number;
        readonly limits?: Record<string, string | number>;
        readonly pool?: Record<string, string | number | boolean>;
    } = {},
): string => {
    const zones = Object.fromEntries(layout.zones.map(({ zone, region }) => [`zone.${zone}`, { region }]));
    const agents = Object.entries(layout.agents).map((
        [name, keys],
    ) => [`agent.${name}`, { model: layout.model, ...keys }] as const);
    const keys = Object.entries(operators).map((
        [name, publicKey],
    ) => [`operator.${name}`, { publicKey: `"${publicKey}"` }] as const);
    return renderIni({
        bundle: { version: extra.version ?? 1, title: `first bundle of ${layout.user}` },
        limits: { slots: 64, ...extra.limits },
        ...zones,
        ...Object.fromEntries(keys),
        [`workspace.${layout.workspace}`]: { keySha256: createHash("sha256").update(layout.callerKey).digest("hex") },
        ...Object.fromEntries(agents),
        [`pool.${layout.pool}`]: {
            models: layout.model,
            workers: addresses.engines.join(","),
            checksFencing: true,
            ...extra.pool,
        },
        [`service.${layout.service}`]: { upstreams: addresses.services.join(","), idempotent: false },
        [`service.${layout.lookup}`]: { upstreams: addresses.services.join(","), idempotent: true },
    });
};
