/** Bytes that this instance may send over the link between the regions. */

const burstSeconds = 4;

/** A token bucket in bytes. */
export class LinkBudget {
    private saved: number;
    private at = Date.now();

    constructor(private bytesPerSecond: number) {
        this.saved = bytesPerSecond * burstSeconds;
    }

    setRate(bytesPerSecond: number): void {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Takes bytes if they are available. */
    tryTake(bytes: number): boolean {
        const now = Date.now();
        const limit = this.bytesPerSecond * burstSeconds;
        this.saved = Math.min(limit, this.saved + (now - this.at) / 1000 * this.bytesPerSecond);
        this.at = now;
        if (this.saved < bytes) {
            return false;
        }
        this.saved -= bytes;
        return true;
    }
}
