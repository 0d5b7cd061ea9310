/** Callers of a resumable stream, which break off, and ask for the rest at any instance. */
import { request } from "node:http";

/** What a caller has received of a stream. */
export interface ReceivedPart {
    /** Id of the call. */
    readonly id: string;
    /** Status of the answer, or the code of the error. */
    readonly status: number | string;
    readonly events: readonly ReceivedEvent[];
}

/** An event, with the version of the worker that wrote it. */
export interface ReceivedEvent {
    readonly id: number;
    readonly version: string;
}

/** Where a caller sends its calls. */
export interface CallerTarget {
    readonly host: string;
    readonly port: number;
    /** Host name of the route. */
    readonly site: string;
}

const parseEvents = (text: string): ReceivedEvent[] =>
    text.split("\n\n").slice(0, -1).map(event => ({
        id: Number(/^id: (\d+)/m.exec(event)?.[1]),
        version: /^data: .*-(v\d+)$/m.exec(event)?.[1] ?? "",
    }));

let nextId = 1;

/**
 * Asks for a stream, and leaves after some events.
 *
 * @param headers Of the call, as `Resumes` and `Last-Event-Id`.
 */
export const receive = (
    { host, port, site }: CallerTarget,
    headers: Readonly<Record<string, string>> = {},
    maxEvents = Infinity,
): Promise<ReceivedPart> =>
    new Promise(resolve => {
        const id = `stream-${process.pid}-${nextId++}`;
        const sent = { "Host": site, "Request-Id": id, "Deadline-Ms": "2500", ...headers };
        let status: number | string = "none";
        let text = "";
        const end = (): void => resolve({ id, status, events: parseEvents(text) });
        const req = request({ host, port, method: "POST", path: "/talk/1", headers: sent, agent: false }, res => {
            status = res.statusCode!;
            res.on("data", (chunk: Buffer) => {
                text += String(chunk);
                if (parseEvents(text).length >= maxEvents) {
                    req.destroy();
                }
            });
            res.on("error", () => {});
            res.on("close", end);
        });
        req.on("error", (err: NodeJS.ErrnoException) => {
            status = status === "none" ? err.code ?? err.message : status;
            end();
        });
        req.end("prompt");
    });

/** Asks for the rest of a stream. */
export const resume = (
    target: CallerTarget,
    begun: ReceivedPart,
    last: ReceivedEvent | undefined = begun.events.at(-1),
    maxEvents?: number,
): Promise<ReceivedPart> => {
    const headers = { "Resumes": begun.id, ...(last === undefined ? {} : { "Last-Event-Id": String(last.id) }) };
    return receive(target, headers, maxEvents);
};

/** How streams that were taken up ended. */
export interface ResumptionCounts {
    wentOn: number;
    /** Refused with a promise that nothing has run. */
    refused: number;
    /** Joined from two versions. */
    joined: number;
    other: number;
}

/** Counts how streams went on; each pair is what came first, and what came after it was taken up. */
export const countResumptions = (pairs: readonly (readonly [ReceivedPart, ReceivedPart])[]): ResumptionCounts => {
    const counts = { wentOn: 0, refused: 0, joined: 0, other: 0 };
    for (const [begun, rest] of pairs) {
        const versions = new Set([...begun.events, ...rest.events].map(({ version }) => version));
        const outcome = versions.size > 1 ?
            "joined" :
            rest.status === 200 && rest.events.length > 0 ?
            "wentOn" :
            rest.status === 503 ?
            "refused" :
            "other";
        counts[outcome] += 1;
    }
    return counts;
};
