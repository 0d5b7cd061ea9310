/** Counts what has been written to a caller that has not read it yet. */
import type { ServerResponse } from "node:http";

import type { ReplyMemory } from "../upstreams/replyMemory.js";
import type { HeldInput, InputMemory } from "./inputMemory.js";

/** The unsent part of one response. It is closed if its caller holds too much memory for too long. */
export class UnsentAnswer {
    private readonly held: HeldInput;

    constructor(readonly res: ServerResponse, memory: InputMemory) {
        this.held = memory.hold({ kind: "answer", refuse: () => res.destroy() });
        res.on("drain", () => this.update());
        res.once("close", () => this.held.release());
    }

    /** To be called after each write. */
    update(): void {
        this.held.resize(this.res.writableLength);
    }

    /**
     * Counts a whole reply among those in progress until its caller has read it. The runtime collects up to 64 MB of buffers that
     * are no longer used only later, so that replies need a bound far below the memory of the machine.
     */
    countAsReply(memory: ReplyMemory): void {
        const { res } = this;
        if (res.destroyed || res.writableLength === 0) {
            return;
        }
        const held = memory.hold(() => res.destroy());
        res.once("close", () => held.release());
        held.add(res.writableLength);
    }
}
