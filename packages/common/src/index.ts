/** Code shared by all packages. */
export * from "./bundle.js";
export * from "./bundleDocument.js";
export * from "./digest.js";
export * from "./filterChain.js";
export * from "./history.js";
export * from "./httpAnswers.js";
export * from "./httpStatus.js";
export * from "./iniFile.js";
export * from "./lineEndNormalizer.js";
export * from "./lineLogger.js";
export * from "./listen.js";
export * from "./log.js";
export * from "./metrics.js";
export * from "./programId.js";
export * from "./progress.js";
export * from "./rendezvous.js";
export * from "./verdict.js";
