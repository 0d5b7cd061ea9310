/** Runs robot3 machines. */
import { interpret } from "robot3";
import type { Machine, Service } from "robot3";

/** One running machine, for example the lifecycle of one request. */
export class Lifecycle<S extends string, E extends string> {
    private readonly service: Service<Machine>;

    constructor(machine: Machine, private readonly onChange: (state: S) => void = () => {}) {
        this.service = interpret(machine, () => this.onChange(this.state));
    }

    get state(): S {
        return this.service.machine.current as S;
    }

    /** Sends an event; an event that the state does not expect changes nothing. */
    send(event: E): void {
        this.service.send({ type: event as never });
    }
}
