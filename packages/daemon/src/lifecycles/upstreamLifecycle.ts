/** Lifecycle of an upstream: its circuit, and whether it is leaving. */
import { createMachine, state, transition } from "robot3";

import { Lifecycle } from "./lifecycle.js";

/**
 * - `live`: gets work.
 * - `broken`: failed repeatedly and gets none for a while.
 * - `probing`: gets one call, which decides.
 * - `leaving`: finishes its work and gets no more.
 */
export type UpstreamState = "live" | "broken" | "probing" | "leaving";
export type UpstreamEvent = "trip" | "probe" | "succeed" | "leave" | "return";

const machine = createMachine({
    live: state(transition("trip", "broken"), transition("leave", "leaving")),
    broken: state(transition("probe", "probing"), transition("leave", "leaving"), transition("succeed", "live")),
    probing: state(transition("succeed", "live"), transition("trip", "broken"), transition("leave", "leaving")),
    leaving: state(transition("return", "live")),
});

export type UpstreamLifecycle = Lifecycle<UpstreamState, UpstreamEvent>;

/** Starts the lifecycle of an upstream. */
export const createUpstreamLifecycle = (onChange: (state: UpstreamState) => void): UpstreamLifecycle =>
    new Lifecycle(machine, onChange);
