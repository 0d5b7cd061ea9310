/** Limits further attempts of calls to a share of the calls, so that they do not amplify an outage. */

/** Size of a {@link CallBudget}, in attempts. */
export interface BudgetBounds {
    /** Attempts available before the first call. */
    readonly initial: number;
    /** Largest number of unused attempts that accumulate. */
    readonly max: number;
}

/**
 * A token bucket of further attempts that calls refill.
 *
 * @example
 * const budget = new CallBudget({ initial: 0, max: 10 });
 * budget.add(0.02);
 * const mayTryAgain = budget.tryAcquire();
 */
export class CallBudget {
    private available: number;
    private readonly max: number;

    constructor({ initial, max }: BudgetBounds) {
        this.available = initial;
        this.max = max;
    }

    /** Adds attempts, up to the largest number that accumulates. */
    add(attempts: number): void {
        this.available = Math.min(this.max, this.available + attempts);
    }

    /** Takes one attempt; returns false if none is available. */
    tryAcquire(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
