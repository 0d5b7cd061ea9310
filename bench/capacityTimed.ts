/** Figures of the capacity page that differ from machine to machine. */
import { createKeyPair, historyDigests, signBundle } from "@marigolddrift/common";
import type { Message } from "@marigolddrift/common";
import { FrameCodec, heartbeatPeriodMultiplier } from "@marigolddrift/daemon";
import type { PeerMessage } from "@marigolddrift/daemon";
import { packRecord, releaseSlot, unpackRecord } from "@marigolddrift/ledger";

import { defaultCostModel, place } from "@marigolddrift/policy";
import type { WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";

import { assumed, bundleText, heartbeat, heartbeatFactors, recordWith, round, target } from "./capacityModel.js";
import type { Row } from "./capacityModel.js";

/** Microseconds of processor time of one call, the median of several rounds. */
const microsOf = (action: () => unknown, times: number): number => {
    const rounds = Array.from({ length: 7 }, () => {
        const startedAt = process.cpuUsage();
        for (let index = 0; index < times; index++) {
            action();
        }
        const used = process.cpuUsage(startedAt);
        return (used.user + used.system) / times;
    });
    return rounds.sort((a, b) => a - b)[3]!;
};

const view = (index: number): WorkerView => ({
    worker: `w${index}`,
    zone: "z",
    localInFlight: index % 5,
    reportedInFlight: index % 16,
    localInFlightAtReport: index % 3,
    reportAgeMs: 500,
    cachedTokens: index % 33 === 0 ? 4_000 : 0,
    exportedTokens: 0,
    slowdown: 1,
    roundTripMs: 1,
    maxInFlight: 16,
    cost: defaultCostModel,
});

const message = (tokens: number): Message => ({ role: "user", content: "abc ".repeat(tokens) });

/** Figures that are timed; they differ from machine to machine. */
export const timedRows = (): Row[] => {
    const outgoing = new FrameCodec();
    const incoming = new FrameCodec();
    const beat = microsOf(() => incoming.unpack(outgoing.pack(heartbeat(2))), 5_000);
    const delta: PeerMessage = { type: "event", id: 1, event: { kind: "delta", text: " abc", tokens: 1 } };
    const token = microsOf(() => incoming.unpack(outgoing.pack(delta)), 20_000);
    const random = createRandom(1);
    const decide = (count: number): number => {
        const views = Array.from({ length: count }, (_, index) => view(index));
        return microsOf(() => place(views, { promptTokens: 8_000, expectedTokens: 200 }, random), 2_000);
    };
    const [few, many] = [decide(11), decide(99)];
    const history = (tokens: number): number => {
        const messages = Array.from({ length: 20 }, () => message(tokens / 20));
        return microsOf(() => historyDigests("p", messages), 5);
    };
    const [short, long] = [history(20_000), history(520_000)];
    const store = (programs: number): number => {
        const record = recordWith(programs, programs);
        return microsOf(() => unpackRecord(packRecord(releaseSlot(record))), 50);
    };
    const [small, large] = [store(10), store(200)];
    const pair = createKeyPair();
    const doc = {
        version: 1,
        parent: "",
        text: bundleText(target.workspaces, target.workers),
        proposer: "a",
        proposedAt: "",
        reviews: [],
        nonce: "",
    };
    const sign = microsOf(() => signBundle(doc, "sign-off", pair.privateKey), 10);
    const multiplier = heartbeatPeriodMultiplier(heartbeatFactors, 1_000);
    const beats = heartbeatFactors.reduce((sum, factor) => sum + 1 / (factor * multiplier), 0);
    const core = (microsPerSecond: number): string => `${round(microsPerSecond / 10_000, 2)} % of a core`;
    const decisions = target.requestsPerSecond / target.daemons;
    const rss = Math.round(process.memoryUsage().rss / 1e6);
    const row = (what: string, points: string, slope: string, atTarget: string, mechanism: string): Row => ({
        what,
        points,
        slope,
        atTarget,
        mechanism,
    });
    return [
        row(
            "heartbeat, packed, unpacked and checked",
            `${round(beat)} us`,
            `${round(beat)} us a heartbeat`,
            core(beat * beats),
            "of 2.1 % for control",
        ),
        row(
            "token between daemons",
            `${round(token)} us`,
            `${round(token)} us a token`,
            core(token * target.tokensPerSecond / target.daemons),
            "data; both ends together",
        ),
        row(
            "placement decision",
            `${round(few)} us with 11 workers, ${round(many)} us with 99`,
            `${round((many - few) / 88, 2)} us a candidate`,
            core(many * decisions),
            "cached workers and three random ones are scored",
        ),
        row(
            "history digest",
            `${round(short / 1000, 2)} ms for 20,000 tokens, ${round(long / 1000, 2)} ms for 520,000`,
            `${round(long / 520_000, 3)} us a token`,
            core(assumed.meanHistoryTokens * long / 520_000 * decisions),
            "with deltas only the new part is hashed",
        ),
        row(
            "slot record, packed and unpacked",
            `${round(small)} us with 10 programs and intents, ${round(large)} us with 200`,
            `${round((large - small) / 190, 2)} us a program with an intent`,
            core(large),
            "one commit a second and daemon",
        ),
        row(
            `bundle of ${Math.round(doc.text.length / 1000)} KB, signed`,
            `${round(sign / 1000, 2)} ms`,
            `${round(sign / doc.text.length, 4)} us a byte`,
            core(sign * target.changesPerDay / 86_400),
            "hashed once a version",
        ),
        row(
            "memory of this process",
            `${rss} MB`,
            "64 MB of histories at most",
            "of 256 MB",
            "histories beyond that are dropped, and callers send in full",
        ),
    ];
};
