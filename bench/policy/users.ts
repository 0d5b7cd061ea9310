/** Availability zones, instances and engines of the two users, as stated in the requirements. */
import type { BenchZone } from "./benchRun.js";

/** A user of the bench. */
export interface BenchUser {
    readonly name: "barbe-douce" | "brazos";
    readonly zones: readonly BenchZone[];
}

export const benchUsers: readonly BenchUser[] = [
    {
        name: "barbe-douce",
        zones: [
            { zone: "tunis-a", region: "tunis-north", instances: 3, engines: 3 },
            { zone: "tunis-b", region: "tunis-north", instances: 2, engines: 3 },
            { zone: "sfax-a", region: "sfax-south", instances: 2, engines: 2 },
        ],
    },
    {
        name: "brazos",
        zones: [
            { zone: "waco-1", region: "blackland", instances: 2, engines: 2 },
            { zone: "temple-2", region: "blackland", instances: 2, engines: 2 },
            { zone: "amarillo-1", region: "highplains", instances: 2, engines: 2 },
        ],
    },
];
