/** Schema of the configuration bundle that operators roll out to the instances. */
import { z } from "zod";

import { iniFlag, iniList, iniNumber, parseIni } from "./iniFile.js";

const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and hyphens");

/** A workspace; callers authenticate with one of its keys. */
export const workspaceSchema = z.strictObject({
    /** SHA-256 digests, in hexadecimal, of the accepted keys. */
    keySha256: iniList,
    /** Share of capacity under overload, relative to other workspaces. */
    weight: iniNumber(0.01).default(1),
    /** Concurrency limit for calls of this workspace on one instance. */
    maxInFlight: iniNumber(1).default(1000),
});

/** Model, priority and limits for the programs of one agent. */
export const agentSchema = z.strictObject({
    model: nameSchema,
    adapter: z.string().default(""),
    /** From 0 (highest) to 9 (lowest). */
    priority: iniNumber(0, 9).default(5),
    /** Default token budget of a program. */
    budget: iniNumber(1).default(200_000),
    /** Maximum token budget that a program may request. */
    maxBudget: iniNumber(1).default(2_000_000),
    maxTurns: iniNumber(1).default(240),
    maxTokensPerCall: iniNumber(1).default(1024),
    /** Default time limit of a program. */
    deadlineSeconds: iniNumber(1).default(900),
    /** Number of identical consecutive turns after which a program is ended. */
    loopLimit: iniNumber(2).default(4),
});

/** A group of inference workers that serve the same models. */
export const poolSchema = z.strictObject({
    models: iniList,
    /** `zone=host:port` of each worker. */
    workers: iniList,
    /** Concurrency limit of one worker, over all instances. */
    maxInFlightPerWorker: iniNumber(1).default(16),
    /** Whether the engines reject orders with an outdated fencing token. */
    checksFencing: iniFlag.default(false),
    /** Time to prefill one uncached token. */
    prefillMsPerToken: iniNumber(0).default(0.04),
    /** Duration of a decode step with a single sequence. */
    decodeBaseMs: iniNumber(0).default(10),
    /** Time that each additional sequence adds to a decode step. */
    decodePerSequenceMs: iniNumber(0).default(0.75),
    /** Time to import one token of an exported prefix. */
    importMsPerToken: iniNumber(0).default(0.004),
    /** Adapters, as `name@version`, that every worker should have loaded. */
    adapters: iniList.default([]),
    /** Role that every worker should have. */
    role: z.string().default("serve"),
});

/** A tool or other HTTP service. */
export const serviceSchema = z.strictObject({
    /** `zone=host:port` of each upstream. */
    upstreams: iniList,
    /** Whether a call may be retried after it may have run. */
    idempotent: iniFlag.default(false),
    timeoutSeconds: iniNumber(0.1).default(30),
});

/** An availability zone. */
export const zoneSchema = z.strictObject({ region: nameSchema });

/** An operator who reviews and signs bundles. */
export const operatorSchema = z.strictObject({
    /** Ed25519 public key in DER format, base64-encoded. */
    publicKey: z.string().min(40),
});

const limitsSchema = z.strictObject({
    /** Number of slots; a power of two. */
    slots: iniNumber(1, 65_536).refine(count => Number.isInteger(Math.log2(count)), "must be a power of two").default(
        256,
    ),
    /** Share of a program's budget that is reserved in the ledger at a time. */
    budgetChunkShare: iniNumber(0.01, 1).default(0.25),
    /** Retries allowed per regular request. */
    retryShare: iniNumber(0, 1).default(0.2),
    /** Bandwidth limit of one instance for requests to other regions. */
    regionLinkBytesPerSecond: iniNumber(1).default(250_000),
    /** Retention period of the outcomes of non-idempotent calls. */
    outcomeRetentionSeconds: iniNumber(60).default(86_400),
});

export const bundleSchema = z.strictObject({
    bundle: z.strictObject({
        version: iniNumber(1).pipe(z.number().int()),
        title: z.string().default(""),
    }),
    limits: limitsSchema.prefault({}),
    zone: z.record(nameSchema, zoneSchema),
    operator: z.record(nameSchema, operatorSchema).default({}),
    workspace: z.record(nameSchema, workspaceSchema),
    agent: z.record(nameSchema, agentSchema),
    pool: z.record(nameSchema, poolSchema),
    service: z.record(nameSchema, serviceSchema).default({}),
});
export type Bundle = z.infer<typeof bundleSchema>;
export type Agent = z.infer<typeof agentSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Service = z.infer<typeof serviceSchema>;

/**
 * Parses a bundle and validates the references between its sections.
 *
 * @throws SettingsError with the section and key of each problem.
 */
export const parseBundle = (text: string, file = "bundle"): Bundle =>
    parseIni(bundleSchema.superRefine(checkReferences), text, file);

const checkReferences = (bundle: Bundle, ctx: z.RefinementCtx): void => {
    const models = new Set(Object.values(bundle.pool).flatMap(pool => pool.models));
    for (const [key, agent] of Object.entries(bundle.agent)) {
        if (!models.has(agent.model)) {
            const message = `no pool serves model "${agent.model}"; pools serve ${[...models].join(", ")}`;
            ctx.addIssue({ code: "custom", path: ["agent", key, "model"], message });
        }
    }
    const zones = new Set(Object.keys(bundle.zone));
    const sections = [...Object.entries(bundle.pool), ...Object.entries(bundle.service)];
    for (const [key, section] of sections) {
        for (const address of "workers" in section ? section.workers : section.upstreams) {
            const path = "workers" in section ? ["pool", key, "workers"] : ["service", key, "upstreams"];
            if (!addressPattern.test(address)) {
                ctx.addIssue({ code: "custom", path, message: `"${address}" is not of the form zone=host:port` });
            }
            else if (!zones.has(parseAddress(address).zone)) {
                ctx.addIssue({
                    code: "custom",
                    path,
                    message: `"${address}" names a zone that no [zone.*] section defines`,
                });
            }
        }
    }
};

const addressPattern = /^[a-z0-9-]+=[^\s=]+:\d+$/;

/** Availability zone and network address of an upstream. */
export interface UpstreamAddress {
    readonly zone: string;
    readonly address: string;
}

/** Parses `zone=host:port`. */
export const parseAddress = (text: string): UpstreamAddress => {
    const separator = text.indexOf("=");
    return { zone: text.slice(0, separator), address: text.slice(separator + 1) };
};
