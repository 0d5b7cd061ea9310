/** Mutants of the protocol; the explorer must find an invariant violation in each of them. */

/** Faults that can be switched on in the model; with none of them it is the unmodified protocol. */
export interface Mutation {
    /** The store applies writes without checking the revision. */
    readonly skipRevisionCheck?: boolean;
    /** A claim does not check that the former owner's lease has ended. */
    readonly skipFormerLeaseCheck?: boolean;
    /** A write whose reply was lost is assumed to be applied. */
    readonly assumeApplied?: boolean;
    /** Tokens are spent before their reservation is stored. */
    readonly spendBeforeReservation?: boolean;
    /** The call is sent before its intent is stored. */
    readonly dispatchBeforeIntent?: boolean;
    /** A new owner repeats a call whose outcome is unknown. */
    readonly repeatUnresolved?: boolean;
    /** The caller is answered notRun when its deadline passes, but the call is sent later. */
    readonly dispatchAfterDeadline?: boolean;
    /** A new owner counts only half of the reserved tokens as spent. */
    readonly undercountReserved?: boolean;
    /** An owner does not check its lease when it resumes after a pause. */
    readonly skipLeaseCheckAfterPause?: boolean;
    /** A call whose answer was interrupted is reported as notRun. */
    readonly reportInterruptedAsNotRun?: boolean;
    /** A daemon accepts an older bundle. */
    readonly acceptOlder?: boolean;
    /** A daemon accepts a bundle without checking its signatures. */
    readonly skipSignature?: boolean;
    /** A restarted daemon serves its stored bundle although its peer serves a newer one. */
    readonly ignorePeers?: boolean;
    /** An instance that stands in for the first choice grants the whole limit. */
    readonly standInGrantsAll?: boolean;
    /** An instance grants the whole limit before all others know of it. */
    readonly grantBeforeSettled?: boolean;
    /** An instance that reaches no granting instance uses the whole limit. */
    readonly unreachableUseAll?: boolean;
    /** A blocked call is sent all the same. */
    readonly sendBlocked?: boolean;
    /** What a peer tells replaces what is known. */
    readonly forgetOnMerge?: boolean;
    /** The end of an upstream counts once for each instance that sees it. */
    readonly countPerInstance?: boolean;
    /** An answer does not clear the call. */
    readonly keepAnswered?: boolean;
    /** Crashes that a blocked call explains count against the calls beside it. */
    readonly ignoreExplained?: boolean;
    /** An instance lends its share while another one may still spend it. */
    readonly lendTwice?: boolean;
    /** A permit is used after it has expired. */
    readonly useExpiredPermits?: boolean;
    /** A granting instance goes on with shares whose leases have ended. */
    readonly keepExpiredLeases?: boolean;
    /** An instance that is lent a share, for example after a restart, assumes that nothing of it was spent. */
    readonly startFull?: boolean;
    /** An instance lends its share before the others count with it. */
    readonly lendUnrecognized?: boolean;
    /** A process takes itself as known to all others because its machine is listed. */
    readonly trustFormerEntry?: boolean;
    /** A silent member that is not recognized is passed over although its entry has not changed. */
    readonly passOverUnchanged?: boolean;
    /** An instance is recognized by a list that it read before its entry was changed. */
    readonly concludeByOldList?: boolean;
    /** A turn that is taken up is kept with the events of its last call only. */
    readonly keepOwnEvents?: boolean;
    /** The caller is believed to have all that was passed on, whatever its last event is. */
    readonly trustPassedOn?: boolean;
    /** That a stream is taken up is recorded only with the first event after it. */
    readonly recordTakeUpLate?: boolean;
    /** A refused call is sent again over the connection on which it was refused. */
    readonly reuseRefusingConnection?: boolean;
}

/** Mutants by name, with the scope in which each must be detected. */
export const mutants: Readonly<
    Record<
        string,
        {
            readonly world:
                | "leases"
                | "deadlines"
                | "budget"
                | "bundles"
                | "limits"
                | "crashes"
                | "quotas"
                | "beginnings"
                | "resends"
                | "recognition";
            readonly mutation: Mutation;
        }
    >
> = {
    "drop the fence": { world: "deadlines", mutation: { skipRevisionCheck: true } },
    "claim while the former lease holds": { world: "deadlines", mutation: { skipFormerLeaseCheck: true } },
    "skip the read-back, and assume that the write was applied": {
        world: "deadlines",
        mutation: { assumeApplied: true },
    },
    "spend before escrow": { world: "budget", mutation: { spendBeforeReservation: true } },
    "dispatch before intent": { world: "deadlines", mutation: { dispatchBeforeIntent: true } },
    "repeat an unresolved call": { world: "deadlines", mutation: { repeatUnresolved: true } },
    "dispatch after giving up": { world: "deadlines", mutation: { dispatchAfterDeadline: true } },
    "forget what a former owner reserved": { world: "budget", mutation: { undercountReserved: true } },
    "trust the lease after a pause": { world: "leases", mutation: { skipLeaseCheckAfterPause: true } },
    "say notRun of a call that was cut": { world: "deadlines", mutation: { reportInterruptedAsNotRun: true } },
    "accept an older bundle": { world: "bundles", mutation: { acceptOlder: true } },
    "accept an unsigned bundle": { world: "bundles", mutation: { skipSignature: true } },
    "grant the whole limit in place of another instance": { world: "limits", mutation: { standInGrantsAll: true } },
    "grant the whole limit before others know of the instance": {
        world: "limits",
        mutation: { grantBeforeSettled: true },
    },
    "use the whole limit without permits": { world: "limits", mutation: { unreachableUseAll: true } },
    "send a blocked call": { world: "crashes", mutation: { sendBlocked: true } },
    "replace what is known of a call by what a peer tells": { world: "crashes", mutation: { forgetOnMerge: true } },
    "count the end of an upstream once for each instance": { world: "crashes", mutation: { countPerInstance: true } },
    "keep the crashes of an answered call": { world: "crashes", mutation: { keepAnswered: true } },
    "count crashes that a blocked call explains": { world: "crashes", mutation: { ignoreExplained: true } },
    "lend a share twice": { world: "quotas", mutation: { lendTwice: true } },
    "use a permit that has outlived its time": { world: "quotas", mutation: { useExpiredPermits: true } },
    "go on with lent shares while the limit is lowered": { world: "quotas", mutation: { keepExpiredLeases: true } },
    "start with a full bucket": { world: "quotas", mutation: { startFull: true } },
    "lend a share before all others count with it": { world: "quotas", mutation: { lendUnrecognized: true } },
    "take a listed machine for one that all others know": { world: "quotas", mutation: { trustFormerEntry: true } },
    "pass over a silent member that may be recognized unseen": {
        world: "recognition",
        mutation: { passOverUnchanged: true },
    },
    "be recognized by a list from before": { world: "recognition", mutation: { concludeByOldList: true } },
    "keep a turn without its beginning": { world: "beginnings", mutation: { keepOwnEvents: true } },
    "take what was passed on for what the caller has": { world: "beginnings", mutation: { trustPassedOn: true } },
    "record late that a stream is taken up": { world: "beginnings", mutation: { recordTakeUpLate: true } },
    "send a refused call again on the connection of its refusal": {
        world: "resends",
        mutation: { reuseRefusingConnection: true },
    },
    "serve an older bundle than peers do": { world: "bundles", mutation: { ignorePeers: true } },
};
