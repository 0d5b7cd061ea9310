/** `marigolddrift trace`: what the logs say of one request, and of what its instance believed before. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** Time before a request's first line from which changes of belief are shown, in milliseconds. */
const contextMs = 10_000;

/** Events of other requests, which would only hide what matters. */
const requestEvents = new Set(["call", "placement", "attempt failed", "conversation loaded", "budget spent"]);

interface LogLine {
    readonly time: string;
    readonly event: string;
    readonly instance?: string;
    readonly request?: string;
    readonly program?: string;
    readonly turn?: string;
    readonly turnOf?: string;
}

/** Reads structured lines; anything before the first brace, such as a collector's prefix, is left out. */
const readLines = async (file: string): Promise<LogLine[]> => {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const start = text.indexOf("{\"time\":");
        if (start >= 0) {
            try {
                lines.push(JSON.parse(text.slice(start)) as LogLine);
            }
            catch {
                process.stderr.write(`A line of ${file} is not whole and is left out.\n`);
            }
        }
    }
    return lines;
};

/**
 * The lines about a request, its program and its turn, and the other changes that its instance logged shortly before.
 *
 * @example
 * await traceRequest(["front-1.log", "front-2.log"], "9c41d07be2a35f68");
 */
export const traceRequest = async (files: readonly string[], id: string): Promise<readonly LogLine[]> => {
    const lines = (await Promise.all(files.map(readLines))).flat().sort((a, b) => a.time < b.time ? -1 : 1);
    const own = lines.filter(line => line.request === id);
    const last = own.at(-1);
    if (last === undefined) {
        return [];
    }
    const endsAt = Date.parse(last.time);
    const startsAt = Date.parse(own[0]!.time) - contextMs;
    const isRelated = (line: LogLine): boolean => {
        const at = Date.parse(line.time);
        if (line.request === id || (last.program !== undefined && line.program === last.program)) {
            return true;
        }
        if (last.turnOf !== undefined && line.turn === last.turnOf) {
            return true;
        }
        return line.instance === last.instance && !requestEvents.has(line.event) && at >= startsAt && at <= endsAt;
    };
    return lines.filter(isRelated);
};
