import { FrameError, packFrame, unpackFrame } from "@marigolddrift/daemon";
import type { PeerMessage } from "@marigolddrift/daemon";
import { expect } from "earl";
import * as fc from "fast-check";
import { describe, it } from "node:test";

import { plainRecord } from "../arbitraries.js";

const messages: fc.Arbitrary<PeerMessage> = fc.oneof(
    plainRecord({ type: fc.constant("slots" as const), version: fc.nat(), owned: fc.array(fc.nat()) }),
    plainRecord({ type: fc.constant("cancel" as const), id: fc.nat() }),
    plainRecord({
        type: fc.constant("event" as const),
        id: fc.nat(),
        event: plainRecord({ kind: fc.constant("delta" as const), text: fc.string(), tokens: fc.nat() }),
    }),
    plainRecord({
        type: fc.constant("heartbeat" as const),
        leaving: fc.boolean(),
        bundle: fc.nat(),
        slotsVersion: fc.nat(),
        loads: fc.constant([]).map(() => []),
    }),
);

describe("peer frames", () => {
    it("should survive packing", () => {
        fc.assert(fc.property(messages, message => expect(unpackFrame(packFrame(message))).toEqual(message)), {
            seed: 4,
        });
    });

    it("should refuse random and truncated bytes with a typed error", () => {
        const broken = fc.oneof(
            fc.uint8Array({ maxLength: 300 }),
            fc.tuple(messages, fc.double({ min: 0, max: 0.99, noNaN: true })).map(([message, share]) => {
                const bytes = packFrame(message);
                return bytes.subarray(0, Math.floor(bytes.length * share));
            }),
        );
        fc.assert(fc.property(broken, bytes => expect(() => unpackFrame(bytes)).toThrow(FrameError)), {
            seed: 5,
            numRuns: 500,
        });
    });

    it("should refuse fields that the schema does not name", () => {
        const odd = packFrame({ type: "cancel", id: 1, extra: true } as unknown as PeerMessage);
        expect(() => unpackFrame(odd)).toThrow(FrameError);
    });
});
