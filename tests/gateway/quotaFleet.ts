/** Instances that enforce quotas together, without a network: their requests are delayed, lost and counted. */
import { Progress, silentLogger } from "@marigolddrift/common";
import { Duties, GatewayMetrics, Quotas } from "@marigolddrift/gateway";
import type { CallPermit, PeerRequest, Workspace } from "@marigolddrift/gateway";
import { Packr } from "msgpackr";

/** Bounds of the rule, as of the page. */
export const settings = { windowMs: 5_000, over: 0.1, slack: 20 };

/** Time that a request takes to a peer and back. */
const nearMs = 1;
const farMs = 40;

const packr = new Packr({ useRecords: false });

/** A workspace with a quota. */
export const workspace = (name: string, perSecond: number, burst: number): Workspace => ({
    name,
    keyDigests: [],
    priority: undefined,
    quota: { perSecond, burst },
});

interface Member {
    readonly region: string;
    quotas: Quotas;
    metrics: GatewayMetrics;
    workspaces: readonly Workspace[];
    isSettled: boolean;
    /** Whether it neither answers nor sends. */
    isFrozen: boolean;
    /** Instances reach each other only within a group. */
    group: number;
}

type QuotaRequest = Extract<PeerRequest, { kind: "takeQuota"; }>;

/** The answer to a call. */
export interface Outcome {
    readonly workspace: string;
    readonly at: number;
    readonly status: 200 | 429;
    readonly waitedMs: number;
    readonly retryAfterSeconds: number | undefined;
    readonly program: string | undefined;
}

/** A fleet in two regions, with one workspace or several. */
export class QuotaFleet {
    readonly members = new Map<string, Member>();
    readonly outcomes: Outcome[] = [];
    /** Number of messages and bytes of requests and responses by instance that answers. */
    readonly traffic = new Map<string, { messages: number; bytes: number; }>();
    private readonly backoffs = new Map<string, number>();
    private version = 0;

    constructor(instances: number, private workspaces: readonly Workspace[], isSettled = true) {
        for (let index = 0; index < instances; index++) {
            this.add(`10.0.0.${index}:80`, index % 2 === 0 ? "north" : "south", isSettled);
        }
        this.members.forEach(member => member.quotas.applyWorkspaces(this.workspaces));
    }

    get names(): string[] {
        return [...this.members.keys()];
    }

    /** Applies another configuration to some instances. */
    configure(workspaces: readonly Workspace[], names = this.names): void {
        this.workspaces = workspaces;
        names.forEach(name => {
            this.members.get(name)!.workspaces = workspaces;
            this.members.get(name)!.quotas.applyWorkspaces(workspaces);
        });
    }

    add(name: string, region: string, isSettled: boolean): void {
        this.members.set(name, {
            region,
            isSettled,
            isFrozen: false,
            group: 0,
            workspaces: this.workspaces,
            ...this.createQuotas(name, region),
        });
        this.version += 1;
    }

    /** Ends the process of an instance and starts another one at its address. */
    restart(name: string): void {
        const member = this.members.get(name)!;
        member.quotas.close();
        Object.assign(member, this.createQuotas(name, member.region));
        member.quotas.applyWorkspaces(member.workspaces);
    }

    /** The instances that hold shares, the one with most lenders first. */
    granters(): string[] {
        const lenders = this.names.map(name => ({ name, lenders: this.members.get(name)!.quotas.lenders }));
        return lenders.filter(entry => entry.lenders > 0).sort((a, b) => b.lenders - a.lenders).map(entry =>
            entry.name
        );
    }

    /** Makes a call, which takes a while until it is sent; resolves once it was sent or refused. */
    async call(
        name: string,
        of: string,
        options: { program?: string; prepareMs?: number; } = {},
    ): Promise<Outcome | undefined> {
        const member = this.members.get(name)!;
        if (member.isFrozen) {
            return undefined;
        }
        const progress = new Progress(5_000);
        const startedAt = performance.now();
        const program = options.program === undefined ?
            undefined :
            {
                id: options.program,
                thread: "t",
                finishInMs: undefined,
                tokenBudget: undefined,
                previousTurnId: undefined,
            };
        const head = {
            id: "r",
            leftMs: undefined,
            prompt: undefined,
            program,
            affinityKey: undefined,
            resumption: undefined,
        };
        const permit: CallPermit | undefined = member.quotas.requestPermit({
            workspace: member.workspaces.find(candidate => candidate.name === of)!,
            head,
        });
        let retryAfterSeconds: number | undefined;
        let status: 200 | 429 = 200;
        try {
            await permit?.admitted(progress);
            if (options.prepareMs !== undefined) {
                await progress.sleep(options.prepareMs);
            }
            await permit?.take(progress);
        }
        catch (err) {
            status = 429;
            retryAfterSeconds = (err as { retryAfterSeconds?: number; }).retryAfterSeconds;
        }
        permit?.release();
        progress.dispose();
        const at = performance.now();
        const outcome = {
            workspace: of,
            at,
            status,
            waitedMs: at - startedAt,
            retryAfterSeconds,
            program: options.program,
        };
        this.outcomes.push(outcome);
        return outcome;
    }

    /** Largest number of requests in a window that were sent from a time on. */
    mostInWindow(of: string, from = -Infinity): number {
        const sent = this.sent(of, from);
        let most = 0;
        for (let first = 0, end = 0; first < sent.length; first++) {
            while (end < sent.length && sent[end]! < sent[first]! + settings.windowMs) {
                end += 1;
            }
            most = Math.max(most, end - first);
        }
        return most;
    }

    sent(of: string, from = -Infinity): number[] {
        const sent = this.outcomes.filter(({ workspace: name, status, at }) =>
            name === of && status === 200 && at >= from
        );
        return sent.map(({ at }) => at).sort((a, b) => a - b);
    }

    refused(from = -Infinity): Outcome[] {
        return this.outcomes.filter(({ status, at }) => status === 429 && at >= from);
    }

    close(): void {
        this.members.forEach(({ quotas }) => quotas.close());
    }

    private createQuotas(name: string, region: string): { quotas: Quotas; metrics: GatewayMetrics; } {
        let seed = (this.members.size + 1) / 1_000;
        const random = (): number => seed = (seed * 16_807 + 0.123) % 1;
        const localInstance = { instance: name, region, address: () => name };
        const clients = new Map<string, unknown>();
        const { members } = this;
        const version = (): number => this.version;
        const peers = {
            get version() {
                return version();
            },
            get isSettled() {
                return members.get(name)?.isSettled ?? false;
            },
            namesInRegion: (of: string) =>
                this.names.filter(other => other !== name && members.get(other)!.region === of),
            getByName: (other: string) => {
                if (!members.has(other) || other === name) {
                    return undefined;
                }
                if (!clients.has(other)) {
                    clients.set(other, this.peer(name, other));
                }
                return clients.get(other);
            },
            regions: () => ["north", "south"],
        } as never;
        const metrics = new GatewayMetrics();
        const duties = new Duties(localInstance, peers);
        return {
            metrics,
            quotas: new Quotas({ settings, localInstance, duties, peers, random, metrics, log: silentLogger }),
        };
    }

    private peer(from: string, to: string): unknown {
        const { backoffs } = this;
        const key = `${from}>${to}`;
        const ask = async (request: QuotaRequest, progress: Progress): Promise<unknown> => {
            try {
                const source = this.members.get(from)!;
                const target = this.members.get(to)!;
                const oneWayMs = (source.region === target.region ? nearMs : farMs) / 2;
                await progress.sleep(oneWayMs);
                if (target.isFrozen || target.group !== source.group) {
                    await progress.sleep(60_000);
                }
                const response = target.quotas.onRequest(request);
                this.countTraffic(to, request, response);
                await progress.sleep(oneWayMs);
                if (target.group !== source.group) {
                    await progress.sleep(60_000);
                }
                return response;
            }
            catch (err) {
                backoffs.set(key, performance.now() + 1_000);
                throw err;
            }
        };
        return {
            name: to,
            address: { instance: to },
            ask,
            get isUsable() {
                return performance.now() >= (backoffs.get(key) ?? -Infinity);
            },
        };
    }

    /** Counts the frames as they are sent on a connection, without the headers below. */
    private countTraffic(to: string, request: QuotaRequest, response: unknown): void {
        const sent = packr.pack({ id: 10_000, leftMs: 399.9, question: request }).length;
        const received = packr.pack({ id: 10_000, value: response }).length;
        const { messages, bytes } = this.traffic.get(to) ?? { messages: 0, bytes: 0 };
        this.traffic.set(to, { messages: messages + 2, bytes: bytes + sent + received });
    }
}

/** Most requests that may be sent in a window. */
export const allowedInWindow = ({ quota }: Workspace): number =>
    (quota!.perSecond * settings.windowMs / 1_000 + quota!.burst) * (1 + settings.over) + settings.slack;
