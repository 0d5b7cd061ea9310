/** The `marigolddrift trace` command: finds the log lines that are relevant to one request. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** State changes that the instance logged up to this long before a request's first line are included. */
const contextBeforeMs = 10_000;

/** Events that belong to a single request; those of other requests are left out as noise. */
const perRequestEvents = new Set(["call", "placement", "attempt failed", "conversation loaded", "budget spent"]);

interface LogLine {
    readonly time: string;
    readonly event: string;
    readonly instance?: string;
    readonly request?: string;
    readonly program?: string;
    readonly turn?: string;
    readonly turnOf?: string;
}

/** Reads structured log lines and strips anything before the JSON object, such as a log collector's prefix. */
const readLogLines = async (file: string): Promise<LogLine[]> => {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const start = text.indexOf("{\"time\":");
        if (start >= 0) {
            try {
                lines.push(JSON.parse(text.slice(start)) as LogLine);
            }
            catch {
                process.stderr.write(`Skipped a truncated line in ${file}.\n`);
            }
        }
    }
    return lines;
};

/**
 * Returns the log lines of a request, its program and its turn, and the state changes that its instance logged from
 * shortly before the request until its last line.
 *
 * @example
 * await traceRequest(["front-1.log", "front-2.log"], "9c41d07be2a35f68");
 */
export const traceRequest = async (files: readonly string[], id: string): Promise<readonly LogLine[]> => {
    const lines = (await Promise.all(files.map(readLogLines))).flat().sort((a, b) => a.time < b.time ? -1 : 1);
    const requestLines = lines.filter(line => line.request === id);
    const last = requestLines.at(-1);
    if (last === undefined) {
        return [];
    }
    const endsAt = Date.parse(last.time);
    const startsAt = Date.parse(requestLines[0]!.time) - contextBeforeMs;
    const isRelated = (line: LogLine): boolean => {
        const at = Date.parse(line.time);
        if (line.request === id || (last.program !== undefined && line.program === last.program)) {
            return true;
        }
        if (last.turnOf !== undefined && line.turn === last.turnOf) {
            return true;
        }
        return line.instance === last.instance && !perRequestEvents.has(line.event) && at >= startsAt && at <= endsAt;
    };
    return lines.filter(isRelated);
};
