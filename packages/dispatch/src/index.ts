/** Queues calls and dispatches them to workers. */
export * from "./dispatcher.js";
export * from "./dispatchRequest.js";
