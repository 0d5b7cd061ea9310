/** Reads that many callers ask for at once, each of which needs an answer that is not older than its question. */

/**
 * Shares one read between all callers that ask before it begins. Load pattern: all streams of an instance that has ended are taken up
 * elsewhere at the same moment.
 */
export class SharedRead<T> {
    private running: Promise<T> | undefined;
    private next: Promise<T> | undefined;

    constructor(private readonly read: () => Promise<T>) {}

    /**
     * Resolves to the result of a read that begins after this call.
     *
     * @example
     * const builds = await sharedRead.get();
     */
    get(): Promise<T> {
        return this.next ??= this.readNext();
    }

    private async readNext(): Promise<T> {
        await this.running?.catch(() => {});
        this.next = undefined;
        this.running = this.read();
        return await this.running;
    }
}
