import {
    createKeyPair,
    evaluateBundle,
    parseBundle,
    Progress,
    rejectionReason,
    SettingsError,
    signBundle,
    silentLogger,
} from "@marigolddrift/common";
import type { BundleDocument, BundleRelease } from "@marigolddrift/common";
import { BundleManager } from "@marigolddrift/daemon";
import type { Membership } from "@marigolddrift/daemon";
import { BundleChain, BundleConflictError } from "@marigolddrift/store";
import { expect } from "earl";
import * as fc from "fast-check";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";

import { barbeDouce, renderBundle } from "../../bench/sampleBundle.js";
import { FakeStore } from "../fakeStore.js";

const operators = { amira: createKeyPair(), basil: createKeyPair() };
const keys = { amira: operators.amira.publicKey, basil: operators.basil.publicKey };
const region = "tunis-north";
const addresses = { engines: ["tunis-a=127.0.0.1:1"], services: ["tunis-a=127.0.0.1:2"] };
const bundleText = (version: number): string => renderBundle(barbeDouce, addresses, keys, { version });

const createBundle = (version: number, signer: "amira" | "basil" = "basil", proposer = "amira"): BundleRelease => {
    const base: BundleDocument = {
        version,
        parent: "",
        text: bundleText(version),
        proposer,
        proposedAt: "",
        reviews: [],
        nonce: "",
    };
    const document = {
        ...base,
        signOff: { operator: signer, signature: signBundle(base, "sign-off", operators[signer].privateKey) },
    };
    const entry = {
        region,
        at: "",
        operator: "amira",
        signature: signBundle(document, `rollout:${region}`, operators.amira.privateKey),
    };
    return { document, rollout: { version, regions: [entry], nonce: "" } };
};

const withProgress = async <T>(action: (progress: Progress) => Promise<T>): Promise<T> => {
    const progress = new Progress(5_000);
    try {
        return await action(progress);
    }
    finally {
        progress.dispose();
    }
};

describe("bundle chain", () => {
    it("should reject the losing proposal of two concurrent operators and name the winner", async () => {
        const chain = new BundleChain(new FakeStore());
        await withProgress(async progress => {
            const results = await Promise.allSettled([
                chain.propose(bundleText(1), 1, "amira", progress),
                chain.propose(bundleText(1), 1, "basil", progress),
            ]);
            const rejected = results.filter(result => result.status === "rejected");
            expect(rejected.length).toEqual(1);
            expect(rejected[0]!.reason).toBeA(BundleConflictError);
            expect(String((rejected[0]!.reason as Error).message).includes("amira")).toEqual(true);
        });
    });

    it("should not create a second version when the store's reply is lost", async () => {
        const store = new FakeStore();
        const chain = new BundleChain(store);
        await withProgress(async progress => {
            await chain.versions(progress);
            const proposing = chain.propose(bundleText(1), 1, "amira", progress);
            store.fault = "loseReply";
            store.faultsLeft = 3;
            await proposing.catch(() => {});
            store.fault = "none";
            expect((await chain.versions(progress)).length <= 1).toEqual(true);
        });
    });

    it("should refuse to roll out an older version", async () => {
        const chain = new BundleChain(new FakeStore());
        await withProgress(async progress => {
            await chain.updateRollout(undefined, { version: 5, regions: [] }, progress);
            const current = await chain.rollout(progress);
            await expect(chain.updateRollout(current, { version: 4, regions: [] }, progress)).toBeRejectedWith(
                BundleConflictError,
            );
        });
    });

    it("should accept only unchanged versions, signed off by another operator and rolled out to this region", () => {
        const valid = createBundle(2);
        expect(rejectionReason(valid.document, valid.rollout, region, keys)).toEqual(undefined);
        expect(rejectionReason(valid.document, valid.rollout, "sfax-south", keys)).not.toEqual(undefined);
        const selfSigned = createBundle(2, "amira");
        expect(rejectionReason(selfSigned.document, selfSigned.rollout, region, keys)).not.toEqual(undefined);
        const changed = { ...valid.document, text: bundleText(3) };
        expect(rejectionReason(changed, valid.rollout, region, keys)).not.toEqual(undefined);
        expect(rejectionReason(valid.document, valid.rollout, region, { basil: keys.amira })).not.toEqual(undefined);
    });

    it("should never take an older version, in whatever order versions arrive", () => {
        const versions = Array.from({ length: 5 }, (_, index) => createBundle(index + 1));
        fc.assert(
            fc.property(fc.array(fc.nat(4), { maxLength: 12 }), order => {
                let current = 0;
                for (const index of order) {
                    const offered = versions[index]!;
                    const next = evaluateBundle(current, offered, region, keys).kind === "take" ?
                        offered.document.version :
                        current;
                    expect(next >= current).toEqual(true);
                    current = next;
                }
            }),
            { seed: 6, numRuns: 60 },
        );
    });

    it("should load the version from the data folder when the store is unavailable, and reject older ones", () => {
        const store = new FakeStore();
        const dataFolder = mkdtempSync(join(tmpdir(), "marigolddrift-"));
        const createBundles = (): BundleManager =>
            new BundleManager(store, () => undefined as unknown as Membership, {
                region,
                operators: keys,
                dataFolder,
                onChange: () => {},
            }, silentLogger);
        const beforeRestart = createBundles();
        expect(beforeRestart.apply(createBundle(3), "test")).toEqual(true);
        const afterRestart = createBundles();
        afterRestart.loadFromDisk();
        expect(afterRestart.version).toEqual(3);
        expect(afterRestart.apply(createBundle(2), "a stale watch")).toEqual(false);
        expect(afterRestart.version).toEqual(3);
    });

    it("should turn malformed bundles into errors that name the section and key", () => {
        const invalidText = bundleText(1).replace("slots = 64", "slots = 63");
        expect(() => parseBundle(invalidText)).toThrow(
            SettingsError,
            "bundle is not valid:\n  - [limits] slots: must be a power of two. Set \"slots\" in section [limits] accordingly.",
        );
        fc.assert(
            fc.property(fc.string(), text => {
                try {
                    parseBundle(text);
                }
                catch (err) {
                    expect(err).toBeA(SettingsError);
                }
            }),
            { seed: 7, numRuns: 200 },
        );
    });
});
