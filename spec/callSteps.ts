/** Steps of callers that send the call that must not be repeated. */
import { addIntent, lookupIntent, recordOutcome } from "@marigolddrift/ledger";
import type { Step } from "./step.js";

import type { Mutation } from "./mutants.js";
import { callKey, callRequest } from "./state.js";
import type { OwnerName, OwnerState, SendState, World } from "./state.js";

import { ownerNames, startWrite, take, withSend } from "./worldSteps.js";
/** Steps of callers that send the call, doubled, to any owner. */
export const sendSteps = (world: World, mutation: Mutation): Step<World>[] =>
    world.sends.flatMap((send, index) => {
        if (send.phase === "idle") {
            return ownerNames.flatMap(name => receiveSteps(world, index, name, mutation));
        }
        const owner = world.owners[send.at!];
        if (!owner.alive || owner.paused) {
            return [];
        }
        return [...giveUpSteps(world, index, send, mutation), ...dispatchSteps(world, index, send, owner, mutation)];
    });

const receiveSteps = (world: World, index: number, name: OwnerName, mutation: Mutation): Step<World>[] => {
    const { alive, claiming, paused, proven, writer } = world.owners[name];
    const isBusy = world.sends.some(send => send.at === name && (send.phase === "storing" || send.phase === "stored"));
    if (!alive || paused || !proven || writer?.kind !== "idle" || claiming > 0 || isBusy) {
        return [];
    }
    const { record } = writer.stored;
    const found = lookupIntent(record, callKey, callRequest);
    if (found.kind === "concluded") {
        return [{
            name: `${name} replays the outcome`,
            next: withSend(world, index, { at: name, phase: "ended", told: "ran" }),
        }];
    }
    if (found.kind === "unresolved" && mutation.repeatUnresolved) {
        return [{ name: `${name} repeats the call`, next: withSend(world, index, { at: name, phase: "stored" }) }];
    }
    if (found.kind === "unresolved") {
        const told = withSend(world, index, { at: name, phase: "ended", told: "mayHaveRun" });
        return [{ name: `${name} says that the call may have run`, next: told }];
    }
    const storing = startWrite(world, name, addIntent(record, callKey, callRequest, 1));
    const phase = mutation.dispatchBeforeIntent ? "stored" : "storing";
    return [{ name: `${name} writes the intent`, next: withSend(storing, index, { at: name, phase }) }];
};

const giveUpSteps = (world: World, index: number, send: SendState, mutation: Mutation): Step<World>[] => {
    if (world.left.gaveUp === 0 || send.phase !== "storing") {
        return [];
    }
    const phase = mutation.dispatchAfterGivingUp ? "storing" : "ended";
    const next = withSend(take(world, "gaveUp"), index, { phase, told: "notRun" });
    return [{ name: `the deadline of send ${index} passes`, next }];
};

const dispatchSteps = (
    world: World,
    index: number,
    send: SendState,
    owner: OwnerState,
    mutation: Mutation,
): Step<World>[] => {
    const name = send.at!;
    if (send.phase === "stored" && owner.proven && owner.writer !== undefined) {
        const ran = { ...world, executions: world.executions + 1, executedBy: [...world.executedBy, index] };
        const cut = {
            phase: "ended" as const,
            told: mutation.denyDispatch ? "notRun" as const : "mayHaveRun" as const,
        };
        return [
            {
                name: `${name} sends the call, and the service answers`,
                next: withSend(ran, index, { phase: "dispatched" }),
            },
            { name: `${name} sends the call, and the answer is cut`, next: withSend(ran, index, cut) },
        ];
    }
    if (send.phase === "dispatched" && owner.writer?.kind === "idle") {
        const told = withSend(world, index, { phase: "ended", told: "ran" });
        const record = recordOutcome(owner.writer.stored.record, callKey, { status: 200, contentType: "" });
        return [{ name: `${name} answers and stores the outcome`, next: startWrite(told, name, record) }];
    }
    return [];
};
