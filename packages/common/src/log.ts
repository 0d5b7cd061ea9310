/** Structured logging with consola, as human-readable or JSON lines. */
import { createConsola } from "consola";

export type LogFormat = "pretty" | "json";
export type LogLevel = "error" | "warn" | "info" | "debug";
type Fields = Readonly<Record<string, unknown>>;

const levels: Record<LogLevel, number> = { error: 0, warn: 1, info: 3, debug: 4 };
const secretKeys = new Set(["key", "token", "authorization", "secret", "password"]);

/** Writes structured log lines; `event` is a constant name, and details belong in `fields`. */
export interface Logger {
    error(event: string, fields?: Fields): void;
    warn(event: string, fields?: Fields): void;
    info(event: string, fields?: Fields): void;
    debug(event: string, fields?: Fields): void;
}

const redactSecrets = (fields: Fields): Fields =>
    Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, secretKeys.has(key) ? "[redacted]" : value]));

const prettyFields = (fields: Fields): string =>
    Object.entries(fields).map(([key, value]) => `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`)
        .join(" ");

/**
 * Creates a logger.
 *
 * @example
 * createLogger("json", "info", { instance: "tunis-a-1" }).info("placement", { program, worker, reason });
 */
export const createLogger = (format: LogFormat, level: LogLevel, base: Fields = {}): Logger => {
    const output = createConsola({ level: levels[level] });
    if (format === "json") {
        output.setReporters([{ log: entry => process.stdout.write(`${entry.args.join(" ")}\n`) }]);
    }
    const write = (name: LogLevel, event: string, fields: Fields = {}): void => {
        if (output.level < levels[name]) {
            return;
        }
        const redacted = redactSecrets(fields);
        const line = format === "json" ?
            JSON.stringify({ time: new Date().toISOString(), level: name, event, ...base, ...redacted }) :
            `${event} ${prettyFields(redacted)}`;
        output[name](line);
    };
    return {
        error: (event, fields) => write("error", event, fields),
        warn: (event, fields) => write("warn", event, fields),
        info: (event, fields) => write("info", event, fields),
        debug: (event, fields) => write("debug", event, fields),
    };
};

/** A logger that writes nothing. */
export const silentLogger: Logger = {
    error: () => {},
    warn: () => {},
    info: () => {},
    debug: () => {},
};
