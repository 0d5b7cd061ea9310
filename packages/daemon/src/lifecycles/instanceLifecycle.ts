/** Lifecycle of a peer instance, as observed by this instance. */
import { createMachine, state, transition } from "robot3";

import { Lifecycle } from "./lifecycle.js";

export type InstanceState = "unknown" | "live" | "suspect" | "leaving" | "dead";
export type InstanceEvent = "heartbeat" | "miss" | "lose" | "leave";

const machine = createMachine({
    unknown: state(transition("heartbeat", "live"), transition("lose", "dead"), transition("leave", "leaving")),
    live: state(transition("miss", "suspect"), transition("lose", "dead"), transition("leave", "leaving")),
    suspect: state(transition("heartbeat", "live"), transition("lose", "dead"), transition("leave", "leaving")),
    leaving: state(transition("lose", "dead")),
    dead: state(transition("heartbeat", "live"), transition("leave", "leaving")),
});

export type InstanceLifecycle = Lifecycle<InstanceState, InstanceEvent>;

/** Creates the state machine of a peer instance. */
export const createInstanceLifecycle = (onChange: (state: InstanceState) => void): InstanceLifecycle =>
    new Lifecycle(machine, onChange);
