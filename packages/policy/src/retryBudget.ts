/** Limits retries to a fraction of regular requests, so that retries do not amplify an outage. */
import { CallBudget } from "./callBudget.js";

/** Maximum number of unused retries that accumulate. */
const maxAvailable = 50;

/** Retries available before the first request. */
const initialAvailable = 5;

/** A token bucket of retries that regular requests refill. */
export class RetryBudget {
    private readonly retries = new CallBudget({ initial: initialAvailable, max: maxAvailable });

    constructor(private share: number) {}

    /** Changes the number of retries that each regular request adds. */
    setShare(share: number): void {
        this.share = share;
    }

    /** Refills the budget for a regular request, that is, not a retry. */
    onRequest(): void {
        this.retries.add(this.share);
    }

    /** Consumes one retry; returns false if none is available. */
    tryAcquire(): boolean {
        return this.retries.tryAcquire();
    }
}
