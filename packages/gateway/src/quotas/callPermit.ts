/** The permit of one call under the quota of its workspace. */
import type { Progress } from "@marigolddrift/common";

/** A permit that was granted to this instance. */
export interface GrantedPermit {
    /** Monotonic time until which a call may be sent with it. */
    readonly expiresAt: number;
    /** Name of the instance that granted it. */
    readonly granter: string;
}

/** A permit with which a call is being sent. */
export interface TakenPermit {
    /** Takes the permit back, because the upstream did not run the call. */
    refund(): void;
}

/** The program of a call: its digest if this may be its first call, `started` if it is not, undefined if there is none. */
export type ProgramMark = number | "started" | undefined;

/** Asks for and takes back the permits of one workspace. */
export interface PermitPool {
    /** Resolves to a permit. @throws ProblemError `quota_exceeded` if there is none. */
    request(program: ProgramMark): Promise<GrantedPermit>;
    /** Takes back a permit with which nothing was run. */
    giveBack(permit: GrantedPermit): void;
}

/**
 * Holds a permit from the arrival of a call until it is sent. A permit that has expired by then is returned, and another one is
 * asked for.
 */
export class CallPermit {
    private held: GrantedPermit | undefined;
    private asking: Promise<void>;
    private isReleased = false;

    /**
     * @param onGranted Called when a permit was granted.
     */
    constructor(
        private readonly pool: PermitPool,
        program: ProgramMark,
        private readonly onGranted: () => void = () => {},
    ) {
        this.asking = this.request(program);
    }

    /** Resolves once there is a permit. @throws ProblemError `quota_exceeded` if the call is refused. */
    async admitted(progress: Progress): Promise<void> {
        await progress.race(this.asking);
    }

    /**
     * Takes a permit for one attempt; to be used immediately before the call is sent. Two copies of a call take two permits.
     *
     * @example
     * const taken = await permit.take(progress);
     */
    async take(progress: Progress): Promise<TakenPermit> {
        for (;;) {
            await this.admitted(progress);
            const permit = this.held;
            this.held = undefined;
            if (permit !== undefined && performance.now() < permit.expiresAt) {
                return { refund: () => this.refund(permit) };
            }
            if (permit !== undefined) {
                this.pool.giveBack(permit);
            }
            this.asking = this.request(undefined);
        }
    }

    /** Returns what was not used; the call has ended. */
    release(): void {
        this.isReleased = true;
        if (this.held !== undefined) {
            this.pool.giveBack(this.held);
            this.held = undefined;
        }
    }

    private refund(permit: GrantedPermit): void {
        if (this.isReleased || this.held !== undefined) {
            this.pool.giveBack(permit);
        }
        else {
            this.held = permit;
        }
    }

    private request(program: ProgramMark): Promise<void> {
        const asking = this.pool.request(program).then(permit => {
            this.onGranted();
            if (this.isReleased) {
                this.pool.giveBack(permit);
            }
            else {
                this.held = permit;
            }
        });
        // A call that ends before it is sent does not wait for the answer.
        asking.catch(() => {});
        return asking;
    }
}
