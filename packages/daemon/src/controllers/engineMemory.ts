/** Engine memory of programs: what is believed to be cached, kept over pauses, and released at the end. */
import { asError, Progress } from "@marigolddrift/common";
import type { Logger, Metrics } from "@marigolddrift/common";
import { CacheView, decideRetention, PauseModel } from "@marigolddrift/policy";
import type { CostModel, RetentionDecision } from "@marigolddrift/policy";

import type { EngineClient } from "../upstreams/engineClient.js";

const orderTimeoutMs = 2_000;
const releaseRetryMs = 1_000;
const maxReleaseTries = 10;

/** A program between two calls. */
export interface Pause {
    readonly program: string;
    readonly worker: string;
    readonly kind: string;
    readonly tokens: number;
    readonly memoryPressure: number;
    readonly cost: CostModel;
}

/** Believes, decides and orders what engines hold. */
export class EngineMemory {
    readonly view = new CacheView();
    readonly pauses = new PauseModel();

    constructor(
        private readonly engines: Pick<EngineClient, "release" | "export">,
        private readonly log: Logger,
        private readonly metrics: Metrics,
        /** Whether prefixes are demoted or dropped at pauses; otherwise the engine decides alone. */
        private readonly retains = true,
    ) {}

    /** Decides what happens to a prefix while its program pauses, and orders it. */
    onPause(pause: Pause): RetentionDecision {
        const decision = decideRetention({
            tokens: pause.tokens,
            expectedPauseMs: this.pauses.expectedPauseMs(pause.kind),
            returnProbability: this.pauses.returnProbability(pause.kind),
            memoryPressure: pause.memoryPressure,
            canExport: true,
            cost: pause.cost,
        });
        if (!this.retains) {
            return { ...decision, action: "keep", reason: "the engine decides" };
        }
        this.metrics.count(`retention.${decision.action}`);
        if (decision.action === "demote") {
            void this.export(pause.worker, pause.program);
        }
        else if (decision.action === "drop") {
            this.view.onDropped(pause.program, pause.worker);
            void this.release(pause.worker, pause.program);
        }
        return decision;
    }

    /** Releases everything that a program may hold. */
    onEnded(program: string): void {
        for (const worker of this.view.removeProgram(program)) {
            void this.release(worker, program);
        }
    }

    /** Orders a worker to drop a program's prefix; tries again until it did or is gone. */
    async release(worker: string, program: string): Promise<void> {
        for (let tries = 0; tries < maxReleaseTries; tries++) {
            const progress = new Progress(orderTimeoutMs);
            try {
                await this.engines.release(worker, program, progress);
                this.metrics.count("memory.released");
                return;
            }
            catch (err) {
                this.log.debug("release failed", { worker, error: asError(err).message });
                await new Promise(resolve => setTimeout(resolve, releaseRetryMs));
            }
            finally {
                progress.dispose();
            }
        }
        this.log.warn("prefix not released; the sweep will find it", { worker });
    }

    private async export(worker: string, program: string): Promise<void> {
        const progress = new Progress(orderTimeoutMs);
        try {
            await this.engines.export(worker, program, progress);
            this.view.onExported(program, worker);
        }
        catch (err) {
            this.log.debug("export failed", { worker, error: asError(err).message });
        }
        finally {
            progress.dispose();
        }
    }
}
