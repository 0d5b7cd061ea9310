/** Drives real daemons under load while faults are injected, and counts from the stand-ins' side. */
import { delay } from "@marigolddrift/common";
import type { Message } from "@marigolddrift/common";
import { Client } from "@marigolddrift/workload";
import { createHash } from "node:crypto";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { FleetFiles } from "./fleetFiles.js";
import { ProcessFleet } from "./processFleet.js";
import { barbeDouce } from "./sampleBundle.js";

const basePort = Number(process.env["MARIGOLDDRIFT_BASE_PORT"] ?? 24_000);
const programsAtOnce = 24;
const answerTokens = 40;
const maxTries = 60;
const retryMs = 250;

/** A fault that is injected while the load runs. */
interface Scenario {
    readonly name: string;
    readonly seconds: number;
    inject(fleet: ProcessFleet): Promise<void>;
}

/** What a run counted. */
interface Counts {
    programs: number;
    calls: number;
    /** Answers that were not what the engine generates for the whole prompt. */
    wrongAnswers: number;
    orders: number;
    /** Orders that a caller was told had run, but that no service executed. */
    lostOrders: number;
    doubledOrders: number;
    /** Orders that were refused as not run, but that a service executed. */
    falseNotRun: number;
    unknownOrders: number;
    refusedCalls: number;
    stuckPrograms: number;
    longestCallMs: number;
}

const scenarios: readonly Scenario[] = [
    { name: "none", seconds: 8, inject: async () => {} },
    {
        name: "kill -9 of one daemon",
        seconds: 16,
        inject: async fleet => {
            await delay(2_000);
            fleet.kill("tunis-a-1", "SIGKILL");
        },
    },
    {
        name: "pause of 9 s, longer than the lease",
        seconds: 18,
        inject: async fleet => {
            await delay(2_000);
            fleet.kill("tunis-b-1", "SIGSTOP");
            await delay(9_000);
            fleet.kill("tunis-b-1", "SIGCONT");
        },
    },
    {
        name: "store replies lost",
        seconds: 14,
        inject: async fleet => {
            for (let round = 0; round < 20; round++) {
                await fleet.fault(fleet.files.store, { fault: "dropReply", on: true, count: 3 });
                await delay(500);
            }
        },
    },
    {
        name: "store down for 15 s",
        seconds: 24,
        inject: async fleet => {
            await delay(2_000);
            await fleet.fault(fleet.files.store, { fault: "down", on: true });
            await delay(15_000);
            await fleet.fault(fleet.files.store, { fault: "down", on: false });
        },
    },
    {
        name: "an engine dies in mid-stream again and again",
        seconds: 12,
        inject: async fleet => {
            const [engine] = fleet.files.engines();
            for (let round = 0; round < 30; round++) {
                await fleet.fault(engine!.address, { fault: "dieMidStream", on: true, ms: 150, count: 2 });
                await delay(300);
            }
        },
    },
    {
        name: "an engine hangs",
        seconds: 14,
        inject: async fleet => {
            const [engine] = fleet.files.engines();
            await fleet.fault(engine!.address, { fault: "hang", on: true });
        },
    },
    {
        name: "SIGTERM of one daemon, then a restart",
        seconds: 14,
        inject: async fleet => {
            await delay(2_000);
            fleet.kill("tunis-a-2", "SIGTERM");
            await fleet.ended("tunis-a-2");
            fleet.startDaemon(fleet.files.daemons.find(daemon => daemon.id === "tunis-a-2")!);
        },
    },
    {
        name: "service replies lost after they ran",
        seconds: 12,
        inject: async fleet => {
            for (let round = 0; round < 20; round++) {
                const upstreams = fleet.files.services();
                await fleet.fault(upstreams[round % upstreams.length]!.address, {
                    fault: "dropReply",
                    on: true,
                    count: 2,
                });
                await delay(400);
            }
        },
    },
];

const newCounts = (): Counts => ({
    programs: 0,
    calls: 0,
    wrongAnswers: 0,
    orders: 0,
    lostOrders: 0,
    doubledOrders: 0,
    falseNotRun: 0,
    unknownOrders: 0,
    refusedCalls: 0,
    stuckPrograms: 0,
    longestCallMs: 0,
});

/** The answer that the engine's stand-in gives to a conversation, worked out independently of the daemons. */
const expectedAnswer = (model: string, messages: readonly Message[], tokens: number): string => {
    const hash = (...parts: readonly string[]): string => createHash("sha1").update(parts.join("\u0000")).digest("hex");
    const seed = messages.reduce((chain, { role, content }) => hash(chain, JSON.stringify([role, content])), model);
    return Array.from({ length: tokens }, (_, index) => ` ${hash(seed, String(index)).slice(0, 3)}`).join("");
};

/** Callers that go on, one program after the other, until they are stopped. */
class Callers {
    readonly counts = newCounts();
    /** Last word that a caller got on each order. */
    readonly verdicts = new Map<string, string>();
    private readonly client = new Client(barbeDouce.callerKey);
    private stopped = false;
    private next = 0;

    constructor(private readonly fleet: ProcessFleet, private readonly run: string) {}

    async drive(seconds: number): Promise<void> {
        const stop = setTimeout(() => this.stopped = true, seconds * 1000);
        await Promise.all(Array.from({ length: programsAtOnce }, (_, index) => this.caller(index)));
        clearTimeout(stop);
        await this.client.close();
    }

    private url(): string {
        this.next += 1;
        return this.fleet.url(this.next);
    }

    private async caller(index: number): Promise<void> {
        for (let round = 0; !this.stopped; round++) {
            const finished = await this.program(`${this.run}-${index}-${round}`);
            this.counts.programs += 1;
            this.counts.stuckPrograms += finished ? 0 : 1;
        }
    }

    private async program(name: string): Promise<boolean> {
        const id = await this.persist(async () =>
            (await this.client.open(this.url(), { agent: "restock-planner" })).id
        );
        if (id === undefined) {
            return false;
        }
        let messages: Message[] = [];
        for (let call = 1; call <= 4; call++) {
            messages = [...messages, { role: "user", content: `${name} asks ${call} [[tokens=${answerTokens}]]` }];
            const text = await this.chat(id, call, messages);
            if (text === undefined) {
                return false;
            }
            this.counts.wrongAnswers += text === expectedAnswer(barbeDouce.model, messages, answerTokens) ? 0 : 1;
            messages = [...messages, { role: "assistant", content: text }];
        }
        await this.order(`${name}-order`);
        await this.client.end(this.url(), id).catch(() => {});
        return true;
    }

    private async chat(id: string, call: number, messages: readonly Message[]): Promise<string | undefined> {
        const startedAt = Date.now();
        const text = await this.persist(async () => {
            const options = { call, stream: call % 2 === 0, timeoutSeconds: 20 };
            const answer = await this.client.chat(this.url(), id, messages, options);
            return answer.status === 200 ? answer.text : undefined;
        });
        this.counts.calls += 1;
        this.counts.longestCallMs = Math.max(this.counts.longestCallMs, Date.now() - startedAt);
        return text;
    }

    /** Sends an order twice at once to different daemons, and again while it is said not to have run. */
    private async order(key: string): Promise<void> {
        this.counts.orders += 1;
        for (let attempt = 0; attempt < maxTries; attempt++) {
            const [first, second] = await Promise.all([this.sendOrder(key), this.sendOrder(key)]);
            const verdict = [first, second].find(word => word === "ran") ?? [first, second].find(word =>
                word !== "notRun"
            ) ?? "notRun";
            this.verdicts.set(key, verdict);
            if (verdict !== "notRun") {
                this.counts.unknownOrders += verdict === "mayHaveRun" ? 1 : 0;
                return;
            }
            await delay(retryMs);
        }
    }

    private async sendOrder(key: string): Promise<string> {
        try {
            const reply = await this.client.service(this.url(), `${barbeDouce.service}/orders`, {
                "idempotency-key": key,
                "request-timeout": "5",
            }, { key });
            return reply.status === 200 ? "ran" : (reply.value as { verdict: string; }).verdict;
        }
        catch (err) {
            return (err as { code?: string; }).code === "ECONNREFUSED" ? "notRun" : "mayHaveRun";
        }
    }

    private async persist(attempt: () => Promise<string | undefined>): Promise<string | undefined> {
        for (let tries = 0; tries < maxTries; tries++) {
            try {
                const value = await attempt();
                if (value !== undefined && value !== "") {
                    return value;
                }
            }
            catch {
                // The balancer's instance is gone; another one is tried.
            }
            this.counts.refusedCalls += 1;
            await delay(retryMs);
        }
        return undefined;
    }
}

const count = (callers: Callers, executions: ReadonlyMap<string, number>): Counts => {
    const { counts, verdicts } = callers;
    for (const [key, verdict] of verdicts) {
        const ran = executions.get(key) ?? 0;
        counts.doubledOrders += ran > 1 ? 1 : 0;
        counts.lostOrders += verdict === "ran" && ran === 0 ? 1 : 0;
        counts.falseNotRun += verdict === "notRun" && ran > 0 ? 1 : 0;
    }
    return counts;
};

const runScenario = async (scenario: Scenario, index: number): Promise<Counts> => {
    const folder = mkdtempSync(join(tmpdir(), "marigolddrift-"));
    const fleet = new ProcessFleet(new FleetFiles(barbeDouce, folder, basePort + index * 200));
    try {
        await fleet.start();
        const callers = new Callers(fleet, scenario.name.replaceAll(" ", "-"));
        await Promise.all([callers.drive(scenario.seconds), scenario.inject(fleet)]);
        return count(callers, await fleet.executions());
    }
    finally {
        await fleet.stop();
    }
};

const isClean = (counts: Counts): boolean =>
    counts.wrongAnswers + counts.lostOrders + counts.doubledOrders + counts.falseNotRun + counts.stuckPrograms === 0;

const only = process.argv[2];
const rows: Record<string, Counts> = {};
for (const [index, scenario] of scenarios.entries()) {
    if (only === undefined || scenario.name.includes(only)) {
        rows[scenario.name] = await runScenario(scenario, index);
        console.log(scenario.name, JSON.stringify(rows[scenario.name]));
    }
}
console.table(rows);
process.exit(Object.values(rows).every(isClean) ? 0 : 1);
