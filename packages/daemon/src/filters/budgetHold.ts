/** Holds the worst case of each attempt against the budget of its program. */
import { ProblemError } from "@marigolddrift/common";
import { hold, onReserved, raiseReservation, settle } from "@marigolddrift/ledger";

import { ledgerName } from "../controllers/programs.js";
import { Slots } from "../controllers/slots.js";
import type { SlotHold } from "../controllers/slots.js";
import type { ProgramState } from "../programs/programState.js";

/** Tokens that are set aside for one attempt. */
export interface Hold {
    /** Ends the hold with what the attempt used; the worst case if that is not known. */
    settle(usedTokens?: number): void;
}

/**
 * Sets the worst case of an attempt aside; reserves more in the ledger first if needed.
 *
 * @throws ProblemError `budget_exhausted`, or `not_durable` if the ledger cannot be written now.
 */
export const holdBudget = async (
    slots: Slots,
    slotHold: SlotHold,
    program: ProgramState,
    worstCase: number,
    race: <T>(promise: Promise<T>) => Promise<T>,
): Promise<Hold> => {
    const { budget, firstChunk, deadline } = program.claims;
    let decision = hold(program.account, worstCase, firstChunk);
    while (decision.kind === "reserveFirst") {
        if (!slotHold.durable) {
            throw Slots.notDurableError("The next part of the budget cannot be reserved while the store is away.");
        }
        const { reserved } = decision;
        await race(
            slots.mutate(
                slotHold.slot,
                record => raiseReservation(record, ledgerName(program.claims), reserved, deadline),
            ),
        );
        program.account = onReserved(program.account, reserved);
        decision = hold(program.account, worstCase, firstChunk);
    }
    if (decision.kind === "exhausted") {
        const detail = `The call may need ${worstCase} tokens; ${decision.left} of ${budget} are left.`;
        throw new ProblemError("budget_exhausted", "notRun", detail);
    }
    program.account = decision.account;
    let settled = false;
    return {
        settle: (usedTokens = worstCase) => {
            if (!settled) {
                settled = true;
                program.account = settle(program.account, worstCase, usedTokens);
            }
        },
    };
};
