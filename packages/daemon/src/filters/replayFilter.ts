/** Answers repeated calls from the ledger before they wait for the preceding calls of their program. */
import type { Filter } from "@marigolddrift/common";

import type { IntentFilter } from "./intentFilter.js";
import type { ServiceContext } from "./ownerContext.js";

/** Ends the chain for a call whose outcome or unresolved intent is in the ledger. */
export class ReplayFilter implements Filter<ServiceContext> {
    constructor(private readonly intents: IntentFilter) {}

    async handle(ctx: ServiceContext, next: () => Promise<void>): Promise<void> {
        if (!this.intents.tryReplay(ctx)) {
            await next();
        }
    }
}
