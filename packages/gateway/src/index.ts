/** Serves plain HTTP calls of agent programs. */
export * from "./call.js";
export * from "./entry/statusServer.js";
export * from "./gateway.js";
export * from "./protocol.js";
export * from "./routes.js";
export * from "./state/follower.js";
export * from "./upstreams/upstreamEntry.js";
