/** Counts the bytes that this instance exchanges with peers, upstreams and the store. */
import type { Logger } from "@marigolddrift/common";

/** Interval at which the traffic is logged. */
const logIntervalMs = 5_000;

/** Where the bytes go. The region of the store is not known. */
export type TrafficLink = "region" | "otherRegion" | "store";

/** One exchange, such as a request to a peer and its response. */
export interface Exchange {
    readonly link: TrafficLink;
    /** Kind of message, for example `keepTurn`. */
    readonly kind: string;
    readonly sentBytes: number;
    readonly receivedBytes: number;
    /** Time until the response was complete; undefined if there was none. */
    readonly ms: number | undefined;
}

/** Records exchanges. */
export type TrafficRecorder = (exchange: Exchange) => void;

interface Total {
    exchanges: number;
    unanswered: number;
    sentBytes: number;
    receivedBytes: number;
    slowestMs: number;
}

/** Receives the counted bytes, for metrics. */
type ByteCounter = (name: string, bytes: number) => void;

/**
 * Adds up exchanges by link and kind. Every few seconds one line shows them, so that the load of a narrow link between
 * regions can be traced to the messages that cause it.
 *
 * @example
 * const meter = new TrafficMeter(log, (name, bytes) => metrics.count(name, bytes));
 * meter.record({ link: "otherRegion", kind: "keepTurn", sentBytes: 20_480, receivedBytes: 12, ms: 41 });
 */
export class TrafficMeter {
    private readonly totals = new Map<string, Total>();
    private readonly timer = setInterval(() => this.logTotals(), logIntervalMs).unref();

    constructor(private readonly log: Logger, private readonly countBytes: ByteCounter = () => {}) {}

    readonly record: TrafficRecorder = ({ link, kind, sentBytes, receivedBytes, ms }) => {
        const name = `${link}.${kind}`;
        const total = this.totals.get(name) ??
            { exchanges: 0, unanswered: 0, sentBytes: 0, receivedBytes: 0, slowestMs: 0 };
        this.totals.set(name, total);
        total.exchanges += 1;
        total.unanswered += ms === undefined ? 1 : 0;
        total.sentBytes += sentBytes;
        total.receivedBytes += receivedBytes;
        total.slowestMs = Math.max(total.slowestMs, Math.round(ms ?? 0));
        this.countBytes(`${name}.sentBytes`, sentBytes);
        this.countBytes(`${name}.receivedBytes`, receivedBytes);
    };

    close(): void {
        clearInterval(this.timer);
    }

    private logTotals(): void {
        if (this.totals.size > 0) {
            this.log.info("traffic", Object.fromEntries(this.totals));
            this.totals.clear();
        }
    }
}
