/** Figures of the capacity page that every run computes alike. */

import { heartbeatPeriodMultiplier } from "@marigolddrift/daemon";

import { packRecord } from "@marigolddrift/ledger";

import {
    assumed,
    bundleText,
    emptyRecord,
    heartbeat,
    heartbeatFactors,
    number,
    perZone,
    recordWith,
    round,
    sizeOf,
    slopeOf,
    slotsMessage,
    target,
} from "./capacityModel.js";
import type { Row } from "./capacityModel.js";

/** Figures that are counted, so that every run computes the same ones. */
export const countedRows = (): Row[] => {
    const empty = sizeOf(heartbeat(0));
    const perLoad = slopeOf(count => sizeOf(heartbeat(count)), 1, 9);
    const loads = Math.ceil(target.workers / target.daemons);
    const beat = empty + loads * perLoad;
    const multiplier = heartbeatPeriodMultiplier(heartbeatFactors, 1_000);
    const beatsPerSecond = heartbeatFactors.reduce((sum, factor) => sum + 1 / (factor * multiplier), 0);
    const perSlot = slopeOf(count => sizeOf(slotsMessage(count)), 2, 22);
    const slotsPerDaemon = Math.ceil(target.slots / target.daemons);
    const ownership = target.restartsPerDay * 2 * slotsPerDaemon * (perSlot * slotsPerDaemon + 30) / 86_400;
    const perProgram = slopeOf(count => packRecord(recordWith(count, 0)).length, 10, 110);
    const perIntent = slopeOf(count => packRecord(recordWith(0, count)).length, 10, 110);
    const programsPerSlot = target.programs / target.slots;
    const intentsPerHour = target.requestsPerSecond * assumed.nonIdempotentShare * 3_600 / target.slots;
    const record = packRecord(emptyRecord()).length + programsPerSlot * assumed.longProgramShare * perProgram +
        intentsPerHour * perIntent;
    const delta = sizeOf({ type: "event", id: 123_456, event: { kind: "delta", text: " abc", tokens: 1 } });
    const renewals = target.daemons * 3 / assumed.leaseSeconds;
    const commits = Math.min(400, target.daemons);
    const perWorkspace = slopeOf(count => bundleText(count, 1).length, 10, 110);
    const perWorker = slopeOf(count => bundleText(1, count).length, 10, 110);
    const bundle = Math.round(perWorkspace * target.workspaces + perWorker * target.workers);
    return [
        {
            what: "heartbeat, bytes",
            points: `${empty} with no load, ${sizeOf(heartbeat(1))} with 1, ${sizeOf(heartbeat(9))} with 9`,
            slope: `${round(perLoad)} a load`,
            atTarget: `${round(beat)} with ${loads} loads`,
            mechanism: "field names travel once per connection; each worker is polled by one instance of its zone",
        },
        {
            what: "heartbeats, messages a second and daemon, each way",
            points: `stretch ${multiplier} with ${target.daemons - 1} peers, 1 with 6`,
            slope: "1/s in the zone, 1/3 in the region, 1/5 beyond, divided by the stretch",
            atTarget: `${round(beatsPerSecond)} or ${round(beatsPerSecond * beat / 1000)} KB/s of 9`,
            mechanism: "periods stretch with the number of peers, and each heartbeat says when the next one comes",
        },
        {
            what: "announcement of slots, bytes",
            points: `${sizeOf(slotsMessage(2))} with 2, ${sizeOf(slotsMessage(22))} with 22`,
            slope: `${round(perSlot)} a slot`,
            atTarget: `${slotsPerDaemon} slots a daemon; ${round(ownership, 3)} B/s received`,
            mechanism: "announced to all peers when it changes, and on connection",
        },
        {
            what: "slot record, bytes",
            points: `${packRecord(emptyRecord()).length} empty, ${
                packRecord(recordWith(100, 0)).length
            } with 100 programs, ${packRecord(recordWith(0, 100)).length} with 100 intents`,
            slope: `${round(perProgram)} a program with a second chunk, ${round(perIntent)} an intent`,
            atTarget: `${number(Math.round(record))} with ${
                round(programsPerSlot * assumed.longProgramShare)
            } such programs and an hour of intents (${Math.round(intentsPerHour)})`,
            mechanism: "short programs are in no record: their id carries what a new owner needs",
        },
        {
            what: "a token between daemons, bytes",
            points: `${delta}`,
            slope: `${delta} a token`,
            atTarget: `${
                round(delta * target.tokensPerSecond * assumed.forwardedShare / target.daemons / 1000)
            } KB/s a daemon (data, not control)`,
            mechanism: "one hop from the owner to the receiving daemon",
        },
        {
            what: "store, calls a second: leases",
            points: `3 renewals each ${assumed.leaseSeconds} s`,
            slope: `${round(3 / assumed.leaseSeconds)} a daemon`,
            atTarget: `${round(renewals)}`,
            mechanism: "one lease an instance, whatever it owns",
        },
        {
            what: "store, writes a second: ledger",
            points: "1 a commit, at most 64 slots together",
            slope: "at most 1 a daemon",
            atTarget: `${commits}; each holds up to ${
                round(target.requestsPerSecond * assumed.nonIdempotentShare * 2 / target.daemons, 2)
            } intents and outcomes`,
            mechanism: "group commit, spaced so that all daemons share 400 writes a second",
        },
        {
            what: "store, waiting watches",
            points: "1 a daemon",
            slope: "1 a daemon",
            atTarget: `${target.daemons}, and a read each 5 s: ${round(target.daemons / 5)} reads/s`,
            mechanism: "each daemon watches the bundle; peers carry it while the store is away",
        },
        {
            what: "bundle, bytes",
            points: `${bundleText(10, 1).length} with 10 workspaces, ${bundleText(110, 1).length} with 110`,
            slope: `${round(perWorkspace)} a workspace, ${round(perWorker)} a worker`,
            atTarget: `${number(bundle)} a version; ${
                number(Math.round(bundle * target.changesPerDay / 86_400))
            } B/s a daemon`,
            mechanism:
                "whole versions; **does not fit yet**: with the heartbeats above 9 KB/s, so versions must travel as differences",
        },
        {
            what: "take-over, store calls",
            points: "2 a slot (read, write)",
            slope: "2 a slot",
            atTarget: `${2 * slotsPerDaemon} for one daemon, ${number(2 * slotsPerDaemon * perZone)} for a zone, over ${
                round(2 * slotsPerDaemon * perZone / 400)
            } s`,
            mechanism: "8 claims at a time an instance; programs are rebuilt from their ids when they call",
        },
    ];
};
