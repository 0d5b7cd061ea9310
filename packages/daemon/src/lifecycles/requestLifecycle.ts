/** Lifecycle of one request at its owner; the verdict of a failure follows from the state it was in. */
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
        // The upstream proved that it did not take the request.
        transition("retract", "queued"),
        transition("fail", "failed"),
    ),
    answering: state(transition("finish", "done"), transition("fail", "failed"), transition("dispatch", "dispatched")),
    done: state(),
    refused: state(),
    failed: state(),
});

export type RequestLifecycle = Lifecycle<RequestState, RequestEvent>;

/** Starts the lifecycle of a request. */
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

/** What can be said of a request in a state. */
export const verdictOf = (lifecycle: RequestLifecycle): Verdict => verdicts[lifecycle.state];
