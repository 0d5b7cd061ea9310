/** Schema of the configuration bundle that operators roll out. */
import { z } from "zod";

import { iniFlag, iniList, iniNumber, parseIni } from "./iniFile.js";

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and hyphens");

/** A customer of the operators; callers authenticate with its key. */
export const workspaceSchema = z.strictObject({
    /** SHA-256 digests, in hexadecimal, of the keys that callers may use. */
    keySha256: iniList,
    /** Share of capacity under overload, relative to other workspaces. */
    weight: iniNumber(0.01).default(1),
    /** Calls of this workspace that one instance works on at a time. */
    maxInFlight: iniNumber(1).default(1000),
});

/** A kind of program. */
export const agentSchema = z.strictObject({
    model: name,
    adapter: z.string().default(""),
    /** Smaller numbers go first. */
    priority: iniNumber(0, 9).default(5),
    /** Tokens a program may spend if it names no budget. */
    budget: iniNumber(1).default(200_000),
    maxBudget: iniNumber(1).default(2_000_000),
    maxTurns: iniNumber(1).default(240),
    maxTokensPerCall: iniNumber(1).default(1024),
    /** Seconds a program may take if it names no deadline. */
    deadlineSeconds: iniNumber(1).default(900),
    /** Identical consecutive turns that end a program. */
    loopLimit: iniNumber(2).default(4),
});

/** A group of model engines. */
export const poolSchema = z.strictObject({
    models: iniList,
    /** `zone=host:port` of each worker. */
    workers: iniList,
    /** Calls that one worker gets at a time, from all instances. */
    maxInFlightPerWorker: iniNumber(1).default(16),
    /** Whether the engines refuse an order with an old fencing number. */
    checksFencing: iniFlag.default(false),
    /** Milliseconds to prefill one token that is not cached. */
    prefillMsPerToken: iniNumber(0).default(0.04),
    /** Milliseconds of a decoding step of one sequence. */
    decodeBaseMs: iniNumber(0).default(10),
    /** Milliseconds that each further sequence adds to a step. */
    decodePerSequenceMs: iniNumber(0).default(0.75),
    /** Milliseconds to import one exported token. */
    importMsPerToken: iniNumber(0).default(0.004),
    /** Adapters, as `name@version`, that every worker should have loaded. */
    adapters: iniList.default([]),
    /** Role that every worker should have. */
    role: z.string().default("serve"),
});

/** A tool or a plain service. */
export const serviceSchema = z.strictObject({
    /** `zone=host:port` of each upstream. */
    upstreams: iniList,
    /** Whether a call may be sent twice. */
    idempotent: iniFlag.default(false),
    timeoutSeconds: iniNumber(0.1).default(30),
});

/** An availability zone and the region that it is in. */
export const zoneSchema = z.strictObject({ region: name });

/** An operator who reviews and signs bundles. */
export const operatorSchema = z.strictObject({
    /** Ed25519 public key, base64 of its DER form. */
    publicKey: z.string().min(40),
});

const limitsSchema = z.strictObject({
    /** Number of slots; a power of two. */
    slots: iniNumber(1, 65_536).refine(count => Number.isInteger(Math.log2(count)), "must be a power of two").default(
        256,
    ),
    /** Part of a budget that is reserved at a time. */
    budgetChunkShare: iniNumber(0.01, 1).default(0.25),
    /** Extra attempts allowed per ordinary request. */
    retryShare: iniNumber(0, 1).default(0.2),
    /** Bytes per second that one instance sends to other regions. */
    regionLinkBytesPerSecond: iniNumber(1).default(250_000),
    /** Seconds for which the outcome of a call that is not idempotent is kept. */
    outcomeRetentionSeconds: iniNumber(60).default(86_400),
});

export const bundleSchema = z.strictObject({
    bundle: z.strictObject({
        version: iniNumber(1).pipe(z.number().int()),
        title: z.string().default(""),
    }),
    limits: limitsSchema.prefault({}),
    zone: z.record(name, zoneSchema),
    operator: z.record(name, operatorSchema).default({}),
    workspace: z.record(name, workspaceSchema),
    agent: z.record(name, agentSchema),
    pool: z.record(name, poolSchema),
    service: z.record(name, serviceSchema).default({}),
});
export type Bundle = z.infer<typeof bundleSchema>;
export type Agent = z.infer<typeof agentSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Service = z.infer<typeof serviceSchema>;

/**
 * Parses a bundle and checks the references between its sections.
 *
 * @throws SettingsError naming section and key.
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

/** An upstream's availability zone and address. */
export interface UpstreamAddress {
    readonly zone: string;
    readonly address: string;
}

/** Splits `zone=host:port`. */
export const parseAddress = (text: string): UpstreamAddress => {
    const cut = text.indexOf("=");
    return { zone: text.slice(0, cut), address: text.slice(cut + 1) };
};
