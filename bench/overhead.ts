/** Compares calls through daemons with direct calls to the same engine, side by side in one run. */
import { Client, LatencyRecorder } from "@marigolddrift/workload";
import { Agent, request } from "undici";

import { LocalFleet } from "./localFleet.js";
import { barbeDouce, inOneZone } from "./sampleBundle.js";

const calls = 1_500;
const warmUp = 200;
const maxOverheadMs = 5;
const resolution = 1_000;

const layout = inOneZone(barbeDouce, { daemons: 2, engines: 1 });
const engine = { decodeBaseMs: 1, decodePerSequenceMs: 0, prefillMsPerToken: 0 };
const messages = (index: number) => [{ role: "user" as const, content: `call ${index} [[tokens=1]]` }];

/** Latencies in microseconds, reported in milliseconds. */
class Series {
    private readonly recorder = new LatencyRecorder();

    async time(action: () => Promise<unknown>, counted: boolean): Promise<void> {
        const startedAt = performance.now();
        await action();
        if (counted) {
            this.recorder.record((performance.now() - startedAt) * resolution);
        }
    }

    summary() {
        const { p50, p95, p99 } = this.recorder.summary();
        return { "p50 ms": p50 / resolution, "p95 ms": p95 / resolution, "p99 ms": p99 / resolution };
    }
}

const fleet = new LocalFleet({ layout, engine, timing: { heartbeatMs: 1000, listPollMs: 1000, loadPollMs: 1000 } });
await fleet.start();
const client = new Client(layout.callerKey);
const agent = new Agent();
const address = `127.0.0.1:${fleet.standins.ports.get("engine-1/tunis-a")}`;
const [direct, local, forwarded] = [new Series(), new Series(), new Series()];
for (let index = 0; index < calls + warmUp; index++) {
    const counted = index >= warmUp;
    await direct.time(async () => {
        const body = JSON.stringify({ model: layout.model, messages: messages(index), max_tokens: 8 });
        const res = await request(`http://${address}/v1/chat/completions`, { method: "POST", body, dispatcher: agent });
        await res.body.json();
    }, counted);
    const { id } = await client.open(fleet.url(0), { agent: "restock-planner" });
    await local.time(() => client.chat(fleet.url(0), id, messages(index), { call: 1, maxTokens: 8 }), counted);
    const { id: other } = await client.open(fleet.url(0), { agent: "restock-planner" });
    await forwarded.time(() => client.chat(fleet.url(1), other, messages(index), { call: 1, maxTokens: 8 }), counted);
}
const rows = { "direct": direct.summary(), "owner": local.summary(), "one hop": forwarded.summary() };
console.table(rows);
const overhead = rows["one hop"]["p99 ms"] - rows.direct["p99 ms"];
console.log(
    `Overhead at the 99th percentile, with one hop: ${overhead.toFixed(2)} ms (target: under ${maxOverheadMs} ms).`,
);
await client.close();
await agent.close();
await fleet.stop();
process.exit(overhead < maxOverheadMs ? 0 : 1);
