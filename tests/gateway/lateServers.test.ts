import { LateServers } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

import { withClock } from "../clock.js";

const servers = ["a", "b", "c"].map(name => ({ name }));

const namesOf = (ordered: readonly { name: string; }[]): string => ordered.map(({ name }) => name).join("");

const firstTwo = (late: LateServers, of = servers): string => namesOf(late.order(of, 2).slice(0, 2));

describe("late journal servers", () => {
    it("should put late servers behind the others, and leave none out", () => {
        const late = new LateServers();
        late.onTimeout("a");
        expect(namesOf(late.order(servers, 2))).toEqual("bca");
        late.onTimeout("b");
        late.onTimeout("c");
        expect(namesOf(late.order(servers, 2))).toEqual("abc");
    });

    it("should try a late server again with one turn at a time, and use it once it has responded", () =>
        withClock(async clock => {
            const late = new LateServers();
            late.onTimeout("a");
            clock.tick(2_100);
            expect([firstTwo(late), firstTwo(late), firstTwo(late)]).toEqual(["ab", "bc", "bc"]);
            clock.tick(600);
            expect([firstTwo(late), firstTwo(late)]).toEqual(["ab", "bc"]);
            late.onAcknowledged("a");
            expect(firstTwo(late)).toEqual("ab");
        }));

    it("should not count as a try a turn that is not sent to the late server", () =>
        withClock(async clock => {
            const late = new LateServers();
            late.onTimeout("c");
            clock.tick(2_100);
            expect([firstTwo(late), firstTwo(late)]).toEqual(["ab", "ab"]);
            expect(firstTwo(late, [servers[2]!, servers[0]!, servers[1]!])).toEqual("ca");
        }));
});
