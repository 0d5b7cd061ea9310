/** Looks a record up in several places, in stages. */
import { delay } from "@marigolddrift/common";

import type { TurnRecord } from "../turns/turnRecord.js";

/** Delay before a lookup proceeds to the next stage: above a round trip within the region. */
const lookupStageMs = 60;

/** Looks a turn up in one place. Undefined means that it is not there. */
export type Lookup = () => Promise<TurnRecord | undefined>;

/**
 * Runs lookups in stages and resolves to the first record found, or to undefined if there is none. Rejects if a lookup
 * failed and no other found the record. A stage starts when all earlier lookups have ended without a record, or after
 * `lookupStageMs`: querying all servers at once for every turn of a busy fleet would overload them.
 */
export const findInStages = async (stages: readonly (readonly Lookup[])[]): Promise<TurnRecord | undefined> => {
    const started: Promise<TurnRecord | undefined>[] = [];
    for (const stage of stages) {
        started.push(...stage.map(lookup => lookup()));
        const all = firstFound(started);
        const found = await (stage === stages.at(-1) ? all : Promise.race([
            all.catch(() => undefined),
            delay(lookupStageMs),
        ]));
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
};

/** Resolves to the first record found, or to undefined if there is none. Rejects if one failed and none was found. */
const firstFound = async (lookups: readonly Promise<TurnRecord | undefined>[]): Promise<TurnRecord | undefined> => {
    const found = await Promise.any(lookups.map(async lookup => {
        const value = await lookup;
        if (value === undefined) {
            throw new Error("not found");
        }
        return value;
    })).catch(() => undefined);
    // No record was found: rejects if a lookup failed, since the record may exist there.
    return found ?? (await Promise.all(lookups)).find(value => value !== undefined);
};
