/** Asks the other holders of a budget to return the tokens that they do not use. */
import { asError } from "@marigolddrift/common";
import type { Logger, Progress } from "@marigolddrift/common";

import type { Peers } from "../peers/peers.js";
import type { BudgetAccount } from "./budgetAccount.js";

/** Timeout of a request to another instance to return its unspent tokens. */
const returnRequestTimeoutMs = 500;

/** Separates the instance id from the account number in the names of holders. */
const holderSeparator = "#";

/** Name of an account of an instance as a holder of tokens. */
export const holderName = (instance: string, account: number): string => `${instance}${holderSeparator}${account}`;

const instanceOfHolder = (holder: string): string => holder.split(holderSeparator)[0]!;

/** Result of the request to a holder to return tokens. */
export type ReclaimOutcome = "returned" | "none" | "noResponse";

/** Sends the requests for one instance. */
export class TokenReclaimer {
    constructor(private readonly peers: Pick<Peers, "get" | "refresh">, private readonly log: Logger) {}

    /** Asks all other holders of a budget. Those that are no longer listed are dead and return nothing. */
    async reclaim(account: BudgetAccount, progress: Progress): Promise<ReadonlySet<ReclaimOutcome>> {
        const holders = account.otherHolders;
        if (holders.some(holder => this.peers.get(instanceOfHolder(holder)) === undefined)) {
            await this.peers.refresh();
        }
        return new Set(await Promise.all(holders.map(holder => this.ask(account.program, holder, progress))));
    }

    private async ask(program: string, holder: string, progress: Progress): Promise<ReclaimOutcome> {
        const askProgress = progress.child(returnRequestTimeoutMs);
        try {
            const peer = this.peers.get(instanceOfHolder(holder));
            return await peer?.ask({ kind: "returnBudget", program }, askProgress) ? "returned" : "none";
        }
        catch (err) {
            progress.throwIfAborted();
            this.log.info("budget holder did not return tokens", { program, holder, error: asError(err).message });
            return "noResponse";
        }
        finally {
            askProgress.dispose();
        }
    }
}
