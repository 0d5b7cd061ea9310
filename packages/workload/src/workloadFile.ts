/** Schema of workload files: the kinds of programs, their arrival rates and the sizes of their calls. */
import { readFileSync } from "node:fs";
import { z } from "zod";

const tokens = z.number().int().min(1);

/** A kind of program. */
export const programKindSchema = z.strictObject({
    /** Agent, as named in the configuration bundle, that the programs are opened for. */
    agent: z.string(),
    /** Share of all programs, relative to the other kinds. */
    share: z.number().min(0),
    /** Model calls of a program, uniformly distributed. */
    calls: z.strictObject({ min: z.number().int().min(1), max: z.number().int().min(1) }),
    /** Length of the system prompt that all programs of the kind share. */
    systemTokens: tokens,
    /** Median of the tokens that each call adds to the history. */
    promptTokens: tokens,
    /** Median of the tokens that a call generates. */
    answerTokens: tokens,
    /** Median of the pauses between calls. */
    pauseMs: z.number().min(0),
    /** Standard deviation of the logarithm of tokens and pauses. */
    spread: z.number().min(0).max(2).default(0.5),
    /** Tools with their pause factors. One tool runs in each pause between calls, and its factor scales the pause. */
    tools: z.record(z.string(), z.number().min(0)).default({}),
    /** Probability that a call is followed by a helper program, which finishes before the next call. */
    helperProbability: z.number().min(0).max(1).default(0),
    /** Agent of the helper programs. */
    helperAgent: z.string().optional(),
    /** Whether the program ends with a service call that must not be executed more than once. */
    order: z.boolean().default(false),
    /** Time within which a program should finish, in seconds. */
    deadlineSeconds: z.number().min(1).default(300),
});
export type ProgramKind = z.infer<typeof programKindSchema>;

/** A period with an increased arrival rate. */
const burstSchema = z.strictObject({
    agent: z.string(),
    atSeconds: z.number().min(0),
    forSeconds: z.number().min(1),
    /** Factor applied to the arrival rate of the kind. */
    factor: z.number().min(1),
});

export const workloadSchema = z.strictObject({
    name: z.string(),
    user: z.string(),
    /** Period during which programs start, in seconds. */
    durationSeconds: z.number().min(1),
    /** Programs started per second; if absent, the benchmark derives it from its target load. */
    programsPerSecond: z.number().min(0).optional(),
    kinds: z.array(programKindSchema).min(1),
    bursts: z.array(burstSchema).default([]),
    /** Service that receives the calls that must not be executed more than once. */
    service: z.string().default(""),
});
export type Workload = z.infer<typeof workloadSchema>;

/**
 * Reads a workload file.
 *
 * @throws Error that names the invalid field.
 */
export const readWorkload = (file: string): Workload => workloadSchema.parse(JSON.parse(readFileSync(file, "utf8")));
