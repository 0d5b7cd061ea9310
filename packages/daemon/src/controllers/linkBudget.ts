/** Rate limit for the bytes that this instance sends to workers of other regions. */

const burstSeconds = 4;

/** A token bucket in bytes. */
export class LinkBudget {
    private availableBytes: number;
    private at = Date.now();

    constructor(private bytesPerSecond: number) {
        this.availableBytes = bytesPerSecond * burstSeconds;
    }

    setRate(bytesPerSecond: number): void {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Takes bytes from the bucket; returns false, and takes none, if fewer are available. */
    tryTake(bytes: number): boolean {
        const now = Date.now();
        const limit = this.bytesPerSecond * burstSeconds;
        this.availableBytes = Math.min(limit, this.availableBytes + (now - this.at) / 1000 * this.bytesPerSecond);
        this.at = now;
        if (this.availableBytes < bytes) {
            return false;
        }
        this.availableBytes -= bytes;
        return true;
    }
}
