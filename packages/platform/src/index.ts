/** Clients of the platform. */
export * from "./bundleChain.js";
export * from "./instanceList.js";
export * from "./storeClient.js";
