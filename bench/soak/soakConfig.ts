/** The platform's configuration in a soak. */
import { turnKeepS, visitKeepS } from "./soakCalls.js";

/** Host name of all routes. */
export const site = "soak.example";

/** Service whose workers have several versions, and whose streams may be resumed. */
export const talkService = "talk";

export const engine = { slots: 8, kvCapacity: 90_000, tokensPerEvent: 10 };

const route = (name: string, prefix: string, changes: Record<string, unknown>) => ({
    name,
    host: site,
    prefix,
    timeoutMs: 3_000,
    latencyGoalMs: 300,
    priority: 0,
    maxAttempts: 2,
    ...changes,
});

/** Returns a version of the configuration with the given workspaces. */
export const configOf = (version: number, tenants: readonly Record<string, unknown>[]) => ({
    version,
    tenants,
    routes: [
        route("chat", "/chat/", { kind: "stream", service: "brain", retain: true, keepS: turnKeepS }),
        route("visit", "/visit/", { kind: "stream", service: "brain", retain: true, keepS: visitKeepS }),
        route("talk", "/talk/", { kind: "stream", service: talkService, resumable: true, public: true }),
        route("look", "/look/", { kind: "safe", service: "ops" }),
        route("order", "/order/", { kind: "unsafe", service: "ops" }),
    ],
    services: [
        { name: "brain", maxConns: 150, engine },
        { name: talkService, maxConns: 150, engine },
        { name: "ops", maxConns: 96 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4 * 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
});
