/** The quotas of workspaces over all instances: assembles the parts that lend, grant and ask for permits. */
import { hash32, Progress, slotOf } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { leaseMsFor, quotaSlots } from "@marigolddrift/policy";
import { randomBytes } from "node:crypto";

import type { PermitSource } from "../filters/quotaFilter.js";
import type { Duties } from "../fleet/duties.js";
import type { LocalInstance, PeerRequest, QuotaResponse } from "../peers/peerMessages.js";
import type { Peers } from "../peers/peers.js";
import { scopedName } from "../workspaces.js";
import type { Workspace } from "../workspaces.js";
import { CallPermit } from "./callPermit.js";
import type { ProgramMark } from "./callPermit.js";
import { ProgramTable } from "./programTable.js";
import { QuotaClient } from "./quotaClient.js";
import { QuotaGranter } from "./quotaGranter.js";
import { QuotaLink } from "./quotaLink.js";
import { permitTtlMs } from "./quotaSettings.js";
import type { QuotaSettings } from "./quotaSettings.js";
import { ShareLender } from "./shareLender.js";

/** Timeout of a request to a granting instance. */
const askTimeoutMs = 400;

/** Time for which an instance that does not know the request is not asked again. */
const unsupportedMs = 5_000;

/** Time for which a program is known after its last request. */
const programTtlMs = 60_000;

/** Most links that are kept; more than there are granting instances at a time. */
const maxLinks = 64;

/** Dependencies of {@link Quotas}. */
export interface QuotasOptions {
    readonly settings: QuotaSettings;
    readonly localInstance: LocalInstance;
    readonly duties: Pick<Duties, "firstCoordinator">;
    readonly peers: Pick<Peers, "version" | "namesInRegion" | "regions" | "isSettled" | "getByName">;
    readonly random: () => number;
    readonly metrics: Metrics;
    readonly log: Logger;
}

/** One instance's part in the quotas: lends its share, grants permits to others, and takes them for its own calls. */
export class Quotas {
    private readonly granter: QuotaGranter;
    private readonly client: QuotaClient;
    private readonly lender: ShareLender;
    private readonly links = new Map<string, QuotaLink>();
    private readonly unsupportedUntil = new Map<string, number>();
    private readonly programs = new ProgramTable(programTtlMs);
    private readonly startedAt = performance.now();

    constructor(private readonly options: QuotasOptions) {
        const { settings, localInstance, duties, peers, metrics, random, log } = options;
        const mayLendAt = (): number => this.startedAt + leaseMsFor(this.lender.regionMemberCount);
        this.lender = new ShareLender(localInstance, duties, peers, name => this.isEligible(name), mayLendAt);
        this.granter = new QuotaGranter({
            settings,
            issuer: randomBytes(4).readUInt32BE(),
            regionMembers: () => this.lender.regionMemberCount,
            mayHoldWhole: (workspace, terms, share) =>
                this.lender.mayHoldWhole(workspace, terms, share, settings.slack),
            borrow: (workspace, slot, count) => this.borrow(workspace, slot, count),
            onBorrowed: count => metrics.count("quota.borrowed", count),
        });
        this.client = new QuotaClient({
            permitTtlMs: permitTtlMs(settings),
            lender: this.lender,
            linkTo: granter => this.linkTo(granter),
            localName: () => localInstance.address(),
            onUnsupported: granter => this.unsupportedUntil.set(granter, performance.now() + unsupportedMs),
            random,
            metrics,
            log,
        });
    }

    /** Applies the workspaces of a configuration. */
    applyWorkspaces(workspaces: readonly Workspace[] | undefined): void {
        const limited = (workspaces ?? []).flatMap(({ name, quota }) =>
            quota === undefined ? [] : [{ name, slot: slotOf(name, quotaSlots), terms: quota }]
        );
        this.granter.applyWorkspaces(limited);
        this.client.applyWorkspaces(limited);
    }

    /** Starts to ask for the permit of a call; undefined if it counts towards no quota. */
    readonly requestPermit: PermitSource = ({ workspace, head: { program } }) => {
        if (workspace?.quota === undefined) {
            return undefined;
        }
        const { name } = workspace;
        const pool = {
            request: (of: ProgramMark) => this.client.request(name, of),
            giveBack: (permit: Parameters<QuotaClient["giveBack"]>[1]) => this.client.giveBack(name, permit),
        };
        if (program === undefined) {
            return new CallPermit(pool, undefined);
        }
        const id = scopedName(workspace, program.id);
        const now = performance.now();
        const isKnown = program.previousTurnId !== undefined || this.programs.has(id, now);
        const onGranted = (): void => this.programs.use(id, performance.now());
        return new CallPermit(pool, isKnown ? "started" : hash32("program", id), onGranted);
    };

    /** Handles the request of another instance. */
    onRequest(request: Extract<PeerRequest, { kind: "takeQuota"; }>): QuotaResponse {
        return this.granter.handle(request);
    }

    /** Whether an instance is counted in all shares that this one has lent and that may still be spent. */
    countsWith(name: string): boolean {
        return this.lender.countsWith(name, performance.now());
    }

    /** Number of instances that lend their share to this one. */
    get lenders(): number {
        return this.granter.lenders;
    }

    close(): void {
        this.client.close();
        this.links.forEach(link => link.close());
    }

    private isEligible(name: string): boolean {
        if (name === this.options.localInstance.address()) {
            return true;
        }
        const isSupported = performance.now() >= (this.unsupportedUntil.get(name) ?? -Infinity);
        return isSupported && this.options.peers.getByName(name)?.isUsable === true;
    }

    private borrow(
        workspace: string,
        slot: number,
        count: number,
    ): Promise<readonly [number, number] | undefined> | undefined {
        const other = this.lender.otherGranterOf(slot);
        if (other === undefined) {
            return undefined;
        }
        const link = this.linkTo(other);
        const result = link.borrow(workspace, count);
        this.client.pump(link);
        return result;
    }

    private linkTo(granter: string): QuotaLink {
        const known = this.links.get(granter);
        if (known !== undefined) {
            return known;
        }
        this.dropOldLinks();
        const isLocal = granter === this.options.localInstance.address();
        const link = new QuotaLink(
            granter,
            request => isLocal ? this.handleLocally(request) : this.ask(granter, request),
        );
        this.links.set(granter, link);
        return link;
    }

    private async handleLocally(request: Extract<PeerRequest, { kind: "takeQuota"; }>): Promise<QuotaResponse> {
        return this.granter.handle(request);
    }

    private async ask(
        granter: string,
        request: Extract<PeerRequest, { kind: "takeQuota"; }>,
    ): Promise<QuotaResponse | undefined> {
        const peer = this.options.peers.getByName(granter);
        if (peer === undefined) {
            throw new Error("the instance is no longer a member");
        }
        const progress = new Progress(askTimeoutMs);
        try {
            return await peer.ask(request, progress);
        }
        finally {
            progress.dispose();
        }
    }

    /** Links that are not in use are dropped, with permits that would be returned on them. */
    private dropOldLinks(): void {
        for (const [granter, link] of this.links) {
            if (this.links.size < maxLinks) {
                return;
            }
            if (!link.isOutstanding && !link.hasWork) {
                link.close();
                this.links.delete(granter);
            }
        }
    }
}
