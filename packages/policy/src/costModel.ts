/** What calls cost on an engine. */

/** Parameters of an engine's speed. */
export interface CostModel {
    /** Milliseconds to prefill one token that is not cached. */
    readonly prefillMsPerToken: number;
    /** Milliseconds of one decoding step with a single sequence. */
    readonly decodeBaseMs: number;
    /** Milliseconds that each further sequence adds to a step. */
    readonly decodePerSequenceMs: number;
    /** Sequences that an engine decodes at a time. */
    readonly maxBatch: number;
    /** Milliseconds to import one exported token. */
    readonly importMsPerToken: number;
}

/** Cost model of a worker before anything was observed of it. */
export const defaultCostModel: CostModel = {
    prefillMsPerToken: 0.04,
    decodeBaseMs: 10,
    decodePerSequenceMs: 0.75,
    maxBatch: 16,
    importMsPerToken: 0.004,
};

/** Milliseconds between two tokens of a sequence when `sequences` run at once. */
export const decodeStepMs = (model: CostModel, sequences: number): number =>
    model.decodeBaseMs + model.decodePerSequenceMs * Math.max(0, sequences - 1);
