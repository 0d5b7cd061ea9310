// The slot protocol: instances take over a slot by compare-and-swap, and a non-idempotent call runs at most once.
module marigolddrift {
    type Owner = str
    pure val OWNERS = Set("a", "b")
    pure val BUDGET = 4

    // State of the store: epoch and owner of the slot, its revision, the intent of the call, and the reserved tokens.
    var epoch: int
    var owner: Owner
    var revision: int
    var intent: str
    var reserved: int
    // Leases that the store holds.
    var lease: Owner -> bool
    // Local state of each instance: the last revision that it saw (-1 for none), and whether its lease is proven.
    var seenRevision: Owner -> int
    var proven: Owner -> bool
    var paused: Owner -> bool
    // Whether an instance has stored the intent and has yet to send the call.
    var pending: Owner -> bool
    // Reserved tokens that each instance may still spend without a write.
    var unspent: Owner -> int
    var executions: int
    var spent: int
    var version: Owner -> int
    var rolledOut: int
    var reverted: bool

    action init = all {
        epoch' = 0, owner' = "", revision' = 0, intent' = "none", reserved' = 0,
        lease' = OWNERS.mapBy(o => true), seenRevision' = OWNERS.mapBy(o => -1), proven' = OWNERS.mapBy(o => true),
        paused' = OWNERS.mapBy(o => false), pending' = OWNERS.mapBy(o => false), unspent' = OWNERS.mapBy(o => 0),
        executions' = 0, spent' = 0, version' = OWNERS.mapBy(o => 0), rolledOut' = 0, reverted' = false,
    }

    def isActive(o) = not(paused.get(o)) and proven.get(o)
    def isProvenOwner(o) = isActive(o) and seenRevision.get(o) == revision and owner == o

    action storeUnchanged = all {
        epoch' = epoch, owner' = owner, revision' = revision, intent' = intent, reserved' = reserved,
    }
    action leasesUnchanged = all { lease' = lease, proven' = proven, paused' = paused }
    action workUnchanged = all { pending' = pending, unspent' = unspent, executions' = executions, spent' = spent }
    action bundleUnchanged = all { version' = version, rolledOut' = rolledOut, reverted' = reverted }

    // Takes over the slot, only if the former owner's lease has ended. All reserved tokens count as spent.
    action claim(o) = all {
        isActive(o), owner != o, owner == "" or not(lease.get(owner)),
        epoch' = epoch + 1, owner' = o, revision' = revision + 1, intent' = intent, reserved' = reserved,
        seenRevision' = seenRevision.set(o, revision + 1), unspent' = unspent.set(o, 0),
        pending' = pending.set(o, false),
        executions' = executions, spent' = spent, leasesUnchanged, bundleUnchanged,
    }

    action writeIntent(o) = all {
        isProvenOwner(o), intent == "none",
        intent' = "unresolved", revision' = revision + 1, epoch' = epoch, owner' = owner, reserved' = reserved,
        seenRevision' = seenRevision.set(o, revision + 1), pending' = pending.set(o, true),
        unspent' = unspent, executions' = executions, spent' = spent, leasesUnchanged, bundleUnchanged,
    }

    // Sending is not fenced: an owner may resume after a pause and send the call whose intent it stored
    // before. The call is still sent only once.
    action dispatch(o) = all {
        not(paused.get(o)), pending.get(o),
        executions' = executions + 1, pending' = pending.set(o, false), unspent' = unspent, spent' = spent,
        storeUnchanged, seenRevision' = seenRevision, leasesUnchanged, bundleUnchanged,
    }

    action conclude(o) = all {
        isProvenOwner(o), intent == "unresolved", executions > 0,
        intent' = "concluded", revision' = revision + 1, epoch' = epoch, owner' = owner, reserved' = reserved,
        seenRevision' = seenRevision.set(o, revision + 1), workUnchanged, leasesUnchanged, bundleUnchanged,
    }

    action reserveChunk(o) = all {
        isProvenOwner(o), reserved < BUDGET, unspent.get(o) == 0,
        reserved' = reserved + 1, revision' = revision + 1, epoch' = epoch, owner' = owner, intent' = intent,
        seenRevision' = seenRevision.set(o, revision + 1), unspent' = unspent.set(o, 1),
        pending' = pending, executions' = executions, spent' = spent, leasesUnchanged, bundleUnchanged,
    }

    // Spending needs no write, so a former owner may still spend the tokens that it reserved.
    action spend(o) = all {
        not(paused.get(o)), unspent.get(o) > 0,
        unspent' = unspent.set(o, unspent.get(o) - 1), spent' = spent + 1, pending' = pending, executions' = executions,
        storeUnchanged, seenRevision' = seenRevision, leasesUnchanged, bundleUnchanged,
    }

    action pause(o) = all {
        not(paused.get(o)), paused' = paused.set(o, true), lease' = lease, proven' = proven,
        storeUnchanged, seenRevision' = seenRevision, workUnchanged, bundleUnchanged,
    }

    action resume(o) = all {
        paused.get(o), paused' = paused.set(o, false), proven' = proven.set(o, lease.get(o)), lease' = lease,
        storeUnchanged, seenRevision' = seenRevision, workUnchanged, bundleUnchanged,
    }

    action leaseEnds(o) = all {
        lease.get(o), paused.get(o) or not(proven.get(o)), lease' = lease.set(o, false), proven' = proven, paused' = paused,
        storeUnchanged, seenRevision' = seenRevision, workUnchanged, bundleUnchanged,
    }

    action renew(o) = all {
        not(paused.get(o)), not(proven.get(o)),
        lease' = lease.set(o, true), proven' = proven.set(o, true), paused' = paused,
        seenRevision' = seenRevision.set(o, if (owner == o) seenRevision.get(o) else -1),
        storeUnchanged, workUnchanged, bundleUnchanged,
    }

    action rollOut = all {
        rolledOut < 3, rolledOut' = rolledOut + 1, version' = version, reverted' = reverted,
        storeUnchanged, seenRevision' = seenRevision, leasesUnchanged, workUnchanged,
    }

    // A version may arrive late, from the store or a peer; only a newer one is accepted.
    action receive(o) = {
        nondet offered = 0.to(rolledOut).oneOf()
        val newer = if (offered > version.get(o)) offered else version.get(o)
        all {
            version' = version.set(o, newer), reverted' = (reverted or newer < version.get(o)), rolledOut' = rolledOut,
            storeUnchanged, seenRevision' = seenRevision, leasesUnchanged, workUnchanged,
        }
    }

    action step = {
        nondet o = OWNERS.oneOf()
        any {
            claim(o), writeIntent(o), dispatch(o), conclude(o), reserveChunk(o), spend(o), pause(o), resume(o),
            leaseEnds(o), renew(o), rollOut, receive(o),
        }
    }

    val runsAtMostOnce = executions <= 1
    val neverOverspends = spent <= BUDGET and spent <= reserved
    val neverForgotten = executions == 0 or intent != "none"
    val oneProvenOwner = OWNERS.filter(o => isProvenOwner(o)).size() <= 1
    val neverReverts = not(reverted)
    val safe = runsAtMostOnce and neverOverspends and neverForgotten and oneProvenOwner and neverReverts
}
