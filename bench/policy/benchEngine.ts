/** An engine of the bench: the stand-in's core, with faults, behind a latency. */
import { EngineCore } from "@marigolddrift/standins";
import type { EngineCallHandle, EngineProfile, EngineUsage, Segment } from "@marigolddrift/standins";

/** What happens to an engine. */
export type EngineFault = "none" | "dead" | "hung" | "slow";

/** A call in flight on an engine. */
export interface BenchCall {
    readonly key: string;
    readonly segments: readonly Segment[];
    readonly outputTokens: number;
    readonly answerDigest: string;
    readonly priority: number;
    readonly latencyMs: number;
    onTokens(count: number): void;
    onDone(usage: EngineUsage): void;
    /** @param refused Whether nothing of the call was taken. */
    onFailed(refused: boolean): void;
}

const slowFactor = 5;

/** One engine. */
export class BenchEngine {
    core: EngineCore;
    leaving = false;
    private fault: EngineFault = "none";
    private readonly calls = new Set<{ readonly call: BenchCall; readonly ticket: EngineCallHandle; }>();

    constructor(readonly address: string, readonly zone: string, readonly profile: EngineProfile) {
        this.core = new EngineCore(profile);
    }

    get isDead(): boolean {
        return this.fault === "dead";
    }

    setFault(fault: EngineFault): void {
        this.fault = fault;
        this.core.hung = fault === "hung";
        this.core.slowdown = fault === "slow" ? slowFactor : 1;
        if (fault === "dead") {
            const cut = [...this.calls];
            this.calls.clear();
            this.core.crash();
            cut.forEach(({ call }) => setTimeout(() => call.onFailed(false), call.latencyMs));
        }
    }

    /** Sends a call over the network; returns how to cancel it. */
    send(call: BenchCall): () => void {
        let cancel = (): void => {};
        let cancelled = false;
        setTimeout(() => {
            if (!cancelled) {
                cancel = this.accept(call);
            }
        }, call.latencyMs);
        return () => {
            cancelled = true;
            cancel();
        };
    }

    private accept(call: BenchCall): () => void {
        if (this.isDead) {
            setTimeout(() => call.onFailed(true), call.latencyMs);
            return () => {};
        }
        const later = (action: () => void): void => void setTimeout(action, call.latencyMs);
        const ticket = this.core.submit({
            key: call.key,
            segments: call.segments,
            outputTokens: call.outputTokens,
            answerDigest: call.answerDigest,
            priority: call.priority,
            onTokens: count => later(() => call.onTokens(count)),
            onDone: usage => {
                this.calls.delete(entry);
                later(() => call.onDone(usage));
            },
        });
        const entry = { call, ticket };
        this.calls.add(entry);
        return () => {
            this.calls.delete(entry);
            ticket.cancel();
        };
    }
}
