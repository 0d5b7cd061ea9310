/** Cost model of the time that calls take on an engine. */

/** Parameters of the cost model. */
export interface CostModel {
    /** Time to prefill one uncached token. */
    readonly prefillMsPerToken: number;
    /** Duration of a decode step with a single sequence. */
    readonly decodeBaseMs: number;
    /** Time that each additional sequence adds to a decode step. */
    readonly decodePerSequenceMs: number;
    /** Sequences that an engine decodes concurrently. */
    readonly maxBatch: number;
    /** Time to import one token of an exported prefix. */
    readonly importMsPerToken: number;
}

/** Cost model of a worker for which there are no observations yet. */
export const defaultCostModel: CostModel = {
    prefillMsPerToken: 0.04,
    decodeBaseMs: 10,
    decodePerSequenceMs: 0.75,
    maxBatch: 16,
    importMsPerToken: 0.004,
};

/** Time between two tokens of a sequence when `sequences` are decoded concurrently. */
export const decodeStepMs = (model: CostModel, sequences: number): number =>
    model.decodeBaseMs + model.decodePerSequenceMs * Math.max(0, sequences - 1);
