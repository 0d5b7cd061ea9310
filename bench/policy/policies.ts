/** The scheduler's policy and the baselines that it is measured against. */
import type { OrderFunction } from "@marigolddrift/dispatch";
import { createPlacement, firstComeFirstServed, nextCall } from "@marigolddrift/policy";
import type { PlacementFunction, PlacementName } from "@marigolddrift/policy";

/** A way to schedule. */
export interface BenchPolicy {
    readonly name: string;
    createPlace(): PlacementFunction;
    readonly order: OrderFunction;
    readonly admission: boolean;
    /** Whether calls wait in the scheduler while workers are full, or at the engines. */
    readonly boundsInFlight: boolean;
    /** Whether engines are told priorities. */
    readonly priorities: boolean;
    /** Whether prefixes are kept, demoted or dropped at pauses and released at the end. */
    readonly retention: boolean;
}

const baseline = (name: string, placement: PlacementName): BenchPolicy => ({
    name,
    createPlace: () => createPlacement(placement),
    order: firstComeFirstServed,
    admission: false,
    boundsInFlight: false,
    priorities: false,
    retention: false,
});

export const marigolddrift: BenchPolicy = {
    name: "marigolddrift",
    createPlace: () => createPlacement("expectedFinish"),
    order: nextCall,
    admission: true,
    boundsInFlight: true,
    priorities: true,
    retention: true,
};

export const baselines: readonly BenchPolicy[] = [
    baseline("round robin", "roundRobin"),
    baseline("least outstanding", "leastOutstanding"),
    baseline("consistent hashing", "consistentHashing"),
    baseline("cache affinity", "cacheAffinity"),
    {
        ...marigolddrift,
        name: "first come",
        order: firstComeFirstServed,
        priorities: false,
        retention: false,
        admission: false,
    },
];

/** Parts of the policy alone, to see what each brings. */
export const ablations: readonly BenchPolicy[] = [
    { ...marigolddrift, name: "without retention", retention: false },
    { ...marigolddrift, name: "without ordering", order: firstComeFirstServed, priorities: false },
    { ...marigolddrift, name: "without admission", admission: false },
    { ...marigolddrift, name: "queues at engines", boundsInFlight: false },
];
