/** Modules of the command line that the tests import. */
export * from "./bundleCommands.js";
export * from "./diffIni.js";
export * from "./traceCommand.js";
export * from "./whereCommand.js";
