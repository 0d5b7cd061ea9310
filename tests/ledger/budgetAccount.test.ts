import { hold, onReserved, openAccount, recoverAccount, settle } from "@marigolddrift/ledger";
import type { BudgetAccount } from "@marigolddrift/ledger";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

describe("budget account", () => {
    it("should hold tokens of the first chunk without a ledger write", () => {
        expect(hold(openAccount(100, 25), 20, 25).kind).toEqual("held");
    });

    it("should ask for a reservation before holding more than the reserved tokens", () => {
        expect(hold(openAccount(100, 25), 30, 25)).toEqual({ kind: "reserveFirst", reserved: 50 });
    });

    it("should reject a call that may exceed the budget", () => {
        expect(hold({ budget: 100, reserved: 100, spent: 80, held: 10 }, 11, 25)).toEqual({
            kind: "exhausted",
            left: 10,
        });
    });

    it("should count all reserved tokens as spent after a change of owner", () => {
        expect(recoverAccount(100, 25, undefined).spent).toEqual(25);
        expect(recoverAccount(100, 25, 50).spent).toEqual(50);
    });

    it("should never exceed the budget for any sequence of calls and crashes", () => {
        const steps = fc.array(
            fc.record({ worst: fc.integer({ min: 1, max: 40 }), used: fc.nat(40), crash: fc.boolean() }),
        );
        fc.assert(
            fc.property(steps, plan => {
                let account: BudgetAccount = openAccount(200, 50);
                let ledger: number | undefined;
                let used = 0;
                for (const step of plan) {
                    let decision = hold(account, step.worst, 50);
                    if (decision.kind === "reserveFirst") {
                        ledger = decision.reserved;
                        account = onReserved(account, decision.reserved);
                        decision = hold(account, step.worst, 50);
                    }
                    if (decision.kind === "held") {
                        used += Math.min(step.used, step.worst);
                        account = step.crash ?
                            recoverAccount(200, 50, ledger) :
                            settle(decision.account, step.worst, Math.min(step.used, step.worst));
                    }
                }
                expect(used <= 200).toEqual(true);
            }),
            { seed: 3, numRuns: 300 },
        );
    });
});
