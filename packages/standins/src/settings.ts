/** Settings of the stand-ins. */
import { iniFlag, iniList, iniNumber, readIni } from "@marigolddrift/common";
import { z } from "zod";

const port = iniNumber(0, 65_535);

const engineSchema = z.strictObject({
    port,
    zone: z.string(),
    region: z.string(),
    models: iniList,
    checksFencing: iniFlag.default(true),
    prefillMsPerToken: iniNumber(0).default(0.04),
    decodeBaseMs: iniNumber(0).default(10),
    decodePerSequenceMs: iniNumber(0).default(0.75),
    importMsPerToken: iniNumber(0).default(0.004),
    maxBatch: iniNumber(1).default(16),
    prefillChunk: iniNumber(1).default(256),
    memoryTokens: iniNumber(1).default(200_000),
    stepsPerTick: iniNumber(1).default(1),
    loadLagMs: iniNumber(0).default(500),
    eventLagMs: iniNumber(0).default(1000),
    eventGapEvery: iniNumber(0).default(20),
});

export const standinSettingsSchema = z.strictObject({
    store: z.strictObject({ port }),
    list: z.strictObject({ port, lagMs: iniNumber(0).default(2000) }),
    weights: z.strictObject({ port, loadsPerMinute: iniNumber(1).default(30), loadMs: iniNumber(0).default(500) }),
    engine: z.record(z.string(), engineSchema).default({}),
    service: z.record(
        z.string(),
        z.strictObject({
            port,
            zone: z.string(),
            region: z.string(),
            name: z.string(),
            latencyMs: iniNumber(0).default(30),
        }),
    ).default({}),
    /** Daemons that the instance list includes once their peer port accepts connections. */
    instance: z.record(z.string(), z.strictObject({ peer: z.string(), zone: z.string(), region: z.string() })).default(
        {},
    ),
});
export type StandinSettings = z.infer<typeof standinSettingsSchema>;
export type EngineSettings = z.infer<typeof engineSchema>;

/** Reads the stand-ins' settings from an INI file. */
export const readStandinSettings = (file: string): StandinSettings => readIni(standinSettingsSchema, file);
