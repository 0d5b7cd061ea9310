/** Callers that open connections to one address and write what no ordinary caller writes. */
import { connect } from "node:net";
import type { Socket } from "node:net";

/** Time after the last write for which a crowd stays as it is, so that what it has sent is read. */
const settleMs = 1_500;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** One caller's connection. */
export class HostileCaller {
    received = "";
    private readonly socket: Socket;

    /** @param reads Whether the caller reads what it is sent. */
    constructor(address: { readonly host: string; readonly port: number; }, reads = true) {
        this.socket = connect(address.port, address.host);
        this.socket.on("error", () => this.socket.destroy());
        if (reads) {
            this.socket.on("data", data => this.received += data.toString("latin1").slice(0, 1_000));
        }
    }

    get isOpen(): boolean {
        return !this.socket.destroyed && this.socket.writable;
    }

    /** Writes; resolves once the connection has taken it, or has ended, or after `timeoutMs`. */
    write(data: string | Buffer, timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            if (!this.isOpen) {
                resolve();
                return;
            }
            const timer = setTimeout(resolve, timeoutMs);
            const done = (): void => {
                clearTimeout(timer);
                this.socket.off("close", done);
                resolve();
            };
            this.socket.once("close", done);
            this.socket.write(data, done);
        });
    }

    /** Resolves once anything has been received, or the connection has ended, or after `timeoutMs`. */
    async answered(timeoutMs: number): Promise<void> {
        const endsAt = performance.now() + timeoutMs;
        while (this.received === "" && !this.socket.destroyed && performance.now() < endsAt) {
            await sleep(20);
        }
    }

    close(): void {
        this.socket.destroy();
    }
}

/** Plays one kind of caller many times at once. */
export class Crowd {
    readonly callers: HostileCaller[] = [];

    constructor(private readonly address: { readonly host: string; readonly port: number; }) {}

    /**
     * Lets each caller act at once; resolves when all have acted and what they have sent has been read. The connections stay open.
     *
     * @example
     * await crowd.play(40, caller => caller.write(text, 1_000));
     */
    async play(
        count: number,
        act: (caller: HostileCaller, index: number) => Promise<void>,
        reads = true,
    ): Promise<void> {
        const added = Array.from({ length: count }, () => new HostileCaller(this.address, reads));
        this.callers.push(...added);
        await Promise.all(added.map(act));
        await sleep(settleMs);
    }

    close(): void {
        this.callers.forEach(caller => caller.close());
    }
}

/** Writes the same text again and again, for the given time or until the connection ends. */
export const writeFor = async (caller: HostileCaller, text: string, ms: number, pauseMs = 0): Promise<void> => {
    const endsAt = performance.now() + ms;
    while (caller.isOpen && performance.now() < endsAt) {
        await caller.write(text, endsAt - performance.now());
        await sleep(pauseMs);
    }
};
