/** Kills fronts in turn or all at once, some of them again while they start, as when a site loses power more than once. */
import { delay } from "@marigolddrift/common";

import type { Machine } from "./machine.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakRecord } from "./soakRecord.js";

/** Share of the series that kill all at once, and the longest time between two kills in the others. */
const atOnceShare = 0.5;
const maxGapMs = 600;

const maxDownMs = 1_200;

/** Share of the fronts that are killed again, and the longest time from their start to that. */
const againShare = 0.4;
const maxStartMs = 800;

interface Kill {
    readonly front: Machine;
    /** Time for which the front is away after each kill. */
    readonly downMs: readonly number[];
    /** Time from the start of the front until it is killed again. */
    readonly startMs: number;
}

/** One series. */
export class KillSeries {
    private readonly gapMs: number;
    private readonly kills: readonly Kill[];

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        random: () => number,
        fronts: readonly Machine[],
    ) {
        this.gapMs = random() < atOnceShare ? 0 : Math.round(random() * maxGapMs);
        this.kills = fronts.map(front => {
            const times = random() < againShare ? 2 : 1;
            const downMs = Array.from({ length: times }, () => Math.round(random() * maxDownMs));
            return { front, downMs, startMs: Math.round(random() * maxStartMs) };
        });
    }

    get description(): string {
        const names = this.kills.map(({ front, downMs }) => `${front.name} for ${downMs.join(" and ")} ms`);
        return `${names.join(", ")}, ${this.gapMs} ms apart`;
    }

    /** Resolves once all fronts have been started again. */
    async run(): Promise<void> {
        await Promise.all(this.kills.map(async (kill, index) => {
            await delay(index * this.gapMs);
            await this.record.disturbances.during([kill.front.name], () => this.kill(kill));
        }));
    }

    private async kill({ front, downMs, startMs }: Kill): Promise<void> {
        for (const [index, ms] of downMs.entries()) {
            await delay(index === 0 ? 0 : startMs);
            await this.fleet.restart(front, "SIGKILL", ms);
        }
    }
}
