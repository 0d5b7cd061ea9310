/** Waiting calls and the workers that they go to. */
export * from "./dispatcher.js";
