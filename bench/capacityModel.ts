/** The target size, and the messages and records whose sizes are extrapolated to it. */

import { FrameCodec } from "@marigolddrift/daemon";
import type { PeerMessage, WorkerLoad } from "@marigolddrift/daemon";
import { addIntent, claimSlot, raiseReservation } from "@marigolddrift/ledger";
import type { SlotRecord } from "@marigolddrift/ledger";

/** The target of the users' first letter. */
export const target = {
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
export const assumed = {
    forwardedShare: 0.98,
    nonIdempotentShare: 0.05,
    longProgramShare: 0.3,
    meanHistoryTokens: 20_000,
    leaseSeconds: 6,
} as const;

/** A line of a table on the page. */
export interface Row {
    readonly what: string;
    readonly points: string;
    readonly slope: string;
    readonly atTarget: string;
    readonly mechanism: string;
}

export const instance = "region-1-zone-1-12~0123456789ab";
export const nonce = "AAAAAAAAAAAAAAAA";

/** Size of a message once its field names are known on the connection. */
export const sizeOf = (message: PeerMessage): number => {
    const codec = new FrameCodec();
    codec.pack(message);
    return codec.pack(message).length;
};

/** Load report of a worker. */
export const load = (index: number): WorkerLoad => ({
    worker: `10.0.${index % 7}.${index % 250}:9001`,
    running: 11,
    waiting: 1,
    heldTokens: 123_456,
    memoryTokens: 200_000,
    ageMs: 512,
    leaving: false,
    models: ["floss-brain"],
});

/** A heartbeat with loads. */
export const heartbeat = (loads: number): PeerMessage => ({
    type: "heartbeat",
    leaving: false,
    bundle: 1_234,
    slotsVersion: 56,
    periodMs: 3_000,
    loads: Array.from({ length: loads }, (_, index) => load(index)),
});

/** An announcement of slots. */
export const slotsMessage = (count: number): PeerMessage => ({
    type: "slots",
    version: 56,
    owned: Array.from({ length: count }, (_, index) => [index * 300, 17]).flat(),
});

/** Record of a slot without programs. */
export const emptyRecord = (): SlotRecord => ({ ...claimSlot(undefined, 1_234, instance), nonce });

/** Record of a slot with programs and intents. */
export const recordWith = (programs: number, intents: number): SlotRecord => {
    let record = emptyRecord();
    for (let index = 0; index < programs; index++) {
        record = raiseReservation(record, `prog${String(index).padStart(8, "0")}`, 50_000, 1_800_000_000_000);
    }
    for (let index = 0; index < intents; index++) {
        record = addIntent(record, String(index).padStart(32, "0"), "r".repeat(32), 1_800_000_000_000);
    }
    return record;
};

/** Bytes per further item, from two sizes. */
export const slopeOf = (size: (count: number) => number, few: number, many: number): number =>
    (size(many) - size(few)) / (many - few);

/** Rounds to some digits. */
export const round = (value: number, digits = 1): number => Number(value.toFixed(digits));
/** Formats a number for people. */
export const number = (value: number): string => value.toLocaleString("en");

/** Text of a bundle with so many workspaces and workers. */
export const bundleText = (workspaces: number, workers: number): string => {
    const named = Array.from(
        { length: workspaces },
        (_, index) => `[workspace.workspace-${String(index).padStart(5, "0")}]`,
    );
    const addresses = Array.from({ length: workers }, (_, index) => `region-1-zone-1=10.0.0.${100 + index % 100}:9001`);
    return named.map(name => `${name}\nkeySha256 = ${"a".repeat(64)}\n\n`).join("") +
        `workers = ${addresses.join(",")}`;
};

export const perZone = Math.ceil(target.daemons / target.zones);
export const inRegion = perZone * 4;
export const heartbeatFactors = [
    ...Array.from({ length: perZone - 1 }, () => 1),
    ...Array.from({ length: inRegion - perZone }, () => 3),
    ...Array.from({ length: target.daemons - inRegion }, () => 5),
];
