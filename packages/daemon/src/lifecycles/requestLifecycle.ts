/** Lifecycle of a request on the instance that owns its slot; the state at a failure determines the verdict. */
import type { Verdict } from "@marigolddrift/common";
import { createMachine, state, transition } from "robot3";

import { Lifecycle } from "./lifecycle.js";

export type RequestState = "received" | "queued" | "dispatched" | "answering" | "done" | "refused" | "failed";
export type RequestEvent = "queue" | "dispatch" | "answer" | "retract" | "finish" | "refuse" | "fail";

const machine = createMachine({
    received: state(
        transition("queue", "queued"),
        transition("refuse", "refused"),
        transition("dispatch", "dispatched"),
    ),
    queued: state(transition("dispatch", "dispatched"), transition("refuse", "refused")),
    dispatched: state(
        transition("answer", "answering"),
        transition("finish", "done"),
        // The upstream proved that it did not execute the request.
        transition("retract", "queued"),
        transition("fail", "failed"),
    ),
    answering: state(transition("finish", "done"), transition("fail", "failed"), transition("dispatch", "dispatched")),
    done: state(),
    refused: state(),
    failed: state(),
});

export type RequestLifecycle = Lifecycle<RequestState, RequestEvent>;

/** Creates the state machine of a request. */
export const createRequestLifecycle = (): RequestLifecycle => new Lifecycle(machine);

const verdicts: Record<RequestState, Verdict> = {
    received: "notRun",
    queued: "notRun",
    refused: "notRun",
    dispatched: "mayHaveRun",
    answering: "mayHaveRun",
    failed: "mayHaveRun",
    done: "ran",
};

/** Whether a request in its current state has run, has not run, or may have run. */
export const verdictOf = (lifecycle: RequestLifecycle): Verdict => verdicts[lifecycle.state];
