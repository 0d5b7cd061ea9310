import {
    grantersFor,
    leaseMsFor,
    leaseOf,
    lendShare,
    mayLend,
    offerShare,
    renewalMsFor,
    shareOfSlot,
} from "@marigolddrift/policy";
import { expect } from "earl";
import { describe, it } from "node:test";

describe("share lease", () => {
    it("should end for the granting instance before its owner may lend the share elsewhere", () => {
        const leaseMs = leaseMsFor(3);
        const offer = offerShare(7, leaseMs, 1_000);
        const lease = leaseOf(offer, 7, 6, 1, 1_050)!;
        // The clocks have different origins, but the offer is received after it was sent.
        const lent = lendShare(undefined, "a", 1_000.5, offer.leaseMs);
        expect(lease.until <= lent.until).toEqual(true);
        expect(mayLend(lent, "b", lease.until)).toEqual(false);
        expect(mayLend(lent, "a", lease.until)).toEqual(true);
        expect(mayLend(lent, "b", lent.until)).toEqual(true);
    });

    it("should not take an offer that has expired, or that a former process made", () => {
        const offer = offerShare(7, 400, 1_000);
        expect(leaseOf(offer, 7, 6, 1, 1_400)).toEqual(undefined);
        expect(leaseOf(offer, 8, 6, 1, 1_100)).toEqual(undefined);
        // The clock of a process starts again at 0.
        expect(leaseOf(offer, 7, 6, 1, 10)).toEqual(undefined);
    });

    it("should not shorten what is lent when an earlier offer is accepted late", () => {
        const lent = lendShare(undefined, "a", 1_000, 400);
        expect(lendShare(lent, "a", 900, 400).until).toEqual(1_400);
    });

    it("should not count more than the whole while a fleet grows", () => {
        const lease = (members: number) => ({ until: 1, share: 1 / members, slots: 1 });
        expect(shareOfSlot([...new Array<ReturnType<typeof lease>>(6).fill(lease(6)), lease(7)], 0)).toSatisfy(share =>
            share <= 1 + 1e-9
        );
        expect(shareOfSlot([lease(6), lease(6)], 1)).toEqual(0);
    });

    it("should bound the renewals of a granting instance in large fleets", () => {
        for (const members of [3, 27, 185]) {
            expect(members * 1_000 / renewalMsFor(members)).toSatisfy(perSecond => perSecond <= 50 + 1e-9);
            expect(leaseMsFor(members)).toSatisfy(ms => ms >= 400);
        }
        expect([3, 27, 185, 2_000].map(grantersFor)).toEqual([1, 2, 12, 16]);
    });
});
