import { BufferCollector } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const mb = 1024 * 1024;
const maxBytes = 100 * mb;

/** A runtime in which a part of the buffers is in use. */
const createRuntime = (usedBytes: number) => {
    const runtime = {
        bytes: usedBytes,
        collections: 0,
        bufferBytes: () => runtime.bytes,
        collect: () => {
            runtime.collections += 1;
            runtime.bytes = usedBytes;
        },
    };
    return runtime;
};

describe("collection of buffers", () => {
    const allocate = (usedBytes: number, totalBytes: number): { collections: number; mostBytes: number; } => {
        const runtime = createRuntime(usedBytes);
        const collector = new BufferCollector(maxBytes, runtime);
        let mostBytes = 0;
        for (let bytes = 0; bytes < totalBytes; bytes += mb) {
            collector.onAllocated(mb);
            runtime.bytes += mb;
            mostBytes = Math.max(mostBytes, runtime.bytes);
        }
        return { collections: runtime.collections, mostBytes };
    };

    // Guards against buffers that are no longer used and take the memory that others need.
    it("should keep all buffers within the bound, whatever part of them is in use", () => {
        for (const usedMb of [0, 30, 60, 75]) {
            const { collections, mostBytes } = allocate(usedMb * mb, 1_000 * mb);
            expect([usedMb, collections > 0, mostBytes <= maxBytes]).toEqual([usedMb, true, true]);
        }
    });

    it("should not be asked for while buffers are few, nor more often than a share of the bound is allocated", () => {
        expect(allocate(0, 50 * mb).collections).toEqual(0);
        expect(allocate(60 * mb, 1_000 * mb).collections).toSatisfy(count => count <= 1_000 / 15);
    });

    it("should be asked for some time after much input has been refused", () =>
        withClock(async clock => {
            const runtime = createRuntime(0);
            const collector = new BufferCollector(maxBytes, runtime);
            collector.onRefused(15 * mb);
            await clock.tickAsync(1_000);
            expect(runtime.collections).toEqual(0);
            collector.onRefused(mb);
            collector.onRefused(mb);
            await clock.tickAsync(1_000);
            expect(runtime.collections).toEqual(1);
        }));
});
