/** Answers repeated calls from the ledger before they wait for their turn. */
import type { Filter } from "@marigolddrift/common";

import type { IntentFilter } from "./intentFilter.js";
import type { ServiceContext } from "./ownerContext.js";

/** Ends the chain for a call whose outcome, or unresolved intent, the ledger holds. */
export class ReplayFilter implements Filter<ServiceContext> {
    constructor(private readonly intents: IntentFilter) {}

    async handle(ctx: ServiceContext, next: () => Promise<void>): Promise<void> {
        if (!this.intents.replayKnown(ctx)) {
            await next();
        }
    }
}
