/** Typed wrapper around robot3 state machines. */
import { interpret } from "robot3";
import type { Machine, Service } from "robot3";

/** A running state machine, for example for one request. */
export class Lifecycle<S extends string, E extends string> {
    private readonly service: Service<Machine>;

    constructor(machine: Machine, private readonly onChange: (state: S) => void = () => {}) {
        this.service = interpret(machine, () => this.onChange(this.state));
    }

    get state(): S {
        return this.service.machine.current as S;
    }

    /** Sends an event; events without a transition from the current state are ignored. */
    send(event: E): void {
        this.service.send({ type: event as never });
    }
}
