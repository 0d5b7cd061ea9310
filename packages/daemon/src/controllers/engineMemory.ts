/** Engine memory of programs: estimates what is cached, and controls retention during pauses and release at the end. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { CacheView, decideRetention, PauseModel } from "@marigolddrift/policy";
import type { CostModel, RetentionDecision } from "@marigolddrift/policy";

import type { EngineClient } from "../upstreams/engineClient.js";

const requestTimeoutMs = 2_000;
const releaseRetryMs = 1_000;
const maxReleaseAttempts = 10;

/** A pause of a program between two calls. */
export interface Pause {
    readonly program: string;
    readonly worker: string;
    readonly kind: string;
    readonly tokens: number;
    readonly memoryPressure: number;
    readonly cost: CostModel;
}

/** Tracks and controls the prefixes that engines hold for programs. */
export class EngineMemory {
    readonly cacheView = new CacheView();
    readonly pauseModel = new PauseModel();

    constructor(
        private readonly engines: Pick<EngineClient, "release" | "export">,
        private readonly log: Logger,
        private readonly metrics: Metrics,
        /** Whether prefixes are demoted or dropped during pauses; if not, eviction is left to the engine. */
        private readonly managesRetention = true,
    ) {}

    /** Decides whether a prefix is kept, demoted or dropped while its program pauses, and applies the decision. */
    onPause(pause: Pause): RetentionDecision {
        const decision = decideRetention({
            tokens: pause.tokens,
            expectedPauseMs: this.pauseModel.expectedPauseMs(pause.kind),
            returnProbability: this.pauseModel.returnProbability(pause.kind),
            memoryPressure: pause.memoryPressure,
            canExport: true,
            cost: pause.cost,
        });
        if (!this.managesRetention) {
            return { ...decision, action: "keep", reason: "eviction is left to the engine" };
        }
        this.metrics.count(`retention.${decision.action}`);
        if (decision.action === "demote") {
            void this.export(pause.worker, pause.program);
        }
        else if (decision.action === "drop") {
            this.cacheView.onDropped(pause.program, pause.worker);
            void this.release(pause.worker, pause.program);
        }
        return decision;
    }

    /** Releases the prefixes of an ended program on all workers that may hold one. */
    onEnded(program: string): void {
        for (const worker of this.cacheView.removeProgram(program)) {
            void this.release(worker, program);
        }
    }

    /** Makes a worker drop a program's prefix, with at most {@link maxReleaseAttempts} attempts. */
    async release(worker: string, program: string): Promise<void> {
        for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
            const progress = new Progress(requestTimeoutMs);
            try {
                await this.engines.release(worker, program, progress);
                this.metrics.count("memory.released");
                return;
            }
            catch (err) {
                this.log.debug("prefix release failed", { worker, error: asError(err).message });
                await new Promise(resolve => setTimeout(resolve, releaseRetryMs));
            }
            finally {
                progress.dispose();
            }
        }
        this.log.warn("prefix not released; the next sweep will retry", { worker });
    }

    private async export(worker: string, program: string): Promise<void> {
        const progress = new Progress(requestTimeoutMs);
        try {
            await this.engines.export(worker, program, progress);
            this.cacheView.onExported(program, worker);
        }
        catch (err) {
            this.log.debug("prefix export failed", { worker, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}
