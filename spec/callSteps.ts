/** Steps of the callers that send the non-idempotent call. */
import { addIntent, lookupIntent, recordOutcome } from "@marigolddrift/ledger";
import type { Step } from "./step.js";

import type { Mutation } from "./mutants.js";
import { callKey, callRequest } from "./state.js";
import type { OwnerName, OwnerState, SendState, World } from "./state.js";

import { consumeStep, ownerNames, startWrite, withSend } from "./worldSteps.js";
/** Steps of two duplicate requests for the call, each sent to either instance. */
export const sendSteps = (world: World, mutation: Mutation): Step<World>[] =>
    world.sends.flatMap((send, index) => {
        if (send.phase === "idle") {
            return ownerNames.flatMap(name => receiveSteps(world, index, name, mutation));
        }
        const owner = world.owners[send.at!];
        if (!owner.alive || owner.paused) {
            return [];
        }
        return [...deadlineSteps(world, index, send, mutation), ...dispatchSteps(world, index, send, owner, mutation)];
    });

const receiveSteps = (world: World, index: number, name: OwnerName, mutation: Mutation): Step<World>[] => {
    const { alive, claimEpoch: claiming, paused, hasProvenLease: proven, writer } = world.owners[name];
    const isBusy = world.sends.some(send => send.at === name && (send.phase === "storing" || send.phase === "stored"));
    if (!alive || paused || !proven || writer?.kind !== "idle" || claiming > 0 || isBusy) {
        return [];
    }
    const { record } = writer.stored;
    const found = lookupIntent(record, callKey, callRequest);
    if (found.kind === "concluded") {
        return [{
            name: `${name} replays the outcome`,
            next: withSend(world, index, { at: name, phase: "ended", reportedOutcome: "ran" }),
        }];
    }
    if (found.kind === "unresolved" && mutation.repeatUnresolved) {
        return [{ name: `${name} repeats the call`, next: withSend(world, index, { at: name, phase: "stored" }) }];
    }
    if (found.kind === "unresolved") {
        const answered = withSend(world, index, { at: name, phase: "ended", reportedOutcome: "mayHaveRun" });
        return [{ name: `${name} reports that the call may have run`, next: answered }];
    }
    const storing = startWrite(world, name, addIntent(record, callKey, callRequest, 1));
    const phase = mutation.dispatchBeforeIntent ? "stored" : "storing";
    return [{ name: `${name} writes the intent`, next: withSend(storing, index, { at: name, phase }) }];
};

const deadlineSteps = (world: World, index: number, send: SendState, mutation: Mutation): Step<World>[] => {
    if (world.remainingSteps.callerTimeouts === 0 || send.phase !== "storing") {
        return [];
    }
    const phase = mutation.dispatchAfterDeadline ? "storing" : "ended";
    const next = withSend(consumeStep(world, "callerTimeouts"), index, { phase, reportedOutcome: "notRun" });
    return [{ name: `the deadline of request ${index} passes`, next }];
};

const dispatchSteps = (
    world: World,
    index: number,
    send: SendState,
    owner: OwnerState,
    mutation: Mutation,
): Step<World>[] => {
    const name = send.at!;
    if (send.phase === "stored" && owner.hasProvenLease && owner.writer !== undefined) {
        const executed = { ...world, executions: world.executions + 1, executedBy: [...world.executedBy, index] };
        const interrupted = {
            phase: "ended" as const,
            reportedOutcome: mutation.reportInterruptedAsNotRun ? "notRun" as const : "mayHaveRun" as const,
        };
        return [
            {
                name: `${name} sends the call, and the service answers`,
                next: withSend(executed, index, { phase: "dispatched" }),
            },
            {
                name: `${name} sends the call, and the answer is interrupted`,
                next: withSend(executed, index, interrupted),
            },
        ];
    }
    if (send.phase === "dispatched" && owner.writer?.kind === "idle") {
        const answered = withSend(world, index, { phase: "ended", reportedOutcome: "ran" });
        const record = recordOutcome(owner.writer.stored.record, callKey, { status: 200, contentType: "" });
        return [{ name: `${name} answers and stores the outcome`, next: startWrite(answered, name, record) }];
    }
    return [];
};
