/** Stand-in for the rate-limited weight store. */
import { delay } from "@marigolddrift/common";

import { sendJson } from "./faults.js";
import { StandinServer } from "./standinServer.js";

/** Serves weights with a limit on the number of loads per minute. */
export class WeightStoreStandin {
    readonly server: StandinServer;
    private readonly served: { readonly model: string; readonly at: number; }[] = [];
    private refused = 0;

    constructor(private readonly loadsPerMinute: number, private readonly loadMs: number) {
        this.server = new StandinServer(() => ({ served: this.served, refused: this.refused }));
        this.server.route("GET", "/weights/:model", async (req, res, path) => {
            const recent = this.served.filter(load => load.at > Date.now() - 60_000).length;
            if (recent >= this.loadsPerMinute) {
                this.refused += 1;
                res.setHeader("retry-after", "5");
                return sendJson(res, 429, { error: "rate limit" });
            }
            this.served.push({ model: decodeURIComponent(path.split("/").at(-1) ?? ""), at: Date.now() });
            await delay(this.loadMs);
            this.server.faults.sendReply(req, res, 200, { bytes: 1 });
        });
    }

    async close(): Promise<void> {
        await this.server.close();
    }
}
