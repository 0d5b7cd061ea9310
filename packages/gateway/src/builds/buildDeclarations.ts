/**
 * Builds of each service that may have begun streams, as declared in the platform's store. A build is declared before it begins its
 * first stream and removed once all of its streams have ended, so that whoever reads the declaration knows whether one build alone can
 * have begun a stream, however many instances have restarted meanwhile. Before a build is removed it is retired: an instance that reads
 * that begins no more streams there, and one that has not read the declaration for long begins none at all.
 */
import { Progress } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";
import { z } from "zod";

import { currentMoment } from "../elapsed.js";
import type { Moment } from "../elapsed.js";
import { storeKey } from "../state/storeKey.js";
import { ServiceBuilds } from "./serviceBuilds.js";
import { SharedRead } from "./sharedRead.js";

const keyPrefix = "marigolddrift/builds/";

/** Timeout of one read or change. */
const callTimeoutMs = 1_000;

/** Changes that are tried before the next call or check tries again: another instance changes the same declaration. */
const maxDeclareTries = 4;

const declarationSchema = z.object({ builds: z.array(z.string()), retired: z.array(z.string()).default([]) });

/** The builds that are declared, and those of them that are to be removed. */
type DeclaredBuilds = z.infer<typeof declarationSchema>;

/** Where builds are declared. */
export type DeclarationStore = Pick<VersionedStore, "get" | "txn">;

interface ChangeOptions {
    /** Whether to write the declaration also if the edit changes nothing. */
    readonly mustWrite?: boolean;
    readonly maxTries?: number;
}

interface Declaration extends DeclaredBuilds {
    readonly revision: number;
    readonly startedAt: Moment;
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
        const { builds, revision, ...declaration } = await progress.race(shared.get());
        const known = this.of(service);
        known.apply(builds, revision, declaration);
        return known;
    }

    /** Declares builds that are not declared yet. Calls for one service share the work. @throws StoreError */
    async declare(service: string, builds: readonly string[], progress: Progress): Promise<void> {
        while (!builds.every(build => this.of(service).isDeclared(build))) {
            let change = this.pending.get(service);
            if (change === undefined) {
                // A removal that is under way fails if the declaration is written anew, also with the same builds.
                const isReturning = builds.some(build => this.of(service).isOutdated(build));
                change = this.change(service, ({ declared, retired }) => ({
                    builds: [...new Set([...declared, ...builds])],
                    retired: [...retired].filter(build => !builds.includes(build)),
                }), { mustWrite: isReturning });
                this.pending.set(service, change);
                const forget = (): boolean => this.pending.delete(service);
                change.then(forget, forget);
            }
            await progress.race(change);
        }
    }

    /** Marks builds as to be removed, so that no instance that reads this lets streams begin there. @throws StoreError */
    async retire(service: string, builds: readonly string[]): Promise<void> {
        await this.change(service, ({ declared, retired }) => ({
            builds: [...declared],
            retired: [...new Set([...retired, ...builds])].filter(build => declared.has(build)),
        }), { maxTries: 1 });
    }

    /**
     * Removes retired builds whose streams have all ended, unless the declaration has been changed lately or is meanwhile: they may have
     * come back.
     *
     * @param minUnchangedMs Time for which the declaration must have been the same here.
     * @throws StoreError
     */
    async remove(service: string, builds: readonly string[], minUnchangedMs: number): Promise<void> {
        const isOld = ({ retired, unchangedMs }: ServiceBuilds, build: string): boolean =>
            builds.includes(build) && retired.has(build) && unchangedMs >= minUnchangedMs;
        await this.change(service, known => ({
            builds: [...known.declared].filter(build => !isOld(known, build)),
            retired: [...known.retired].filter(build => !isOld(known, build)),
        }), { maxTries: 1 });
        const { declared } = this.of(service);
        const removed = builds.filter(build => !declared.has(build));
        if (removed.length > 0) {
            this.log.info("builds removed", { service, builds: removed, left: [...declared] });
        }
    }

    private async change(
        service: string,
        edit: (known: ServiceBuilds) => DeclaredBuilds,
        { mustWrite = false, maxTries = maxDeclareTries }: ChangeOptions = {},
    ): Promise<void> {
        const progress = new Progress(callTimeoutMs);
        try {
            for (let tries = 0; tries < maxTries; tries++) {
                const known = await this.read(service, progress);
                const edited = edit(known);
                const isSame = edited.builds.length === known.declared.size &&
                    edited.retired.length === known.retired.size && !mustWrite;
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
    private async write(service: string, declaration: DeclaredBuilds, progress: Progress): Promise<boolean> {
        const key = declarationKey(service);
        const known = this.of(service);
        const { builds, retired } = declaration;
        const value = Buffer.from(JSON.stringify(retired.length > 0 ? declaration : { builds }));
        const startedAt = currentMoment();
        const compare = { key, revision: known.revision };
        const result = await progress.race(this.store.txn([compare], [{ key, value }], progress));
        if (result.succeeded) {
            known.apply(builds, result.revision, { retired, startedAt });
            this.log.info("builds declared", { service, builds, retired });
        }
        return result.succeeded;
    }

    private async readNow(service: string): Promise<Declaration> {
        const progress = new Progress(callTimeoutMs);
        const startedAt = currentMoment();
        try {
            const stored = await progress.race(this.store.get(declarationKey(service), progress));
            const declared = stored === undefined ? noBuilds : decodeBuilds(stored.value);
            return { ...declared, revision: stored?.revision ?? 0, startedAt };
        }
        finally {
            progress.dispose();
        }
    }
}

const noBuilds: DeclaredBuilds = { builds: [], retired: [] };

const declarationKey = (service: string): string => storeKey(keyPrefix, service);

/** A declaration that can't be read names no build, so that it is written anew and no stream is taken up until then. */
const decodeBuilds = (value: Buffer): DeclaredBuilds => {
    try {
        return declarationSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        return noBuilds;
    }
};
