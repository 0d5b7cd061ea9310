/** Remembers when machines or the platform's store were disturbed without notice. */

interface Span {
    readonly names: readonly string[];
    readonly from: number;
    to: number;
}

/** Spans of disturbance, in monotonic time. */
export class Disturbances {
    private readonly spans: Span[] = [];

    /** Runs a disturbance of what has the names. */
    async during(names: readonly string[], disturb: () => Promise<void>): Promise<void> {
        const span: Span = { names, from: performance.now(), to: Infinity };
        this.spans.push(span);
        await disturb();
        span.to = performance.now();
    }

    /** Whether anything, or what has the name, was disturbed between two times. */
    overlaps(from: number, to: number, name?: string): boolean {
        return this.spans.some(span =>
            (name === undefined || span.names.includes(name)) && span.from <= to && span.to >= from
        );
    }
}
