/** Serves plain HTTP calls of agent programs. */
export * from "./budgets/budgetRecord.js";
export * from "./budgets/budgets.js";
export * from "./budgets/zoneBudgets.js";
export * from "./call.js";
export * from "./entry/statusServer.js";
export * from "./gateway.js";
export * from "./peers/relayStore.js";
export * from "./protocol.js";
export * from "./routes.js";
export * from "./state/follower.js";
export * from "./state/groupWriter.js";
export * from "./turns/storeArchive.js";
export * from "./turns/turnRecord.js";
export * from "./turns/turnStore.js";
export * from "./upstreams/replyCheck.js";
export * from "./upstreams/upstreamEntry.js";
export * from "./upstreams/upstreams.js";
