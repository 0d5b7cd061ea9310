/**
 * Builds of each service that may have begun streams, as declared in the platform's store. A build is declared before it begins its
 * first stream and removed once all of its streams have ended, so that whoever reads the declaration knows whether one build alone can
 * have begun a stream, however many instances have restarted meanwhile.
 */
import { Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";
import { z } from "zod";

import { storeKey } from "../state/storeKey.js";
import { ServiceBuilds } from "./serviceBuilds.js";
import { SharedRead } from "./sharedRead.js";

const keyPrefix = "marigolddrift/builds/";

/** Timeout of one read or change. */
const callTimeoutMs = 1_000;

/** Changes that are tried before the next call or check tries again: another instance changes the same declaration. */
const maxDeclareTries = 4;

const declarationSchema = z.object({ builds: z.array(z.string()) });

/** Where builds are declared. */
export type DeclarationStore = Pick<VersionedStore, "get" | "txn">;

interface ChangeOptions {
    /** Whether to write the declaration also if the edit changes nothing. */
    readonly mustWrite?: boolean;
    readonly maxTries?: number;
}

interface Declaration {
    readonly builds: readonly string[];
    readonly revision: number;
}

/** The declarations of all services. */
export class BuildDeclarations {
    private readonly services = new Map<string, ServiceBuilds>();
    private readonly reads = new Map<string, SharedRead<Declaration>>();
    private readonly pending = new Map<string, Promise<void>>();

    constructor(private readonly store: DeclarationStore, private readonly log: Logger) {}

    of(service: string): ServiceBuilds {
        let builds = this.services.get(service);
        if (builds === undefined) {
            builds = new ServiceBuilds();
            this.services.set(service, builds);
        }
        return builds;
    }

    /** Reads the declaration of a service as it is at or after this call. @throws StoreError if the store can't be read. */
    async read(service: string, progress: Progress): Promise<ServiceBuilds> {
        let shared = this.reads.get(service);
        if (shared === undefined) {
            shared = new SharedRead(() => this.readNow(service));
            this.reads.set(service, shared);
        }
        const { builds, revision } = await progress.race(shared.get());
        const known = this.of(service);
        if (revision >= known.revision) {
            known.apply(builds, revision);
        }
        return known;
    }

    /** Declares builds that are not declared yet. Calls for one service share the work. @throws StoreError */
    async declare(service: string, builds: readonly string[], progress: Progress): Promise<void> {
        while (!builds.every(build => this.of(service).isDeclared(build))) {
            let change = this.pending.get(service);
            if (change === undefined) {
                // A removal that is under way fails if the declaration is written anew, also with the same builds.
                const isReturning = builds.some(build => this.of(service).isOutdated(build));
                change = this.change(service, known => [...new Set([...known, ...builds])], {
                    mustWrite: isReturning,
                });
                this.pending.set(service, change);
                const forget = (): boolean => this.pending.delete(service);
                change.then(forget, forget);
            }
            await progress.race(change);
        }
    }

    /** Removes builds whose streams have all ended, unless the declaration is changed meanwhile: they may have come back. @throws StoreError */
    async remove(service: string, builds: readonly string[]): Promise<void> {
        await this.change(service, known => known.filter(build => !builds.includes(build)), { maxTries: 1 });
        this.log.info("builds removed", { service, builds, left: [...this.of(service).declared] });
    }

    private async change(
        service: string,
        edit: (known: readonly string[]) => readonly string[],
        { mustWrite = false, maxTries = maxDeclareTries }: ChangeOptions = {},
    ): Promise<void> {
        const progress = new Progress(callTimeoutMs);
        try {
            for (let tries = 0; tries < maxTries; tries++) {
                const { declared } = await this.read(service, progress);
                const edited = edit([...declared]);
                const isSame = edited.length === declared.size && !mustWrite;
                if (isSame || await this.write(service, edited, progress)) {
                    return;
                }
            }
        }
        finally {
            progress.dispose();
        }
    }

    /** Resolves to whether the declaration has not been changed by another instance meanwhile. */
    private async write(service: string, builds: readonly string[], progress: Progress): Promise<boolean> {
        const key = declarationKey(service);
        const known = this.of(service);
        const value = Buffer.from(JSON.stringify({ builds }));
        const compare = { key, revision: known.revision };
        const result = await progress.race(this.store.txn([compare], [{ key, value }], progress));
        if (result.succeeded) {
            known.apply(builds, result.revision);
            this.log.info("builds declared", { service, builds });
        }
        return result.succeeded;
    }

    private async readNow(service: string): Promise<Declaration> {
        const progress = new Progress(callTimeoutMs);
        try {
            const stored = await progress.race(this.store.get(declarationKey(service), progress));
            return stored === undefined ?
                { builds: [], revision: 0 } :
                { builds: decodeBuilds(stored.value), revision: stored.revision };
        }
        finally {
            progress.dispose();
        }
    }
}

const declarationKey = (service: string): string => storeKey(keyPrefix, service);

/** A declaration that can't be read names no build, so that it is written anew and no stream is taken up until then. */
const decodeBuilds = (value: Buffer): readonly string[] => {
    try {
        return declarationSchema.parse(JSON.parse(value.toString())).builds;
    }
    catch {
        return [];
    }
};
