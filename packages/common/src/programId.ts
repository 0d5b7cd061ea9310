/** Program ids: signed tokens with the claims from which a new owner can restore a program that has no ledger entry. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";

const signatureBytes = 12;

const claimsSchema = z.tuple([
    z.string(),
    z.number().int().min(0),
    z.number().int().min(0),
    z.string(),
    z.string(),
    z.number().int().min(1),
    z.number().int().min(1),
    z.number().int().min(1),
]);

/** Claims in a program id. */
export interface ProgramClaims {
    /** Random value that makes the id unique. */
    readonly nonce: string;
    readonly slot: number;
    /** Epoch of the slot at the time the program was opened. */
    readonly epoch: number;
    readonly workspace: string;
    readonly agent: string;
    /** Token budget of the program. */
    readonly budget: number;
    /** Part of the budget that counts as reserved from the start, without a write to the ledger. */
    readonly firstChunk: number;
    /** Deadline of the program, in epoch milliseconds. */
    readonly deadline: number;
}

/** Creates the random value for a program id. */
export const newNonce = (): string => randomBytes(9).toString("base64url");

const signatureOf = (payload: string, key: string): Buffer =>
    createHmac("sha256", key).update(payload).digest().subarray(0, signatureBytes);

/**
 * Encodes claims as a signed program id.
 *
 * @example
 * const id = encodeProgramId(claims, cfg.peers.key); // "p.WyJ4...": base64url claims and signature
 */
export const encodeProgramId = (claims: ProgramClaims, key: string): string => {
    const { nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline } = claims;
    const fields = [nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline];
    const payload = Buffer.from(JSON.stringify(fields)).toString("base64url");
    return `p.${payload}.${signatureOf(payload, key).toString("base64url")}`;
};

/** Decodes a program id signed with any of the keys; returns `undefined` if it is malformed or its signature is invalid. */
export const decodeProgramId = (id: string, keys: readonly string[]): ProgramClaims | undefined => {
    const [prefix, payload, signature, ...rest] = id.split(".");
    if (prefix !== "p" || payload === undefined || signature === undefined || rest.length > 0) {
        return undefined;
    }
    const given = Buffer.from(signature, "base64url");
    const isValid = keys.some(key =>
        given.length === signatureBytes && timingSafeEqual(given, signatureOf(payload, key))
    );
    return isValid ? parseClaims(payload) : undefined;
};

const parseClaims = (payload: string): ProgramClaims | undefined => {
    const parsed = claimsSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString()));
    if (!parsed.success) {
        return undefined;
    }
    const [nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline] = parsed.data;
    return { nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline };
};
