/** The state that an instance that asks for permits keeps for one workspace. */
import type { QuotaTerms } from "@marigolddrift/policy";

import type { GrantedPermit } from "./callPermit.js";
import { RecentCount } from "./recentCount.js";

/** Time over which the use of permits is averaged. */
const useMemoryMs = 1_000;

/** Permits are asked for in advance for the use that is expected in this time. */
const aheadMs = 150;

/** Time before its end from which an idle permit is not used for another call. */
const minLeftMs = 20;

/** Shortest time between two log lines about refusals. */
const logIntervalMs = 1_000;

/** The idle permits of one workspace, its recent use, and its refusals. */
export class WorkspacePermits {
    private idle: GrantedPermit[] = [];
    private readonly uses = new RecentCount(useMemoryMs);
    private refusals = 0;
    private loggedAt = -Infinity;

    constructor(readonly name: string, readonly slot: number, public terms: QuotaTerms) {}

    /** Number of idle permits, including those that have expired and are not returned yet. */
    get idlePermits(): number {
        return this.idle.length;
    }

    /** Takes an idle permit that is valid for a while; undefined if there is none. */
    takeIdle(now: number): GrantedPermit | undefined {
        const index = this.idle.findIndex(({ expiresAt }) => expiresAt - now > minLeftMs);
        return index < 0 ? undefined : this.idle.splice(index, 1)[0];
    }

    addIdle(permit: GrantedPermit): void {
        this.idle.push(permit);
    }

    /** Removes and returns the idle permits that expired a while ago. */
    removeLapsed(now: number, sinceMs: number): GrantedPermit[] {
        const isLapsed = ({ expiresAt }: GrantedPermit): boolean => now - expiresAt >= sinceMs;
        const lapsed = this.idle.filter(isLapsed);
        if (lapsed.length > 0) {
            this.idle = this.idle.filter(permit => !isLapsed(permit));
        }
        return lapsed;
    }

    recordUse(now: number): void {
        this.uses.add(1, now);
    }

    /** Number of permits to ask for in advance; 0 unless the workspace is busy here. */
    wantedAhead(now: number): number {
        const usable = this.idle.filter(({ expiresAt }) => expiresAt - now > minLeftMs).length;
        return Math.max(0, Math.floor(this.uses.perSecond(now) * aheadMs / 1_000) - usable);
    }

    recordRefusal(): void {
        this.refusals += 1;
    }

    /** Number of refusals since the last log line, if it is time for another one; otherwise 0. */
    takeRefusals(now: number): number {
        if (this.refusals === 0 || now - this.loggedAt < logIntervalMs) {
            return 0;
        }
        const count = this.refusals;
        this.refusals = 0;
        this.loggedAt = now;
        return count;
    }
}
