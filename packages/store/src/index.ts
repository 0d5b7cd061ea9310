/** Interface of the key-value store, and clients of its etcd gateway and of the instance list. */
export * from "./bundleChain.js";
export * from "./instanceList.js";
export * from "./store.js";
export * from "./storeClient.js";
