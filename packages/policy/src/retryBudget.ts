/** Limits retries to a fraction of regular requests, so that retries do not amplify an outage. */

/** Maximum number of unused retries that accumulate. */
const maxAvailable = 50;

/** Retries available before the first request. */
const initialAvailable = 5;

/** A token bucket of retries that regular requests refill. */
export class RetryBudget {
    private available = initialAvailable;

    constructor(private share: number) {}

    /** Changes the number of retries that each regular request adds. */
    setShare(share: number): void {
        this.share = share;
    }

    /** Refills the budget for a regular request, that is, not a retry. */
    onRequest(): void {
        this.available = Math.min(maxAvailable, this.available + this.share);
    }

    /** Consumes one retry; returns false if none is available. */
    tryAcquire(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
