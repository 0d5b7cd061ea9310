/**
 * The chain of bundle versions in the store. Each update is a compare-and-swap; if its reply is lost, the nonce in the
 * stored value shows whether the write was applied.
 */
import { bundleDocumentSchema, digest, rolloutSchema } from "@marigolddrift/common";
import type { BundleDocument, Progress, Rollout } from "@marigolddrift/common";
import { randomBytes } from "node:crypto";
import VError from "verror";

import { StoreError } from "./store.js";
import type { Store, StoredValue } from "./store.js";

/** Prefix of all bundle keys in the store. */
export const bundlePrefix = "/marigolddrift/bundle/";
export const rolloutKey = `${bundlePrefix}rollout`;
const versionsPrefix = `${bundlePrefix}versions/`;
const versionDigits = 8;

/** Key under which a version is stored; zero-padded so that keys sort by version. */
export const versionKey = (version: number): string =>
    `${versionsPrefix}${String(version).padStart(versionDigits, "0")}`;

/** A concurrent update by another operator, or an update that the current state does not allow. */
export class BundleConflictError extends VError {
    constructor(detail: string) {
        super({ name: "BundleConflictError" }, "%s", detail);
    }
}

/** A value with its store revision, which the next compare-and-swap must expect. */
export interface WithRevision<T> {
    readonly value: T;
    readonly revision: number;
}

const retryMs = 200;

/** Reads and updates the chain. */
export class BundleChain {
    constructor(private readonly store: Store) {}

    async versions(progress: Progress): Promise<WithRevision<BundleDocument>[]> {
        return (await this.store.range(versionsPrefix, progress)).values.map(parseDocument);
    }

    async version(version: number, progress: Progress): Promise<WithRevision<BundleDocument> | undefined> {
        const stored = await this.store.get(versionKey(version), progress);
        return stored === undefined ? undefined : parseDocument(stored);
    }

    async rollout(progress: Progress): Promise<WithRevision<Rollout> | undefined> {
        const stored = await this.store.get(rolloutKey, progress);
        return stored === undefined ? undefined : { value: parseRollout(stored), revision: stored.revision };
    }

    /**
     * Adds the next version.
     *
     * @throws BundleConflictError if `version` is not the next one; the message names the latest proposer.
     */
    async propose(text: string, version: number, proposer: string, progress: Progress): Promise<BundleDocument> {
        const versions = await this.versions(progress);
        const previous = versions.at(-1)?.value;
        const next = (previous?.version ?? 0) + 1;
        if (version !== next) {
            const by = previous === undefined ? "" : `; ${previous.proposer} proposed version ${previous.version}`;
            throw new BundleConflictError(
                `The next version is ${next}, not ${version}${by}. Rebase on the newest version.`,
            );
        }
        const doc: BundleDocument = {
            version,
            parent: previous === undefined ? "" : digest(previous.text),
            text,
            proposer,
            proposedAt: new Date().toISOString(),
            reviews: [],
            nonce: newNonce(),
        };
        await this.compareAndSwap(versionKey(version), 0, doc, progress);
        return doc;
    }

    /** Updates a version, for example to add a review or a sign-off. */
    async update(
        previous: WithRevision<BundleDocument>,
        doc: BundleDocument,
        progress: Progress,
    ): Promise<BundleDocument> {
        const next = { ...doc, nonce: newNonce() };
        await this.compareAndSwap(versionKey(doc.version), previous.revision, next, progress);
        return next;
    }

    /** Updates the rollout state; rolling out an older version is a conflict. */
    async updateRollout(
        previous: WithRevision<Rollout> | undefined,
        rollout: Omit<Rollout, "nonce">,
        progress: Progress,
    ): Promise<Rollout> {
        if (previous !== undefined && rollout.version < previous.value.version) {
            throw new BundleConflictError(
                `Version ${previous.value.version} is already rolled out; undo a change by proposing a newer version.`,
            );
        }
        const next = { ...rollout, nonce: newNonce() };
        await this.compareAndSwap(rolloutKey, previous?.revision ?? 0, next, progress);
        return next;
    }

    /** Writes a value; if the reply is lost, reads the key back until it is known whether the write was applied. */
    private async compareAndSwap(
        key: string,
        revision: number,
        value: { readonly nonce: string; },
        progress: Progress,
    ): Promise<void> {
        for (;;) {
            const applied = await this.tryCompareAndSwap(key, revision, value, progress);
            const current = await this.readBackUnlessApplied(key, progress, applied);
            if (applied === true || nonceOf(current) === value.nonce) {
                return;
            }
            if ((current?.revision ?? 0) !== revision) {
                throw new BundleConflictError(
                    `${describeConcurrentWriter(current)} updated this key first. Look at that update, then try again.`,
                );
            }
            await progress.sleep(retryMs);
        }
    }

    private async tryCompareAndSwap(
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

    private async readBackUnlessApplied(
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

const describeConcurrentWriter = (stored: StoredValue | undefined): string => {
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

const parseDocument = (stored: StoredValue): WithRevision<BundleDocument> => ({
    value: bundleDocumentSchema.parse(JSON.parse(stored.value.toString())),
    revision: stored.revision,
});

/** Parses the stored rollout state. */
export const parseRollout = (stored: StoredValue): Rollout => rolloutSchema.parse(JSON.parse(stored.value.toString()));
