/** Notes when this process was held up, so that what it saw of a connection's end doesn't tell when that was. */

const intervalMs = 20;
const maxDelayMs = 100;

/** Watches the delay of a timer. */
export class StallWatch {
    private readonly stalls: { readonly from: number; readonly to: number; }[] = [];
    private dueAt = performance.now() + intervalMs;
    private readonly timer = setInterval(() => this.onTick(), intervalMs);

    stop(): void {
        clearInterval(this.timer);
    }

    /** Whether this process was held up between two times. */
    overlaps(from: number, to: number): boolean {
        return this.stalls.some(stall => stall.from <= to && stall.to >= from);
    }

    private onTick(): void {
        const now = performance.now();
        if (now - this.dueAt > maxDelayMs) {
            this.stalls.push({ from: this.dueAt - intervalMs, to: now });
        }
        this.dueAt = now + intervalMs;
    }
}
