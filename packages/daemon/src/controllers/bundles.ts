/** The bundle in force on this instance: from the store, from peers, or from the data folder; never an older one. */
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

/** Period at which the store is read although the watch reported nothing, in milliseconds. */
const pollMs = 5_000;

/** What the bundles need from the rest of the daemon. */
export interface BundlesOptions {
    readonly region: string;
    /** Keys that are trusted before any bundle is in force. */
    readonly operators: OperatorKeys;
    readonly dataFolder: string | undefined;
    onChange(bundle: Bundle): void;
}

/** Takes versions, in one direction only. */
export class Bundles {
    private carried: BundleRelease | undefined;
    private bundle: Bundle | undefined;
    private readonly chain: BundleChain;
    private readonly stopping = new AbortController();
    private readonly asking = new Set<string>();

    constructor(
        private readonly store: Store,
        private readonly membership: () => Membership,
        private readonly options: BundlesOptions,
        private readonly log: Logger,
    ) {
        this.chain = new BundleChain(store);
    }

    /** Version in force; 0 if there is none yet. */
    get version(): number {
        return this.carried?.document.version ?? 0;
    }

    get current(): Bundle | undefined {
        return this.bundle;
    }

    /** What a peer gets that asks for the bundle. */
    get forPeers(): BundleRelease | undefined {
        return this.carried;
    }

    async start(): Promise<void> {
        this.readFolder();
        await this.readStore();
        void this.watch();
        void this.poll();
    }

    stop(): void {
        this.stopping.abort();
    }

    /** A peer has a newer version: asks for it. */
    async onPeerVersion(peer: Peer): Promise<void> {
        if (peer.bundle <= this.version || this.asking.has(peer.address)) {
            return;
        }
        this.asking.add(peer.address);
        const progress = new Progress(readTimeoutMs);
        try {
            const carried = bundleReleaseSchema.safeParse(await peer.link.ask({ kind: "bundle" }, progress));
            if (carried.success) {
                this.take(carried.data, `peer ${peer.address}`);
            }
        }
        catch (err) {
            this.log.debug("bundle not received", { peer: peer.address, error: asError(err).message });
        }
        finally {
            this.asking.delete(peer.address);
            progress.dispose();
        }
    }

    /** Puts a version in force if it is newer and properly signed. */
    take(carried: BundleRelease, source: string, keys = this.trustedKeys()): boolean {
        const { document } = carried;
        const decision = evaluateBundle(this.version, carried, this.options.region, keys);
        if (decision.kind === "keep") {
            this.log.debug("bundle not taken", { version: document.version, source, reason: decision.reason });
            return false;
        }
        const bundle = this.parse(document, source);
        if (bundle === undefined) {
            return false;
        }
        this.carried = carried;
        this.bundle = bundle;
        this.log.info("bundle in force", { version: document.version, source });
        this.options.onChange(bundle);
        this.writeFolder(carried);
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
        return keysOf(this.bundle);
    }

    private async readStore(): Promise<void> {
        const progress = new Progress(readTimeoutMs);
        try {
            const rollout = await this.chain.rollout(progress);
            if (rollout !== undefined && rollout.value.version > this.version) {
                await this.readVersions(rollout.value, progress);
            }
        }
        catch (err) {
            this.log.debug("bundle not read from the store", { error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }

    /** Takes the version that is rolled out. */
    private async readVersions(rollout: Rollout, progress: Progress): Promise<void> {
        const document = await this.chain.version(rollout.version, progress);
        if (document === undefined || this.take({ document: document.value, rollout }, "store")) {
            return;
        }
        const keys = await this.keysAlongChain(rollout.version, progress);
        this.take({ document: document.value, rollout }, "store", keys);
    }

    /** Follows rotations of keys through versions that this instance missed: each names the keys of the next. */
    private async keysAlongChain(version: number, progress: Progress): Promise<OperatorKeys> {
        let keys = this.trustedKeys();
        for (const { value: doc } of await this.chain.versions(progress)) {
            const isBetween = doc.version > this.version && doc.version < version;
            const isSigned = doc.signOff !== undefined && doc.signOff.operator !== doc.proposer &&
                verifyBundle(doc, "sign-off", doc.signOff, keys);
            if (isBetween && isSigned) {
                keys = keysOf(parseBundle(doc.text));
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
                this.log.debug("watch ended", { error: asError(err).message });
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

    /** Takes the version in the data folder, if there is one. */
    readFolder(): void {
        if (this.file === undefined) {
            return;
        }
        try {
            const carried = bundleReleaseSchema.parse(JSON.parse(readFileSync(this.file, "utf8")));
            this.take(carried, "data folder");
        }
        catch (err) {
            this.log.debug("no bundle in the data folder", { error: asError(err).message });
        }
    }

    private writeFolder(carried: BundleRelease): void {
        if (this.file === undefined) {
            return;
        }
        try {
            mkdirSync(this.options.dataFolder!, { recursive: true });
            writeFileSync(`${this.file}.new`, JSON.stringify(carried));
            renameSync(`${this.file}.new`, this.file);
        }
        catch (err) {
            this.log.warn("bundle not written to the data folder", { error: asError(err).message });
        }
    }
}

const keysOf = (bundle: Bundle): OperatorKeys =>
    Object.fromEntries(Object.entries(bundle.operator).map(([operator, { publicKey }]) => [operator, publicKey]));
