/** Sample workloads of two users. */
import { workloadSchema } from "./workloadFile.js";
import type { Workload } from "./workloadFile.js";

const secondsPerMinute = 60;

/** Many short restock-planning programs, and fewer long route-planning chats that start helper programs. */
export const barbeDouceWorkload: Workload = workloadSchema.parse({
    name: "barbe-douce-day",
    user: "barbe-douce",
    durationSeconds: 5 * secondsPerMinute,
    service: "cart-ops",
    kinds: [
        {
            agent: "restock-planner",
            share: 8,
            calls: { min: 2, max: 5 },
            systemTokens: 600,
            promptTokens: 180,
            answerTokens: 120,
            pauseMs: 1_500,
            tools: { "stock-lookup": 0.5, "supplier-price": 2 },
            order: true,
            deadlineSeconds: 120,
        },
        {
            agent: "route-supervisor",
            share: 2,
            calls: { min: 10, max: 24 },
            systemTokens: 1_500,
            promptTokens: 700,
            answerTokens: 260,
            pauseMs: 6_000,
            spread: 0.8,
            tools: { "map-search": 0.3, "human-review": 4 },
            helperProbability: 0.2,
            helperAgent: "restock-planner",
            deadlineSeconds: 900,
        },
    ],
});

/** Many short quotes, with a burst at planting time when growers call, and fewer long dealer rig guides. */
export const brazosWorkload: Workload = workloadSchema.parse({
    name: "brazos-planting",
    user: "brazos",
    durationSeconds: 5 * secondsPerMinute,
    service: "ordersdesk",
    kinds: [
        {
            agent: "fill-quote",
            share: 9,
            calls: { min: 1, max: 4 },
            systemTokens: 900,
            promptTokens: 220,
            answerTokens: 140,
            pauseMs: 1_000,
            tools: { "tyre-table": 0.3, "ballast-mix": 1.5 },
            order: true,
            deadlineSeconds: 90,
        },
        {
            agent: "rig-guide",
            share: 2,
            calls: { min: 8, max: 18 },
            systemTokens: 1_800,
            promptTokens: 500,
            answerTokens: 320,
            pauseMs: 8_000,
            spread: 0.8,
            tools: { "parts-search": 0.4, "dealer-reply": 3 },
            deadlineSeconds: 900,
        },
    ],
    bursts: [{ agent: "fill-quote", atSeconds: 2 * secondsPerMinute, forSeconds: 40, factor: 3 }],
});
