/** Client of the platform's instance list, which is eventually consistent. */
import type { Progress } from "@marigolddrift/common";
import { Agent, request } from "undici";
import { z } from "zod";

const instanceSchema = z.object({
    id: z.string(),
    kind: z.enum(["daemon", "upstream"]),
    address: z.string(),
    zone: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
});
const listReplySchema = z.object({ instances: z.array(instanceSchema) });

/** An instance on the platform's list. */
export type ListedInstance = z.infer<typeof instanceSchema>;

/** Read access to the platform's instance list. */
export interface InstanceList {
    read(progress: Progress): Promise<ListedInstance[]>;
}

const connectTimeoutMs = 1_000;

/** Reads the instance list over HTTP. */
export class HttpInstanceList implements InstanceList {
    private readonly agent = new Agent({ connect: { timeout: connectTimeoutMs }, connections: 1 });

    constructor(private readonly address: string) {}

    async read(progress: Progress): Promise<ListedInstance[]> {
        const res = await request(`http://${this.address}/instances`, {
            dispatcher: this.agent,
            signal: progress.signal,
        });
        return listReplySchema.parse(await res.body.json()).instances;
    }

    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
