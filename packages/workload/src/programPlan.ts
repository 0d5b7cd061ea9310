/** Draws the programs of a workload from a seed. */
import { createRandom, exponential, integer, logNormal } from "./random.js";
import type { Random } from "./random.js";
import type { ProgramKind, Workload } from "./workloadFile.js";

/** A model call that a program will make. */
export interface CallPlan {
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Pause after the call, in milliseconds. */
    readonly pauseMs: number;
    /** Tool that runs during the pause; empty for none. */
    readonly tool: string;
    /** Program that runs during the pause. */
    readonly helper: ProgramPlan | undefined;
}

/** A program that will be run. */
export interface ProgramPlan {
    readonly name: string;
    readonly kind: ProgramKind;
    /** Time of its first call, in milliseconds from the start. */
    readonly startMs: number;
    readonly calls: readonly CallPlan[];
}

const maxSpreadFactor = 6;
const helperCalls = 2;

/** Draws all programs of a workload, in the order in which they begin. */
export const planPrograms = (workload: Workload, programsPerSecond: number, seed: number): ProgramPlan[] => {
    const random = createRandom(seed);
    const shares = workload.kinds.reduce((sum, kind) => sum + kind.share, 0);
    const programs = workload.kinds.flatMap(kind =>
        planKind(workload, kind, programsPerSecond * kind.share / shares, random)
    );
    return programs.sort((a, b) => a.startMs - b.startMs);
};

/** Mean engine tokens of a program: what must be prefilled without a cache, what with one, and what is generated. */
export const meanDemand = (programs: readonly ProgramPlan[]): { prefill: number; generate: number; } => {
    let prefill = 0;
    let generate = 0;
    for (const program of withHelpers(programs)) {
        prefill += program.kind.systemTokens;
        for (const call of program.calls) {
            prefill += call.promptTokens;
            generate += call.answerTokens;
        }
    }
    return { prefill: prefill / programs.length, generate: generate / programs.length };
};

/** Programs with the helpers that they start. */
export const withHelpers = (programs: readonly ProgramPlan[]): ProgramPlan[] =>
    programs.flatMap(program => [
        program,
        ...program.calls.flatMap(call => call.helper === undefined ? [] : [call.helper]),
    ]);

const planKind = (workload: Workload, kind: ProgramKind, perSecond: number, random: Random): ProgramPlan[] => {
    const programs: ProgramPlan[] = [];
    if (perSecond <= 0) {
        return programs;
    }
    let at = 0;
    for (;;) {
        const burst = workload.bursts.find(({ agent, atSeconds, forSeconds }) =>
            agent === kind.agent && at >= atSeconds * 1000 && at < (atSeconds + forSeconds) * 1000
        );
        at += exponential(random, 1000 / (perSecond * (burst?.factor ?? 1)));
        if (at >= workload.durationSeconds * 1000) {
            return programs;
        }
        programs.push(planProgram(`${kind.agent}-${programs.length + 1}`, workload, kind, at, random));
    }
};

const planProgram = (
    name: string,
    workload: Workload,
    kind: ProgramKind,
    startMs: number,
    random: Random,
): ProgramPlan => {
    const count = integer(random, kind.calls.min, kind.calls.max);
    const calls = Array.from({ length: count }, (_, index) => planCall(`${name}.${index + 1}`, workload, kind, random));
    return { name, kind, startMs, calls };
};

const planCall = (name: string, workload: Workload, kind: ProgramKind, random: Random): CallPlan => {
    const draw = (median: number): number => Math.min(median * maxSpreadFactor, logNormal(random, median, kind.spread));
    const tools = Object.keys(kind.tools);
    const tool = tools.length === 0 ? "" : tools[integer(random, 0, tools.length - 1)]!;
    const helperKind = random() < kind.helperProbability ?
        workload.kinds.find(other => other.agent === kind.helperAgent) :
        undefined;
    const helper = helperKind === undefined ?
        undefined :
        planProgram(`${name}-helper`, workload, asHelper(helperKind), 0, random);
    return {
        promptTokens: Math.max(1, Math.round(draw(kind.promptTokens))),
        answerTokens: Math.max(1, Math.round(draw(kind.answerTokens))),
        pauseMs: draw(kind.pauseMs) * (kind.tools[tool] ?? 1),
        tool,
        helper,
    };
};

/** Helpers are short and start no helpers of their own. */
const asHelper = (kind: ProgramKind): ProgramKind => ({
    ...kind,
    calls: { min: 1, max: helperCalls },
    helperProbability: 0,
    order: false,
});
