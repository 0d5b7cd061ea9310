/** Counts what has been written to a caller that has not read it yet. */
import type { ServerResponse } from "node:http";

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
}
