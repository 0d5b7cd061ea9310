/** Reads the body of a call, up to the configured maximum size. */
import { ProblemError } from "@marigolddrift/common";
import type { Filter } from "@marigolddrift/common";
import type { IncomingMessage } from "node:http";

import type { CallContext } from "./callContext.js";

/** Buffers the whole body: a call is forwarded only once it has been received completely. */
export class BodyFilter implements Filter<CallContext> {
    constructor(private readonly maxBytes: () => number) {}

    async handle(ctx: CallContext, next: () => Promise<void>): Promise<void> {
        ctx.body = await ctx.progress.race(readBody(ctx.req, this.maxBytes()));
        await next();
    }
}

const readBody = (req: IncomingMessage, maxBytes: number): Promise<Buffer> => {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        req.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                req.removeAllListeners("data");
                req.resume();
                reject(new ProblemError("body_too_large", "notRun", `The body is larger than ${maxBytes} bytes.`));
                return;
            }
            chunks.push(chunk);
        });
        req.on("end", () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
        req.on("error", err => reject(err));
    });
};
