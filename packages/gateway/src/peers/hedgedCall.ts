/** Calls that are attempted again when they fail or are late; the first response wins. */
import type { Progress } from "@marigolddrift/common";
import type { TransferOptions } from "@marigolddrift/store";

/**
 * The arrival of a long response. If all instances hedged while one is arriving, the transfers would saturate a slow
 * link for good.
 */
export class Transfer {
    /** Monotonic time at which the last chunk arrived. */
    lastByteAt = -Infinity;

    constructor(private readonly options: TransferOptions = {}) {}

    readonly onBytes = (): void => {
        this.lastByteAt = performance.now();
        this.options.onBytes?.();
    };
}

/** How a call is attempted. */
export interface HedgedCallOptions<T> {
    /** Starts the next attempt; returns undefined if none is left. */
    startNext(callProgress: Progress): Promise<T> | undefined;
    /** Asked before another attempt is started because the open ones are late. */
    mayHedge(): boolean;
    /** Time without a response, or without bytes of one, after which the open attempts are late. */
    readonly hedgeAfterMs: number;
    /** Whether an error is a response that another attempt would not change. */
    isDefinitive(err: unknown): boolean;
    readonly transfer: Transfer;
}

/** Starts one attempt after another until one succeeds or none is left. */
export const hedgedCall = <T>(options: HedgedCallOptions<T>, progress: Progress): Promise<T> =>
    new Promise<T>((resolve, reject) => {
        const { hedgeAfterMs, transfer } = options;
        // Aborts the other attempts when one has succeeded: an abandoned call would hold a silent connection forever.
        const callProgress = progress.child(progress.leftMs);
        let openAttempts = 0;
        let timer: NodeJS.Timeout | undefined;
        const finish = (settle: () => void): void => {
            clearTimeout(timer);
            settle();
            callProgress.abort(new Error("another attempt completed the call"));
        };
        const start = (): boolean => {
            const attempt = callProgress.isAborted ? undefined : options.startNext(callProgress);
            if (attempt === undefined) {
                return false;
            }
            openAttempts += 1;
            clearTimeout(timer);
            timer = setTimeout(onHedgeTimer, hedgeAfterMs);
            callProgress.race(attempt).then(value => finish(() => resolve(value)), onError);
            return true;
        };
        const onHedgeTimer = (): void => {
            const silentMs = performance.now() - transfer.lastByteAt;
            if (silentMs < hedgeAfterMs) {
                timer = setTimeout(onHedgeTimer, hedgeAfterMs - silentMs);
            }
            else if (options.mayHedge()) {
                start();
            }
            else {
                timer = setTimeout(onHedgeTimer, hedgeAfterMs);
            }
        };
        const onError = (err: unknown): void => {
            openAttempts -= 1;
            if (options.isDefinitive(err) || (!start() && openAttempts === 0)) {
                finish(() => reject(err));
            }
        };
        if (!start()) {
            finish(() => reject(progress.abortReason));
        }
    });
