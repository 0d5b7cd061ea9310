/** The `marigolddrift bundle` commands: propose, review, sign off and roll out configuration versions. */
import { digest, parseBundle, Progress, signBundle, verifyBundle } from "@marigolddrift/common";
import type { BundleDocument, Rollout } from "@marigolddrift/common";
import { BundleChain, BundleConflictError, StoreClient } from "@marigolddrift/store";
import type { WithRevision } from "@marigolddrift/store";
import { readFileSync } from "node:fs";

import { AdminClient } from "./adminClient.js";
import { bundleTemplate } from "./bundleTemplate.js";
import { diffIni } from "./diffIni.js";

const callTimeoutMs = 30_000;
const healthGatePollMs = 500;

/** Options of the bundle commands. */
export interface BundleOptions {
    readonly store?: string;
    readonly operator?: string;
    readonly keyFile?: string;
    readonly version?: number;
    readonly region?: string;
    readonly admin?: string;
    readonly adminKey?: string;
    /** Maximum time for a region to apply a version, in seconds. */
    readonly wait?: number;
}

/** A command that was called with a missing or invalid option or argument. */
export class UsageError extends Error {}

/** Runs the bundle commands. */
export class BundleCommands {
    constructor(private readonly options: BundleOptions) {}

    /** Returns a bundle template. */
    init(): string {
        return bundleTemplate;
    }

    validate(file: string): unknown {
        const bundle = parseBundle(readFileSync(file, "utf8"), file);
        const { agent, pool, service, workspace, zone } = bundle;
        return {
            valid: true,
            version: bundle.bundle.version,
            workspaces: Object.keys(workspace).length,
            agents: Object.keys(agent).length,
            pools: Object.keys(pool).length,
            services: Object.keys(service).length,
            zones: Object.keys(zone).length,
        };
    }

    /** Compares a file with the newest version of the chain. */
    async diff(file: string): Promise<unknown> {
        const text = readFileSync(file, "utf8");
        return await this.withChain(async (chain, progress) => {
            const newest = (await chain.versions(progress)).at(-1)?.value;
            return { against: newest?.version ?? 0, changes: diffIni(newest?.text ?? "", text) };
        });
    }

    async propose(file: string): Promise<unknown> {
        const text = readFileSync(file, "utf8");
        const bundle = parseBundle(text, file);
        const { operator } = this.requireSigner();
        return await this.withChain(async (chain, progress) => {
            const doc = await chain.propose(text, bundle.bundle.version, operator, progress);
            return {
                proposed: doc.version,
                by: operator,
                digest: digest(doc.text),
                next: "another operator reviews this version and signs it off",
            };
        });
    }

    async review(): Promise<unknown> {
        return await this.addSignature(
            "review",
            doc => ({ ...doc, reviews: [...doc.reviews, this.signature(doc, "review")] }),
        );
    }

    async signOff(): Promise<unknown> {
        const { operator } = this.requireSigner();
        return await this.addSignature("sign-off", doc => {
            if (doc.proposer === operator) {
                throw new BundleConflictError(
                    `${operator} proposed version ${doc.version}; another operator must sign it off.`,
                );
            }
            if (doc.reviews.length === 0) {
                throw new BundleConflictError(`Version ${doc.version} has no review yet. Run "bundle review" first.`);
            }
            return { ...doc, signOff: this.signature(doc, "sign-off") };
        });
    }

    /** Rolls a signed-off version out to one region, or to all regions in sequence with health gates in between. */
    async rollout(): Promise<unknown> {
        return await this.withChain(async (chain, progress) => {
            const { value: doc } = await this.findVersion(chain, progress);
            if (doc.signOff === undefined) {
                throw new BundleConflictError(`Version ${doc.version} is not signed off. Run "bundle sign-off" first.`);
            }
            const zones = Object.values(parseBundle(doc.text).zone);
            const regions = this.options.region === undefined ?
                [...new Set(zones.map(zone => zone.region))] :
                [this.options.region];
            const unknown = regions.filter(region => !zones.some(zone => zone.region === region));
            if (unknown.length > 0) {
                throw new UsageError(`Region "${unknown.join()}" is not in any zone of the bundle.`);
            }
            for (const [index, region] of regions.entries()) {
                await this.rollOutRegion(chain, doc, region, progress);
                if (index < regions.length - 1 || this.options.admin !== undefined) {
                    await this.waitForRegion(doc.version, region);
                }
            }
            return { rolledOut: doc.version, regions };
        });
    }

    async status(): Promise<unknown> {
        return await this.withChain(async (chain, progress) => {
            const versions = await chain.versions(progress);
            const rollout = (await chain.rollout(progress))?.value;
            const newest = versions.at(-1)?.value;
            return {
                newest: newest?.version ?? 0,
                state: newest === undefined ? "none" : stateOf(newest, rollout),
                rolledOut: rollout?.version ?? 0,
                regions: rollout?.regions.map(({ region, operator, at }) => ({ region, operator, at })) ?? [],
            };
        });
    }

    async history(): Promise<unknown> {
        return await this.withChain(async (chain, progress) => {
            const rollout = (await chain.rollout(progress))?.value;
            return (await chain.versions(progress)).map(({ value: doc }) => ({
                version: doc.version,
                state: stateOf(doc, rollout),
                proposer: doc.proposer,
                proposedAt: doc.proposedAt,
                reviewers: doc.reviews.map(review => review.operator).join(),
                signedOffBy: doc.signOff?.operator ?? "",
                digest: digest(doc.text),
            }));
        });
    }

    /** Proposes the text of an older version as a new version. Versions only increase, so only this undoes a change. */
    async rollForward(): Promise<unknown> {
        const { operator } = this.requireSigner();
        return await this.withChain(async (chain, progress) => {
            const { value: source } = await this.findVersion(chain, progress);
            const nextVersion = (await chain.versions(progress)).length + 1;
            const text = source.text.replace(/^(version\s*=\s*)\d+/m, `$1${nextVersion}`);
            const doc = await chain.propose(text, nextVersion, operator, progress);
            return { proposed: doc.version, textOf: source.version, by: operator };
        });
    }

    private requireSigner(): { operator: string; privateKey: string; } {
        const { operator, keyFile } = this.options;
        if (operator === undefined || keyFile === undefined) {
            throw new UsageError(
                "--operator and --key-file are required. Create a key with \"marigolddrift key generate\".",
            );
        }
        return { operator, privateKey: readFileSync(keyFile, "utf8").trim() };
    }

    private signature(doc: BundleDocument, purpose: "review" | "sign-off" | `rollout:${string}`) {
        const { operator, privateKey } = this.requireSigner();
        return { operator, signature: signBundle(doc, purpose, privateKey) };
    }

    private async addSignature(
        purpose: "review" | "sign-off",
        update: (doc: BundleDocument) => BundleDocument,
    ): Promise<unknown> {
        return await this.withChain(async (chain, progress) => {
            const found = await this.findVersion(chain, progress);
            const next = update(found.value);
            const publicKeys = Object.entries(parseBundle(next.text).operator).map(([name, { publicKey }]) =>
                [name, publicKey] as const
            );
            const signature = purpose === "review" ? next.reviews.at(-1)! : next.signOff!;
            if (!verifyBundle(next, purpose, signature, Object.fromEntries(publicKeys))) {
                throw new BundleConflictError(
                    `The key of ${signature.operator} does not match section [operator.${signature.operator}].`,
                );
            }
            const doc = await chain.update(found, next, progress);
            return { version: doc.version, [purpose]: signature.operator };
        });
    }

    private async findVersion(chain: BundleChain, progress: Progress): Promise<WithRevision<BundleDocument>> {
        const versions = await chain.versions(progress);
        const requestedVersion = this.options.version;
        const found = requestedVersion === undefined ?
            versions.at(-1) :
            versions.find(({ value }) => value.version === Number(requestedVersion));
        if (found === undefined) {
            throw new UsageError(
                `Version ${requestedVersion ?? ""} does not exist; the store has ${versions.length} versions.`,
            );
        }
        return found;
    }

    private async rollOutRegion(
        chain: BundleChain,
        doc: BundleDocument,
        region: string,
        progress: Progress,
    ): Promise<void> {
        const current = await chain.rollout(progress);
        const rolledOutRegions = current?.value.version === doc.version ? current.value.regions : [];
        if (rolledOutRegions.some(entry => entry.region === region)) {
            return;
        }
        const entry = { region, at: new Date().toISOString(), ...this.signature(doc, `rollout:${region}`) };
        await chain.updateRollout(current, { version: doc.version, regions: [...rolledOutRegions, entry] }, progress);
    }

    /** Health gate: waits until all live instances of a region have the version in force. */
    private async waitForRegion(version: number, region: string): Promise<void> {
        const { admin, adminKey, wait = 30 } = this.options;
        if (admin === undefined) {
            throw new UsageError(
                `The health gate after region "${region}" requires --admin, or roll out one --region at a time.`,
            );
        }
        const client = new AdminClient({ address: admin, key: adminKey ?? "" });
        const deadlineAt = Date.now() + wait * 1000;
        while (!await isVersionInForce(client, version, region)) {
            if (Date.now() > deadlineAt) {
                throw new BundleConflictError(
                    `Region "${region}" did not have version ${version} in force after ${wait} s; rollout stopped.`,
                );
            }
            await new Promise(resolve => setTimeout(resolve, healthGatePollMs));
        }
    }

    private async withChain<T>(action: (chain: BundleChain, progress: Progress) => Promise<T>): Promise<T> {
        if (this.options.store === undefined) {
            throw new UsageError("--store is required. Pass host:port of the key-value service's JSON gateway.");
        }
        const store = new StoreClient(this.options.store);
        const progress = new Progress(callTimeoutMs + (this.options.wait ?? 0) * 1000);
        try {
            return await action(new BundleChain(store), progress);
        }
        finally {
            progress.dispose();
            await store.close();
        }
    }
}

const stateOf = (doc: BundleDocument, rollout: Rollout | undefined): string => {
    if (rollout !== undefined && rollout.version > doc.version) {
        return "superseded";
    }
    if (rollout?.version === doc.version) {
        const regions = new Set(Object.values(parseBundle(doc.text).zone).map(zone => zone.region));
        return rollout.regions.length >= regions.size ? "in force" : "rolling out";
    }
    if (doc.signOff !== undefined) {
        return "signed off";
    }
    return doc.reviews.length > 0 ? "reviewed" : "draft";
};

interface InstanceStatus {
    readonly region: string;
    readonly bundle: number;
    readonly peers: readonly { readonly region: string; readonly bundle: number; readonly state: string; }[];
}

const isVersionInForce = async (client: AdminClient, version: number, region: string): Promise<boolean> => {
    const status = await client.get("status") as InstanceStatus;
    const instances = [{ region: status.region, bundle: status.bundle, state: "live" }, ...status.peers];
    const live = instances.filter(instance => instance.region === region && instance.state === "live");
    return live.length > 0 && live.every(instance => instance.bundle >= version);
};
