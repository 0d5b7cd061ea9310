/** Reads and validates request bodies. */
import { ProblemError } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import type { IncomingMessage } from "node:http";
import type { z } from "zod";

/** Maximum size of a caller's body; leaves room above the longest history. */
export const maxBodyBytes = 8 * 1024 * 1024;

/**
 * Reads a whole body.
 *
 * @throws ProblemError `body_too_large`, or `caller_gone` if the connection ends early.
 */
export const readBody = async (req: IncomingMessage, progress: Progress): Promise<Buffer> => {
    if (Number(req.headers["content-length"] ?? 0) > maxBodyBytes) {
        throw tooLarge();
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const read = async (): Promise<Buffer> => {
        for await (const chunk of req) {
            size += (chunk as Buffer).length;
            if (size > maxBodyBytes) {
                throw tooLarge();
            }
            chunks.push(chunk as Buffer);
        }
        return Buffer.concat(chunks);
    };
    try {
        return await progress.race(read());
    }
    catch (err) {
        if (err instanceof ProblemError) {
            throw err;
        }
        throw new ProblemError("caller_gone", "notRun", "The connection closed before the whole body had arrived.");
    }
};

const tooLarge = (): ProblemError =>
    new ProblemError("body_too_large", "notRun", `The body exceeds ${maxBodyBytes} bytes.`);

/**
 * Parses a JSON body and validates it against a schema.
 *
 * @throws ProblemError `malformed_json` or `invalid_request`, naming the field.
 */
export const parseJson = <T extends z.ZodType>(schema: T, body: Buffer): z.infer<T> => {
    let value: unknown;
    try {
        value = JSON.parse(body.toString());
    }
    catch (err) {
        throw new ProblemError("malformed_json", "notRun", `The body is not JSON: ${(err as Error).message}`);
    }
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        throw new ProblemError("invalid_request", "notRun", parsed.error.issues.map(describe).join("; "));
    }
    return parsed.data;
};

const describe = (issue: z.core.$ZodIssue): string =>
    issue.code === "unrecognized_keys" ?
        `unknown field "${issue.keys.join("\", \"")}"` :
        `field "${issue.path.join(".")}": ${issue.message}`;
