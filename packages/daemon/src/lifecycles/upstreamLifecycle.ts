/** Lifecycle of an upstream: its circuit breaker, and whether it is leaving. */
import { createMachine, state, transition } from "robot3";

import { Lifecycle } from "./lifecycle.js";

/**
 * - `live`: receives calls (closed circuit).
 * - `broken`: receives no calls until a backoff has ended, after failures (open circuit).
 * - `probing`: receives one call, whose result closes or reopens the circuit (half-open).
 * - `leaving`: completes its calls and receives no new ones.
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

/** Creates the state machine of an upstream. */
export const createUpstreamLifecycle = (onChange: (state: UpstreamState) => void): UpstreamLifecycle =>
    new Lifecycle(machine, onChange);
