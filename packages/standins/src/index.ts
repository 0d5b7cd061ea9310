/** Stand-ins for the platform, engines and services, used by tests, benchmarks and the demo. */
export * from "./engine/engineCore.js";
export * from "./engine/engineStandin.js";
export * from "./engine/prefixCache.js";
export { answerText, completionSchema, parsePrompt } from "./engine/prompt.js";
export * from "./faults.js";
export * from "./instanceListStandin.js";
export * from "./serviceStandin.js";
export * from "./settings.js";
export * from "./standins.js";
export * from "./standinServer.js";
export * from "./store/keyValueState.js";
export * from "./store/storeStandin.js";
export * from "./weightStoreStandin.js";
