/** Durable state of slots as pure transitions; the daemon and the model checker run the same code. */
export * from "./budgetAccount.js";
export * from "./fencedWrite.js";
export * from "./recordCodec.js";
export * from "./slotRecord.js";
