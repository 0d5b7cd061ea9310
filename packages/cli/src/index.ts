/** The command line's parts, for tests. */
export * from "./bundleCommands.js";
export * from "./diffLines.js";
export * from "./traceCommand.js";
