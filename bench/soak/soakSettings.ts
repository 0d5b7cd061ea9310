/** Settings files of the processes in a soak. */
import { ports } from "./machine.js";
import type { Machine } from "./machine.js";
import { memoryMbOf } from "./memoryWatch.js";

/** Bounds that the settings name, in the platform's units. */
export const bounds = {
    graceS: 8,
    contactMs: 4_000,
    drainMs: 2_500,
    configApplyMs: 2_500,
    lossSlackMs: 200,
    recoverS: 12,
    quotaWindowS: 5,
    quotaOver: 0.1,
    quotaSlack: 20,
};

/** Region that the platform's store stands in. */
const storeRegion = "north";

const regionOf = (zone: string): string => zone.split("-")[0]!;

/** Addresses of the platform's store, in its own region and in the other one. */
export interface StoreAddresses {
    readonly near: string;
    readonly far: string;
}

/** What the settings of a machine name beside the machine itself. */
export interface SettingsOptions {
    readonly dataDir: string;
    /** Whether the whole system starts for the first time. */
    readonly firstStart: boolean;
    readonly withQuotas: boolean;
    readonly addresses: StoreAddresses;
}

/** Returns the text of a machine's settings file. */
export const settingsText = (
    { name, zone, ip, role }: Machine,
    { dataDir, firstStart, withQuotas, addresses }: SettingsOptions,
): string => {
    const region = regionOf(zone);
    const { graceS, contactMs, drainMs, configApplyMs, quotaWindowS, quotaOver, quotaSlack } = bounds;
    const quotaBounds = [
        `quotaWindowS = ${quotaWindowS}`,
        `quotaOver = ${quotaOver}`,
        `quotaSlack = ${quotaSlack}`,
    ];
    return [
        `node = "${name}"`,
        `ip = "${ip}"`,
        `zone = "${zone}"`,
        `region = "${region}"`,
        `innerPorts = [${ports.inner.join(", ")}]`,
        `firstStart = ${firstStart}`,
        ...(role === "store" ? [`dataDir = "${dataDir}"`] : []),
        "[zones]",
        "north-a = \"north\"",
        "north-b = \"north\"",
        "south-a = \"south\"",
        "[listen]",
        ...(role === "front" ? [`front = "${ip}:${ports.front}"`, `ready = "${ip}:${ports.ready}"`] : []),
        "[limits]",
        `memoryMb = ${memoryMbOf({ role })}`,
        "[tolerate]",
        "machines = 1",
        "[bounds]",
        `graceS = ${graceS}`,
        `contactMs = ${contactMs}`,
        `drainMs = ${drainMs}`,
        `configApplyMs = ${configApplyMs}`,
        ...(withQuotas ? quotaBounds : []),
        "[platform]",
        `address = "${region === storeRegion ? addresses.near : addresses.far}"`,
        "",
    ].join("\n");
};
