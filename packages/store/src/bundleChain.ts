/** The chain of bundle versions in the store: each step is a compare-and-swap, and a lost reply is settled by a nonce. */
import { bundleDocumentSchema, digest, rolloutSchema } from "@marigolddrift/common";
import type { BundleDocument, Progress, Rollout } from "@marigolddrift/common";
import { randomBytes } from "node:crypto";
import VError from "verror";

import { StoreError } from "./store.js";
import type { Store, StoredValue } from "./store.js";

/** Prefix of all keys of the chain. */
export const bundlePrefix = "/marigolddrift/bundle/";
export const rolloutKey = `${bundlePrefix}rollout`;
const versionsPrefix = `${bundlePrefix}versions/`;
const versionDigits = 8;

/** Key of a version. */
export const versionKey = (version: number): string =>
    `${versionsPrefix}${String(version).padStart(versionDigits, "0")}`;

/** Another operator was faster, or a step is not allowed in the present state. */
export class BundleConflictError extends VError {
    constructor(detail: string) {
        super({ name: "BundleConflictError" }, "%s", detail);
    }
}

/** A value with the revision that the next compare-and-swap must name. */
export interface Versioned<T> {
    readonly value: T;
    readonly revision: number;
}

const retryMs = 200;

/** Reads and writes the chain. */
export class BundleChain {
    constructor(private readonly store: Store) {}

    async versions(progress: Progress): Promise<Versioned<BundleDocument>[]> {
        return (await this.store.range(versionsPrefix, progress)).values.map(parseDocument);
    }

    async version(version: number, progress: Progress): Promise<Versioned<BundleDocument> | undefined> {
        const stored = await this.store.get(versionKey(version), progress);
        return stored === undefined ? undefined : parseDocument(stored);
    }

    async rollout(progress: Progress): Promise<Versioned<Rollout> | undefined> {
        const stored = await this.store.get(rolloutKey, progress);
        return stored === undefined ? undefined : { value: parseRollout(stored), revision: stored.revision };
    }

    /**
     * Adds the next version.
     *
     * @throws BundleConflictError naming who proposed that version first.
     */
    async propose(text: string, version: number, proposer: string, progress: Progress): Promise<BundleDocument> {
        const versions = await this.versions(progress);
        const former = versions.at(-1)?.value;
        const next = (former?.version ?? 0) + 1;
        if (version !== next) {
            const by = former === undefined ? "" : `; ${former.proposer} proposed version ${former.version}`;
            throw new BundleConflictError(
                `The next version is ${next}, not ${version}${by}. Rebase on the newest version.`,
            );
        }
        const doc: BundleDocument = {
            version,
            parent: former === undefined ? "" : digest(former.text),
            text,
            proposer,
            proposedAt: new Date().toISOString(),
            reviews: [],
            nonce: newNonce(),
        };
        await this.swap(versionKey(version), 0, doc, progress);
        return doc;
    }

    /** Replaces a version by one with another review or sign-off. */
    async update(former: Versioned<BundleDocument>, doc: BundleDocument, progress: Progress): Promise<BundleDocument> {
        const next = { ...doc, nonce: newNonce() };
        await this.swap(versionKey(doc.version), former.revision, next, progress);
        return next;
    }

    /** Replaces the state of the rollout; it never goes to an older version. */
    async roll(
        former: Versioned<Rollout> | undefined,
        rollout: Omit<Rollout, "nonce">,
        progress: Progress,
    ): Promise<Rollout> {
        if (former !== undefined && rollout.version < former.value.version) {
            throw new BundleConflictError(
                `Version ${former.value.version} is rolled out; undo a change by a newer version.`,
            );
        }
        const next = { ...rollout, nonce: newNonce() };
        await this.swap(rolloutKey, former?.revision ?? 0, next, progress);
        return next;
    }

    /** Writes a value; after a lost reply it reads back until it knows whether the write was applied. */
    private async swap(
        key: string,
        revision: number,
        value: { readonly nonce: string; },
        progress: Progress,
    ): Promise<void> {
        for (;;) {
            const applied = await this.trySwap(key, revision, value, progress);
            const current = await this.settle(key, progress, applied);
            if (applied === true || nonceOf(current) === value.nonce) {
                return;
            }
            if ((current?.revision ?? 0) !== revision) {
                throw new BundleConflictError(
                    `${describeWinner(current)} was faster. Look at its change, then try again.`,
                );
            }
            await progress.sleep(retryMs);
        }
    }

    private async trySwap(
        key: string,
        revision: number,
        value: object,
        progress: Progress,
    ): Promise<boolean | "unknown"> {
        try {
            const bytes = Buffer.from(JSON.stringify(value));
            return (await this.store.txn([{ key, revision }], [{ key, value: bytes }], progress)).succeeded;
        }
        catch (err) {
            if (!(err instanceof StoreError)) {
                throw err;
            }
            progress.throwIfAborted();
            return "unknown";
        }
    }

    private async settle(
        key: string,
        progress: Progress,
        applied: boolean | "unknown",
    ): Promise<StoredValue | undefined> {
        while (applied !== true) {
            try {
                return await this.store.get(key, progress);
            }
            catch (err) {
                if (!(err instanceof StoreError)) {
                    throw err;
                }
                await progress.sleep(retryMs);
            }
        }
        return undefined;
    }
}

const newNonce = (): string => randomBytes(9).toString("base64url");

const nonceOf = (stored: StoredValue | undefined): string | undefined =>
    stored === undefined ? undefined : (JSON.parse(stored.value.toString()) as { nonce?: string; }).nonce;

const describeWinner = (stored: StoredValue | undefined): string => {
    if (stored === undefined) {
        return "Another operator";
    }
    const parsed = bundleDocumentSchema.safeParse(JSON.parse(stored.value.toString()));
    if (!parsed.success) {
        const rollout = rolloutSchema.safeParse(JSON.parse(stored.value.toString()));
        return rollout.success ? `Operator ${rollout.data.regions.at(-1)?.operator ?? "unknown"}` : "Another operator";
    }
    const by = parsed.data.signOff?.operator ?? parsed.data.reviews.at(-1)?.operator ?? parsed.data.proposer;
    return `Operator ${by}, with version ${parsed.data.version},`;
};

const parseDocument = (stored: StoredValue): Versioned<BundleDocument> => ({
    value: bundleDocumentSchema.parse(JSON.parse(stored.value.toString())),
    revision: stored.revision,
});

/** Parses the stored state of the rollout. */
export const parseRollout = (stored: StoredValue): Rollout => rolloutSchema.parse(JSON.parse(stored.value.toString()));
