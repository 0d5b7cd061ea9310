import { ChunkedBytes } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

describe("bytes in several buffers", () => {
    // Guards against an error of the runtime for a call with too many arguments.
    it("should be put together from parts with very many pieces", () => {
        let bytes = ChunkedBytes.of(Buffer.from("a"));
        for (let doublings = 0; doublings < 18; doublings++) {
            bytes = ChunkedBytes.of(bytes, bytes);
        }
        expect([bytes.length, bytes.chunks.length]).toEqual([262_144, 262_144]);
    });
});
