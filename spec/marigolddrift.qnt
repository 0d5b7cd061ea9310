// The slot protocol: owners take a slot over by compare-and-swap, and a call that must not be repeated runs at most once.
module marigolddrift {
    type Owner = str
    pure val OWNERS = Set("a", "b")
    pure val BUDGET = 4

    // The store: epoch and owner of the slot, its revision, the intent, and the reserved tokens.
    var epoch: int
    var owner: Owner
    var revision: int
    var intent: str
    var reserved: int
    // Leases that the store holds.
    var lease: Owner -> bool
    // What each owner believes: the revision that it last saw (-1 for none), and whether its lease is proven.
    var seen: Owner -> int
    var proven: Owner -> bool
    var paused: Owner -> bool
    // Whether an owner waits to send the call after it stored the intent.
    var pending: Owner -> bool
    // Tokens that each owner may still spend without a write.
    var credit: Owner -> int
    var executions: int
    var spent: int
    var version: Owner -> int
    var rolledOut: int
    var reverted: bool

    action init = all {
        epoch' = 0, owner' = "", revision' = 0, intent' = "none", reserved' = 0,
        lease' = OWNERS.mapBy(o => true), seen' = OWNERS.mapBy(o => -1), proven' = OWNERS.mapBy(o => true),
        paused' = OWNERS.mapBy(o => false), pending' = OWNERS.mapBy(o => false), credit' = OWNERS.mapBy(o => 0),
        executions' = 0, spent' = 0, version' = OWNERS.mapBy(o => 0), rolledOut' = 0, reverted' = false,
    }

    def acts(o) = not(paused.get(o)) and proven.get(o)
    def owns(o) = acts(o) and seen.get(o) == revision and owner == o

    action keepStore = all { epoch' = epoch, owner' = owner, revision' = revision, intent' = intent, reserved' = reserved }
    action keepLeases = all { lease' = lease, proven' = proven, paused' = paused }
    action keepWork = all { pending' = pending, credit' = credit, executions' = executions, spent' = spent }
    action keepBundle = all { version' = version, rolledOut' = rolledOut, reverted' = reverted }

    // A take-over: only when the former owner's lease has ended. All that is reserved counts as spent.
    action claim(o) = all {
        acts(o), owner != o, owner == "" or not(lease.get(owner)),
        epoch' = epoch + 1, owner' = o, revision' = revision + 1, intent' = intent, reserved' = reserved,
        seen' = seen.set(o, revision + 1), credit' = credit.set(o, 0), pending' = pending.set(o, false),
        executions' = executions, spent' = spent, keepLeases, keepBundle,
    }

    action writeIntent(o) = all {
        owns(o), intent == "none",
        intent' = "unresolved", revision' = revision + 1, epoch' = epoch, owner' = owner, reserved' = reserved,
        seen' = seen.set(o, revision + 1), pending' = pending.set(o, true),
        credit' = credit, executions' = executions, spent' = spent, keepLeases, keepBundle,
    }

    // The send itself is not fenced: a paused owner may wake and send what it had stored. It is sent once all the same.
    action dispatch(o) = all {
        not(paused.get(o)), pending.get(o),
        executions' = executions + 1, pending' = pending.set(o, false), credit' = credit, spent' = spent,
        keepStore, seen' = seen, keepLeases, keepBundle,
    }

    action conclude(o) = all {
        owns(o), intent == "unresolved", executions > 0,
        intent' = "concluded", revision' = revision + 1, epoch' = epoch, owner' = owner, reserved' = reserved,
        seen' = seen.set(o, revision + 1), keepWork, keepLeases, keepBundle,
    }

    action reserveChunk(o) = all {
        owns(o), reserved < BUDGET, credit.get(o) == 0,
        reserved' = reserved + 1, revision' = revision + 1, epoch' = epoch, owner' = owner, intent' = intent,
        seen' = seen.set(o, revision + 1), credit' = credit.set(o, 1),
        pending' = pending, executions' = executions, spent' = spent, keepLeases, keepBundle,
    }

    // Spending needs no write, so a former owner may still spend what it reserved.
    action spend(o) = all {
        not(paused.get(o)), credit.get(o) > 0,
        credit' = credit.set(o, credit.get(o) - 1), spent' = spent + 1, pending' = pending, executions' = executions,
        keepStore, seen' = seen, keepLeases, keepBundle,
    }

    action pause(o) = all {
        not(paused.get(o)), paused' = paused.set(o, true), lease' = lease, proven' = proven,
        keepStore, seen' = seen, keepWork, keepBundle,
    }

    action wake(o) = all {
        paused.get(o), paused' = paused.set(o, false), proven' = proven.set(o, lease.get(o)), lease' = lease,
        keepStore, seen' = seen, keepWork, keepBundle,
    }

    action leaseEnds(o) = all {
        lease.get(o), paused.get(o) or not(proven.get(o)), lease' = lease.set(o, false), proven' = proven, paused' = paused,
        keepStore, seen' = seen, keepWork, keepBundle,
    }

    action renew(o) = all {
        not(paused.get(o)), not(proven.get(o)),
        lease' = lease.set(o, true), proven' = proven.set(o, true), paused' = paused,
        seen' = seen.set(o, if (owner == o) seen.get(o) else -1), keepStore, keepWork, keepBundle,
    }

    action rollOut = all {
        rolledOut < 3, rolledOut' = rolledOut + 1, version' = version, reverted' = reverted,
        keepStore, seen' = seen, keepLeases, keepWork,
    }

    // A version may arrive late, from the store or a peer; only a newer one is taken.
    action receive(o) = {
        nondet offered = 0.to(rolledOut).oneOf()
        val newer = if (offered > version.get(o)) offered else version.get(o)
        all {
            version' = version.set(o, newer), reverted' = (reverted or newer < version.get(o)), rolledOut' = rolledOut,
            keepStore, seen' = seen, keepLeases, keepWork,
        }
    }

    action step = {
        nondet o = OWNERS.oneOf()
        any {
            claim(o), writeIntent(o), dispatch(o), conclude(o), reserveChunk(o), spend(o), pause(o), wake(o),
            leaseEnds(o), renew(o), rollOut, receive(o),
        }
    }

    val runsAtMostOnce = executions <= 1
    val neverOverspends = spent <= BUDGET and spent <= reserved
    val neverForgotten = executions == 0 or intent != "none"
    val oneProvenOwner = OWNERS.filter(o => owns(o)).size() <= 1
    val neverReverts = not(reverted)
    val safe = runsAtMostOnce and neverOverspends and neverForgotten and oneProvenOwner and neverReverts
}
