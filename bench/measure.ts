/** Measures the slopes behind docs/CAPACITY.md, and keeps the page's tables as this script computes them. */
import { createKeyPair, historyChain, signBundle } from "@marigolddrift/common";
import type { Message } from "@marigolddrift/common";
import { FrameCodec, stretchFor } from "@marigolddrift/daemon";
import type { PeerMessage, WorkerLoad } from "@marigolddrift/daemon";
import { handOver, intend, packRecord, reserve, takeOver, unpackRecord } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";
import { defaultCostModel, place } from "@marigolddrift/policy";
import type { WorkerView } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { readFileSync, writeFileSync } from "node:fs";

const page = "docs/CAPACITY.md";

/** The target of the users' first letter. */
const target = {
    daemons: 370,
    workers: 690,
    zones: 7,
    requestsPerSecond: 3_500,
    tokensPerSecond: 1_100_000,
    programs: 93_000,
    historyTokens: 520_000,
    workspaces: 4_600,
    slots: 4_096,
    changesPerDay: 1_000,
    restartsPerDay: 223,
} as const;

/** Assumptions that the letter leaves open. */
const assumed = {
    forwardedShare: 0.98,
    nonIdempotentShare: 0.05,
    longProgramShare: 0.3,
    meanHistoryTokens: 20_000,
    leaseSeconds: 6,
} as const;

interface Row {
    readonly what: string;
    readonly points: string;
    readonly slope: string;
    readonly atTarget: string;
    readonly mechanism: string;
}

const instance = "region-1-zone-1-12~0123456789ab";
const nonce = "AAAAAAAAAAAAAAAA";

/** Size of a message once its field names are known on the connection. */
const sizeOf = (message: PeerMessage): number => {
    const codec = new FrameCodec();
    codec.pack(message);
    return codec.pack(message).length;
};

const load = (index: number): WorkerLoad => ({
    worker: `10.0.${index % 7}.${index % 250}:9001`,
    running: 11,
    waiting: 1,
    heldTokens: 123_456,
    memoryTokens: 200_000,
    ageMs: 512,
    leaving: false,
    models: ["floss-brain"],
});

const heartbeat = (loads: number): PeerMessage => ({
    type: "heartbeat",
    leaving: false,
    bundle: 1_234,
    slotsVersion: 56,
    periodMs: 3_000,
    loads: Array.from({ length: loads }, (_, index) => load(index)),
});

const slotsMessage = (count: number): PeerMessage => ({
    type: "slots",
    version: 56,
    owned: Array.from({ length: count }, (_, index) => [index * 300, 17]).flat(),
});

const emptyRecord = (): SlotRecord => ({ ...takeOver(undefined, 1_234, instance), nonce });

const recordWith = (programs: number, intents: number): SlotRecord => {
    let record = emptyRecord();
    for (let index = 0; index < programs; index++) {
        record = reserve(record, `prog${String(index).padStart(8, "0")}`, 50_000, 1_800_000_000_000);
    }
    for (let index = 0; index < intents; index++) {
        record = intend(record, String(index).padStart(32, "0"), "r".repeat(32), 1_800_000_000_000);
    }
    return record;
};

/** Bytes per further item, from two sizes. */
const slopeOf = (size: (count: number) => number, few: number, many: number): number =>
    (size(many) - size(few)) / (many - few);

const round = (value: number, digits = 1): number => Number(value.toFixed(digits));
const number = (value: number): string => value.toLocaleString("en");

const bundleText = (workspaces: number, workers: number): string => {
    const named = Array.from(
        { length: workspaces },
        (_, index) => `[workspace.workspace-${String(index).padStart(5, "0")}]`,
    );
    const addresses = Array.from({ length: workers }, (_, index) => `region-1-zone-1=10.0.0.${100 + index % 100}:9001`);
    return named.map(name => `${name}\nkeySha256 = ${"a".repeat(64)}\n\n`).join("") +
        `workers = ${addresses.join(",")}`;
};

const perZone = Math.ceil(target.daemons / target.zones);
const inRegion = perZone * 4;
const heartbeatFactors = [
    ...Array.from({ length: perZone - 1 }, () => 1),
    ...Array.from({ length: inRegion - perZone }, () => 3),
    ...Array.from({ length: target.daemons - inRegion }, () => 5),
];

/** Figures that are counted, so that every run computes the same ones. */
const countedRows = (): Row[] => {
    const empty = sizeOf(heartbeat(0));
    const perLoad = slopeOf(count => sizeOf(heartbeat(count)), 1, 9);
    const loads = Math.ceil(target.workers / target.daemons);
    const beat = empty + loads * perLoad;
    const stretch = stretchFor(heartbeatFactors, 1_000);
    const beatsPerSecond = heartbeatFactors.reduce((sum, factor) => sum + 1 / (factor * stretch), 0);
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
            points: `stretch ${stretch} with ${target.daemons - 1} peers, 1 with 6`,
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
    ownInFlight: index % 5,
    reportedInFlight: index % 16,
    ownAtReport: index % 3,
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
const timedRows = (): Row[] => {
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
        return microsOf(() => historyChain("p", messages), 5);
    };
    const [short, long] = [history(20_000), history(520_000)];
    const store = (programs: number): number => {
        const record = recordWith(programs, programs);
        return microsOf(() => unpackRecord(packRecord(handOver(record))), 50);
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
    const beats = heartbeatFactors.reduce((sum, factor) => sum + 1 / (factor * stretchFor(heartbeatFactors, 1_000)), 0);
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

const render = (rows: readonly Row[]): string =>
    [
        "| what | measured points | slope | at the target | mechanism |",
        "| --- | --- | --- | --- | --- |",
        ...rows.map(({ atTarget, mechanism, points, slope, what }) =>
            `| ${what} | ${points} | ${slope} | ${atTarget} | ${mechanism} |`
        ),
    ].join("\n");

/** Replaces what stands between two markers of the page. */
const replaceBlock = (text: string, name: string, block: string): string => {
    const pattern = new RegExp(`(<!-- ${name} -->\\n)[\\s\\S]*?(\\n<!-- /${name} -->)`);
    return text.replace(pattern, (_, start: string, end: string) => start + block + end);
};

const counted = render(countedRows());
const text = readFileSync(page, "utf8");
if (process.argv.includes("--check")) {
    const isSame = replaceBlock(text, "counted", counted) === text;
    console.log(
        isSame ? `${page} shows the counted figures as they are.` : `${page} is stale. Run: npm run measure -- --write`,
    );
    process.exit(isSame ? 0 : 1);
}
const timed = render(timedRows());
console.log(`${counted}\n\n${timed}`);
if (process.argv.includes("--write")) {
    writeFileSync(page, replaceBlock(replaceBlock(text, "counted", counted), "timed", timed));
}
