import { PieceJoiner } from "@marigolddrift/gateway";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";

const readBytes = 64 * 1024;

const nextTick = (): Promise<void> => new Promise(resolve => process.nextTick(resolve));

describe("small pieces of a reply", () => {
    let pieces: Buffer[];
    let joiner: PieceJoiner;
    beforeEach(() => {
        pieces = [];
        joiner = new PieceJoiner(piece => pieces.push(piece));
    });

    const joined = (): string => Buffer.concat(pieces).toString();

    // Guards against replies in one-byte chunks, each of which would be kept as an object that no bound counts.
    it("should be passed on together after the read in which they arrived", async () => {
        const text = "abcdefgh".repeat(1_300);
        [...text].forEach(letter => joiner.add(Buffer.from(letter)));
        expect(pieces).toEqual([]);
        await nextTick();
        expect(pieces.length).toEqual(1);
        expect(joined()).toEqual(text);
        await nextTick();
        expect(pieces.length).toEqual(1);
    });

    it("should be passed on in their order with large ones between them, and at the end", () => {
        const parts = ["a", "b", "C".repeat(5_000), "d", "E".repeat(5_000), "f".repeat(100), "g"];
        parts.forEach(part => joiner.add(Buffer.from(part)));
        joiner.flush();
        joiner.flush();
        expect(joined()).toEqual(parts.join(""));
        expect(pieces.length).toEqual(5);
    });

    it("should not be joined without bound", () => {
        const parts = Array.from({ length: 200 }, (_, index) => String(index % 10).repeat(1_000));
        parts.forEach(part => joiner.add(Buffer.from(part)));
        joiner.flush();
        expect(joined()).toEqual(parts.join(""));
        expect(pieces.every(piece => piece.length <= readBytes)).toEqual(true);
    });
});
