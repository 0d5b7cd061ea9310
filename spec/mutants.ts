/** Faults that are put into the protocol, each of which the explorer must find. */

/** Switches of the model; all off is the protocol as it is. */
export interface Mutation {
    /** Writes are applied whatever the revision. */
    readonly dropFence?: boolean;
    /** A claim does not check that the former owner's lease has ended. */
    readonly ignoreLease?: boolean;
    /** A write without reply counts as applied. */
    readonly assumeApplied?: boolean;
    /** Tokens are spent before their reservation is stored. */
    readonly spendBeforeEscrow?: boolean;
    /** The call is sent before its intent is stored. */
    readonly dispatchBeforeIntent?: boolean;
    /** A new owner repeats a call whose outcome is unknown. */
    readonly repeatUnresolved?: boolean;
    /** A caller whose deadline passed is told notRun, but the call is sent later. */
    readonly dispatchAfterGivingUp?: boolean;
    /** A new owner counts only half of what was reserved as spent. */
    readonly forgetSpending?: boolean;
    /** An owner that was paused does not check its lease when it wakes. */
    readonly trustAfterPause?: boolean;
    /** A cut call is reported as notRun. */
    readonly denyDispatch?: boolean;
    /** A daemon accepts an older bundle. */
    readonly acceptOlder?: boolean;
    /** A daemon accepts a bundle without checking its signatures. */
    readonly skipSignature?: boolean;
    /** A restarted daemon serves its own copy although a peer served a newer one. */
    readonly ignorePeers?: boolean;
}

/** Mutants by name, with the scope in which each must be found. */
export const mutants: Readonly<
    Record<string, { readonly world: "leases" | "deadlines" | "budget" | "bundles"; readonly mutation: Mutation; }>
> = {
    "drop the fence": { world: "deadlines", mutation: { dropFence: true } },
    "claim while the former lease holds": { world: "deadlines", mutation: { ignoreLease: true } },
    "skip the read-back, and assume that the write was applied": {
        world: "deadlines",
        mutation: { assumeApplied: true },
    },
    "spend before escrow": { world: "budget", mutation: { spendBeforeEscrow: true } },
    "dispatch before intent": { world: "deadlines", mutation: { dispatchBeforeIntent: true } },
    "repeat an unresolved call": { world: "deadlines", mutation: { repeatUnresolved: true } },
    "dispatch after giving up": { world: "deadlines", mutation: { dispatchAfterGivingUp: true } },
    "forget what a former owner reserved": { world: "budget", mutation: { forgetSpending: true } },
    "trust the lease after a pause": { world: "leases", mutation: { trustAfterPause: true } },
    "say notRun of a call that was cut": { world: "deadlines", mutation: { denyDispatch: true } },
    "accept an older bundle": { world: "bundles", mutation: { acceptOlder: true } },
    "accept an unsigned bundle": { world: "bundles", mutation: { skipSignature: true } },
    "serve an older bundle than peers do": { world: "bundles", mutation: { ignorePeers: true } },
};
