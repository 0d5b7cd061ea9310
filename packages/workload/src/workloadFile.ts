/** The format of workload files: kinds of programs, how often they begin, and what their calls look like. */
import { readFileSync } from "node:fs";
import { z } from "zod";

const tokens = z.number().int().min(1);

/** A kind of programs. */
export const programKindSchema = z.strictObject({
    /** Agent of the bundle that the programs are opened with. */
    agent: z.string(),
    /** Share of all programs, relative to the other kinds. */
    share: z.number().min(0),
    /** Model calls of a program, uniformly distributed. */
    calls: z.strictObject({ min: z.number().int().min(1), max: z.number().int().min(1) }),
    /** Tokens with which every program of the kind begins; the same ones. */
    systemTokens: tokens,
    /** Median of the tokens that each call adds to the history. */
    promptTokens: tokens,
    /** Median of the tokens that a call generates. */
    answerTokens: tokens,
    /** Median of the pauses between calls, in milliseconds. */
    pauseMs: z.number().min(0),
    /** Standard deviation of the logarithm of tokens and pauses. */
    spread: z.number().min(0).max(2).default(0.5),
    /** Tools between calls, of which one is used at each pause; the pause is multiplied by the factor. */
    tools: z.record(z.string(), z.number().min(0)).default({}),
    /** Probability that a call is followed by a helper program, which ends before the next call. */
    helperProbability: z.number().min(0).max(1).default(0),
    /** Agent of the helpers. */
    helperAgent: z.string().optional(),
    /** Whether the program ends with a service call that must not be repeated. */
    order: z.boolean().default(false),
    /** Seconds within which a program should have finished. */
    deadlineSeconds: z.number().min(1).default(300),
});
export type ProgramKind = z.infer<typeof programKindSchema>;

/** A time of many arrivals. */
const burstSchema = z.strictObject({
    agent: z.string(),
    atSeconds: z.number().min(0),
    forSeconds: z.number().min(1),
    /** Factor on the kind's arrivals. */
    factor: z.number().min(1),
});

export const workloadSchema = z.strictObject({
    name: z.string(),
    user: z.string(),
    /** Seconds during which programs begin. */
    durationSeconds: z.number().min(1),
    /** Programs that begin per second; the bench derives it from a load if it is absent. */
    programsPerSecond: z.number().min(0).optional(),
    kinds: z.array(programKindSchema).min(1),
    bursts: z.array(burstSchema).default([]),
    /** Service of the calls that must not be repeated. */
    service: z.string().default(""),
});
export type Workload = z.infer<typeof workloadSchema>;

/**
 * Reads a workload file.
 *
 * @throws Error naming the field that is wrong.
 */
export const readWorkload = (file: string): Workload => workloadSchema.parse(JSON.parse(readFileSync(file, "utf8")));
