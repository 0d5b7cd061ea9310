/** Workload definitions, program generation, a client that runs them against daemons, and reports. */
export * from "./client.js";
export * from "./httpRunner.js";
export * from "./programPlan.js";
export * from "./random.js";
export * from "./report.js";
export * from "./samples.js";
export * from "./workloadFile.js";
