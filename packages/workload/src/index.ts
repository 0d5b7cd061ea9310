/** Workloads, their programs, a caller of the daemons, and reports. */
export * from "./client.js";
export * from "./httpRunner.js";
export * from "./programPlan.js";
export * from "./random.js";
export * from "./report.js";
export * from "./samples.js";
export * from "./workloadFile.js";
