/** Modules of the command line that the tests import. */
export * from "./bundleCommands.js";
export * from "./diffLines.js";
export * from "./traceCommand.js";
