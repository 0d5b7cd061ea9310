/** Scheduling policies as pure code: no I/O, no timers, no module state. */
export * from "./admission.js";
export * from "./baselines.js";
export * from "./cacheView.js";
export * from "./costModel.js";
export * from "./crashRecords.js";
export * from "./distance.js";
export * from "./latencyEstimate.js";
export * from "./loadAggregator.js";
export * from "./loopDetection.js";
export * from "./namedLimits.js";
export * from "./ordering.js";
export * from "./pauseModel.js";
export * from "./placement.js";
export * from "./prefixView.js";
export * from "./retention.js";
export * from "./retryBudget.js";
