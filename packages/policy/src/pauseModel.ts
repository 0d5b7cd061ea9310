/** Online estimates of how long programs pause between calls and how likely another call is. */

const learningRate = 0.1;
const initialPauseMs = 3_000;
const initialReturnProbability = 0.8;

interface Estimate {
    logPauseMs: number;
    returnProbability: number;
}

/**
 * Exponential moving averages of pause length and return probability per kind of pause, for example `agent/tool`. Pauses are
 * averaged in the logarithmic domain.
 */
export class PauseModel {
    private readonly estimates = new Map<string, Estimate>();

    /** Records that a program made another call after a pause. */
    onReturn(kind: string, pauseMs: number): void {
        const estimate = this.estimate(kind);
        estimate.logPauseMs += learningRate * (Math.log(Math.max(1, pauseMs)) - estimate.logPauseMs);
        estimate.returnProbability += learningRate * (1 - estimate.returnProbability);
    }

    /** Records that a program ended without another call. */
    onEnd(kind: string): void {
        const estimate = this.estimate(kind);
        estimate.returnProbability -= learningRate * estimate.returnProbability;
    }

    expectedPauseMs(kind: string): number {
        return Math.exp(this.estimate(kind).logPauseMs);
    }

    returnProbability(kind: string): number {
        return this.estimate(kind).returnProbability;
    }

    private estimate(kind: string): Estimate {
        let estimate = this.estimates.get(kind);
        if (estimate === undefined) {
            estimate = { logPauseMs: Math.log(initialPauseMs), returnProbability: initialReturnProbability };
            this.estimates.set(kind, estimate);
        }
        return estimate;
    }
}
