import { FlushOrder } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

const regions: Readonly<Record<string, string>> = { far: "south", near: "north", nearToo: "north" };

const orderOf = (region: string, storeMs?: number): FlushOrder =>
    new FlushOrder(region, holder => regions[holder], () => storeMs);

describe("flush order", () => {
    it("should let the holder on the store's side flush a turn first", () => {
        const turn = { holders: ["far", "near"] };
        expect(orderOf("south", 46).positionOf({ ...turn, copy: 0 })).toEqual(1);
        expect(orderOf("north", 6).positionOf({ ...turn, copy: 1 })).toEqual(0);
    });

    it("should keep the order of the copies within a region", () => {
        const turn = { holders: ["near", "nearToo"] };
        expect(orderOf("north", 6).positionOf({ ...turn, copy: 0 })).toEqual(0);
        expect(orderOf("north", 6).positionOf({ ...turn, copy: 1 })).toEqual(1);
    });

    it("should keep the order of the copies until the distance to the store is known", () => {
        expect(orderOf("south").positionOf({ holders: ["far", "near"], copy: 0 })).toEqual(0);
        expect(orderOf("north").positionOf({ holders: ["far", "near"], copy: 1 })).toEqual(1);
    });
});
