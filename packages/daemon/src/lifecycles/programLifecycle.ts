/** Lifecycle of a program on the instance that owns its slot. */
import { createMachine, state, transition } from "robot3";

import { Lifecycle } from "./lifecycle.js";

export type ProgramLifecycleState = "open" | "running" | "paused" | "ended";
export type ProgramEvent = "call" | "pause" | "end";

const machine = createMachine({
    open: state(transition("call", "running"), transition("end", "ended")),
    running: state(transition("pause", "paused"), transition("end", "ended")),
    paused: state(transition("call", "running"), transition("end", "ended")),
    ended: state(),
});

export type ProgramLifecycle = Lifecycle<ProgramLifecycleState, ProgramEvent>;

/** Creates the state machine of a program. */
export const createProgramLifecycle = (): ProgramLifecycle => new Lifecycle(machine);
