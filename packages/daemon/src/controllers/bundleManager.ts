/** The bundle in force on this instance, read from the store, peers or the data folder; versions only ever increase. */
import {
    asError,
    bundleReleaseSchema,
    delay,
    evaluateBundle,
    parseBundle,
    Progress,
    verifyBundle,
} from "@marigolddrift/common";
import type { Bundle, BundleDocument, BundleRelease, Logger, OperatorKeys, Rollout } from "@marigolddrift/common";
import { BundleChain, bundlePrefix } from "@marigolddrift/store";
import type { Store } from "@marigolddrift/store";
import { mkdirSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { join } from "node:path";

import type { Membership, Peer } from "./membership.js";

const readTimeoutMs = 2_000;
const watchRetryMs = 500;

/** Interval of store reads that find changes which the watch missed. */
const pollMs = 5_000;

/** Settings and callbacks of {@link BundleManager}. */
export interface BundleManagerOptions {
    readonly region: string;
    /** Operator keys that are trusted until a bundle is in force. */
    readonly operators: OperatorKeys;
    readonly dataFolder: string | undefined;
    onChange(bundle: Bundle): void;
}

/** Applies newer, correctly signed bundle versions. */
export class BundleManager {
    private releaseInForce: BundleRelease | undefined;
    private bundle: Bundle | undefined;
    private readonly chain: BundleChain;
    private readonly stopping = new AbortController();
    private readonly fetching = new Set<string>();

    constructor(
        private readonly store: Store,
        private readonly membership: () => Membership,
        private readonly options: BundleManagerOptions,
        private readonly log: Logger,
    ) {
        this.chain = new BundleChain(store);
    }

    /** Version in force; 0 if there is none yet. */
    get version(): number {
        return this.releaseInForce?.document.version ?? 0;
    }

    get current(): Bundle | undefined {
        return this.bundle;
    }

    /** The bundle in force as a signed document with its rollout; peers that request the bundle receive it. */
    get currentRelease(): BundleRelease | undefined {
        return this.releaseInForce;
    }

    async start(): Promise<void> {
        this.loadFromDisk();
        await this.readStore();
        void this.watch();
        void this.poll();
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Requests the bundle from a peer that announced a newer version. */
    async onPeerVersion(peer: Peer): Promise<void> {
        if (peer.bundle <= this.version || this.fetching.has(peer.address)) {
            return;
        }
        this.fetching.add(peer.address);
        const progress = new Progress(readTimeoutMs);
        try {
            const release = bundleReleaseSchema.safeParse(await peer.link.ask({ kind: "bundle" }, progress));
            if (release.success) {
                this.apply(release.data, `peer ${peer.address}`);
            }
        }
        catch (err) {
            this.log.debug("bundle not received from peer", { peer: peer.address, error: asError(err).message });
        }
        finally {
            this.fetching.delete(peer.address);
            progress.dispose();
        }
    }

    /** Puts a version in force if it is newer and correctly signed; returns whether it did. */
    apply(release: BundleRelease, source: string, keys = this.trustedKeys()): boolean {
        const { document } = release;
        const decision = evaluateBundle(this.version, release, this.options.region, keys);
        if (decision.kind === "keep") {
            this.log.debug("bundle not taken", {
                version: document.version,
                source,
                reason: decision.reason,
            });
            return false;
        }
        const bundle = this.parse(document, source);
        if (bundle === undefined) {
            return false;
        }
        this.releaseInForce = release;
        this.bundle = bundle;
        this.log.info("bundle in force", { version: document.version, source });
        this.options.onChange(bundle);
        this.saveToDisk(release);
        return true;
    }

    private parse(document: BundleDocument, source: string): Bundle | undefined {
        try {
            return parseBundle(document.text, `bundle version ${document.version}`);
        }
        catch (err) {
            this.log.error("bundle cannot be parsed", {
                version: document.version,
                source,
                error: asError(err).message,
            });
            return undefined;
        }
    }

    private trustedKeys(): OperatorKeys {
        if (this.bundle === undefined) {
            return this.options.operators;
        }
        return operatorKeysOf(this.bundle);
    }

    private async readStore(): Promise<void> {
        const progress = new Progress(readTimeoutMs);
        try {
            const rollout = await this.chain.rollout(progress);
            if (rollout !== undefined && rollout.value.version > this.version) {
                await this.applyRollout(rollout.value, progress);
            }
        }
        catch (err) {
            this.log.debug("bundle read from the store failed", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    /** Applies the version that a rollout names. */
    private async applyRollout(rollout: Rollout, progress: Progress): Promise<void> {
        const document = await this.chain.version(rollout.version, progress);
        if (document === undefined || this.apply({ document: document.value, rollout }, "store")) {
            return;
        }
        const keys = await this.keysAfterRotations(rollout.version, progress);
        this.apply({ document: document.value, rollout }, "store", keys);
    }

    /** Follows key rotations through versions that this instance missed; each version names the keys for the next. */
    private async keysAfterRotations(version: number, progress: Progress): Promise<OperatorKeys> {
        let keys = this.trustedKeys();
        for (const { value: document } of await this.chain.versions(progress)) {
            const isBetween = document.version > this.version && document.version < version;
            const isSigned = document.signOff !== undefined && document.signOff.operator !== document.proposer &&
                verifyBundle(document, "sign-off", document.signOff, keys);
            if (isBetween && isSigned) {
                keys = operatorKeysOf(parseBundle(document.text));
            }
        }
        return keys;
    }

    private async watch(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            try {
                await this.store.watch(bundlePrefix, () => void this.readStore(), signal);
            }
            catch (err) {
                this.log.debug("bundle watch ended", { error: asError(err).message });
            }
            await delay(watchRetryMs);
        }
    }

    private async poll(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await delay(pollMs);
            await this.readStore();
        }
    }

    private get file(): string | undefined {
        return this.options.dataFolder === undefined ? undefined : join(this.options.dataFolder, "bundle.json");
    }

    /** Applies the version in the data folder, if there is one. */
    loadFromDisk(): void {
        if (this.file === undefined) {
            return;
        }
        try {
            const release = bundleReleaseSchema.parse(JSON.parse(readFileSync(this.file, "utf8")));
            this.apply(release, "data folder");
        }
        catch (err) {
            this.log.debug("no valid bundle in the data folder", { error: asError(err).message });
        }
    }

    private saveToDisk(release: BundleRelease): void {
        if (this.file === undefined) {
            return;
        }
        try {
            mkdirSync(this.options.dataFolder!, { recursive: true });
            writeFileSync(`${this.file}.new`, JSON.stringify(release));
            renameSync(`${this.file}.new`, this.file);
        }
        catch (err) {
            this.log.warn("bundle write to the data folder failed", { error: asError(err).message });
        }
    }
}

const operatorKeysOf = (bundle: Bundle): OperatorKeys =>
    Object.fromEntries(Object.entries(bundle.operator).map(([operator, { publicKey }]) => [operator, publicKey]));
