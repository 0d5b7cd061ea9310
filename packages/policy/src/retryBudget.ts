/** Bounds extra attempts to a share of ordinary requests, so that retries cannot multiply a failure. */

/** Attempts that are saved up at most. */
const maxSaved = 50;

/** Attempts that are available before any request was made. */
const initialSaved = 5;

/** A budget of retries. */
export class RetryBudget {
    private saved = initialSaved;

    constructor(private share: number) {}

    /** Changes the share of retries per request. */
    setShare(share: number): void {
        this.share = share;
    }

    /** Notes an ordinary request. */
    onRequest(): void {
        this.saved = Math.min(maxSaved, this.saved + this.share);
    }

    /** Takes one retry from the budget, if one is left. */
    tryTake(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
