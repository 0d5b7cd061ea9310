/** Settings of a daemon. */
import { iniList, iniNumber, readIni } from "@marigolddrift/common";
import { placementNames } from "@marigolddrift/policy";
import { z } from "zod";

const minKeyLength = 16;
const port = iniNumber(0, 65_535);
const key = z.string().min(minKeyLength, `must have at least ${minKeyLength} characters`);
const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]*$/, "must be letters, digits, dots and hyphens");

export const settingsSchema = z.strictObject({
    instance: z.strictObject({ id: name, zone: name, region: name }),
    http: z.strictObject({ host: z.string().default("127.0.0.1"), port }),
    admin: z.strictObject({ host: z.string().default("127.0.0.1"), port, key, previousKey: key.optional() }),
    peer: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port,
        /** Address that peers connect to; host and port by default. */
        advertise: z.string().optional(),
        key,
        /** Key that is still accepted while keys are rotated. */
        previousKey: key.optional(),
        /** Peers to contact even if the platform's list of instances is unavailable. */
        seeds: iniList.default([]),
    }),
    platform: z.strictObject({
        /** `host:port` of the key-value service's JSON gateway. */
        store: z.string(),
        /** `host:port` of the list of instances. */
        list: z.string(),
    }),
    /** Public keys that are trusted before a bundle is in force, by operator. */
    operators: z.record(name, z.string()).default({}),
    data: z.strictObject({ folder: z.string() }).optional(),
    tls: z.strictObject({ cert: z.string(), key: z.string(), ca: z.string().optional() }).optional(),
    log: z.strictObject({
        format: z.enum(["pretty", "json"]).default("json"),
        level: z.enum(["error", "warn", "info", "debug"]).default("info"),
    }).prefault({}),
    metrics: z.strictObject({ host: z.string().default(""), port: port.default(8125) }).prefault({}),
    policy: z.strictObject({
        /**
         * Placement policy. All values but expectedFinish are baselines for comparisons; they also turn off ordering,
         * admission control and cache retention.
         */
        placement: z.enum(placementNames).default("expectedFinish"),
    }).prefault({}),
    timing: z.strictObject({
        leaseSeconds: iniNumber(1, 600).default(6),
        heartbeatMs: iniNumber(50).default(1000),
        listPollMs: iniNumber(50).default(1000),
        loadPollMs: iniNumber(50).default(1000),
        drainSeconds: iniNumber(1).default(60),
        stallMs: iniNumber(50).default(4000),
    }).prefault({}),
});
export type Settings = z.infer<typeof settingsSchema>;

/** Reads a daemon's settings; an error names the file, section and key, and how to correct them. */
export const readSettings = (file: string): Settings => readIni(settingsSchema, file);

/** Address that peers of the instance connect to. */
export const peerAddress = (cfg: Settings): string => cfg.peer.advertise ?? `${cfg.peer.host}:${cfg.peer.port}`;
