/** Generates the programs of a workload from a seed. */
import { createRandom, exponential, logNormal, uniformInteger } from "./random.js";
import type { Random } from "./random.js";
import type { ProgramKind, Workload } from "./workloadFile.js";

/** A planned model call of a program. */
export interface CallPlan {
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Pause after the call. */
    readonly pauseMs: number;
    /** Tool that runs during the pause; empty for none. */
    readonly tool: string;
    /** Helper program that runs during the pause. */
    readonly helper: ProgramPlan | undefined;
}

/** A planned program. */
export interface ProgramPlan {
    readonly name: string;
    readonly kind: ProgramKind;
    /** Start time of the program, relative to the start of the run. */
    readonly startMs: number;
    readonly calls: readonly CallPlan[];
}

const maxSpreadFactor = 6;
const maxHelperCalls = 2;

/** Generates all programs of a workload, ordered by start time. */
export const planPrograms = (workload: Workload, programsPerSecond: number, seed: number): ProgramPlan[] => {
    const random = createRandom(seed);
    const totalShare = workload.kinds.reduce((sum, kind) => sum + kind.share, 0);
    const programs = workload.kinds.flatMap(kind =>
        planKind(workload, kind, programsPerSecond * kind.share / totalShare, random)
    );
    return programs.sort((a, b) => a.startMs - b.startMs);
};

/** Mean tokens per program that engines prefill, if they cache each program's history, and generate. */
export const meanTokensPerProgram = (programs: readonly ProgramPlan[]): { prefill: number; generate: number; } => {
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

/** Returns the programs and the helper programs that they start. */
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
    let arrivalMs = 0;
    for (;;) {
        const burst = workload.bursts.find(({ agent, atSeconds, forSeconds }) =>
            agent === kind.agent && arrivalMs >= atSeconds * 1000 && arrivalMs < (atSeconds + forSeconds) * 1000
        );
        arrivalMs += exponential(random, 1000 / (perSecond * (burst?.factor ?? 1)));
        if (arrivalMs >= workload.durationSeconds * 1000) {
            return programs;
        }
        programs.push(planProgram(`${kind.agent}-${programs.length + 1}`, workload, kind, arrivalMs, random));
    }
};

const planProgram = (
    name: string,
    workload: Workload,
    kind: ProgramKind,
    startMs: number,
    random: Random,
): ProgramPlan => {
    const count = uniformInteger(random, kind.calls.min, kind.calls.max);
    const calls = Array.from({ length: count }, (_, index) => planCall(`${name}.${index + 1}`, workload, kind, random));
    return { name, kind, startMs, calls };
};

const planCall = (name: string, workload: Workload, kind: ProgramKind, random: Random): CallPlan => {
    const drawCapped = (median: number): number =>
        Math.min(median * maxSpreadFactor, logNormal(random, median, kind.spread));
    const tools = Object.keys(kind.tools);
    const tool = tools.length === 0 ? "" : tools[uniformInteger(random, 0, tools.length - 1)]!;
    const helperKind = random() < kind.helperProbability ?
        workload.kinds.find(other => other.agent === kind.helperAgent) :
        undefined;
    const helper = helperKind === undefined ?
        undefined :
        planProgram(`${name}-helper`, workload, toHelperKind(helperKind), 0, random);
    return {
        promptTokens: Math.max(1, Math.round(drawCapped(kind.promptTokens))),
        answerTokens: Math.max(1, Math.round(drawCapped(kind.answerTokens))),
        pauseMs: drawCapped(kind.pauseMs) * (kind.tools[tool] ?? 1),
        tool,
        helper,
    };
};

/** Returns the kind for helper programs: they make few calls, start no helpers and place no order. */
const toHelperKind = (kind: ProgramKind): ProgramKind => ({
    ...kind,
    calls: { min: 1, max: maxHelperCalls },
    helperProbability: 0,
    order: false,
});
