/** Client of tools and other HTTP services. */
import { isFinalStatus } from "@marigolddrift/common";
import type { Progress } from "@marigolddrift/common";
import { request } from "undici";
import type { Agent } from "undici";

import type { ServiceRequest } from "../calls.js";
import { toUpstreamError, UpstreamError } from "./upstreamError.js";

const maxReplyBytes = 8 * 1024 * 1024;

/** Response of a service. */
export interface ServiceReply {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
}

/** Calls services over HTTP. */
export class ServiceClient {
    constructor(private readonly agent: Agent, private readonly onLeaving: (upstream: string) => void) {}

    /**
     * Sends a request once, without retries.
     *
     * @throws UpstreamError whose verdict tells whether the call may have run.
     */
    async call(upstream: string, req: ServiceRequest, progress: Progress): Promise<ServiceReply> {
        try {
            const res = await request(`http://${upstream}/${req.path}`, {
                method: req.method as "GET" | "POST" | "DELETE" | "PUT" | "PATCH",
                headers: {
                    ...(req.contentType === "" ? {} : { "content-type": req.contentType }),
                    ...(req.key === undefined ? {} : { "idempotency-key": req.key }),
                    "x-workspace": req.workspace,
                },
                body: req.body.length === 0 ? null : req.body,
                dispatcher: this.agent,
                signal: progress.signal,
            });
            if (res.headers["x-upstream-leaving"] === "true") {
                this.onLeaving(upstream);
            }
            if (!isFinalStatus(res.statusCode)) {
                res.body.on("error", () => {}).destroy();
                throw new UpstreamError("mayHaveRun", upstream, `a reply with status ${res.statusCode}, which is none`);
            }
            const body = await readLimited(res.body);
            return { status: res.statusCode, contentType: String(res.headers["content-type"] ?? ""), body };
        }
        catch (err) {
            throw toUpstreamError(err, upstream);
        }
    }
}

const readLimited = async (body: AsyncIterable<Buffer>): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of body) {
        size += chunk.length;
        if (size > maxReplyBytes) {
            throw new Error(`the response body exceeds ${maxReplyBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};
