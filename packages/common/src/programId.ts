/** Program ids: signed tokens that carry what a new owner needs to know of a program that was never written down. */
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

/** What a program id says about its program. */
export interface ProgramClaims {
    /** Random part, which makes the id unique. */
    readonly nonce: string;
    readonly slot: number;
    /** Epoch of the slot when the program was opened. */
    readonly epoch: number;
    readonly workspace: string;
    readonly agent: string;
    /** Tokens the program may spend. */
    readonly budget: number;
    /** Tokens of the budget that count as reserved from the start. */
    readonly firstChunk: number;
    /** End of the program, in epoch milliseconds. */
    readonly deadline: number;
}

/** Creates a random part for a program id. */
export const newNonce = (): string => randomBytes(9).toString("base64url");

const sign = (payload: string, key: string): Buffer =>
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
    return `p.${payload}.${sign(payload, key).toString("base64url")}`;
};

/** Decodes a program id, or returns undefined if it is malformed or its signature is wrong. */
export const decodeProgramId = (id: string, keys: readonly string[]): ProgramClaims | undefined => {
    const [prefix, payload, signature, ...rest] = id.split(".");
    if (prefix !== "p" || payload === undefined || signature === undefined || rest.length > 0) {
        return undefined;
    }
    const given = Buffer.from(signature, "base64url");
    const valid = keys.some(key => given.length === signatureBytes && timingSafeEqual(given, sign(payload, key)));
    return valid ? parseClaims(payload) : undefined;
};

const parseClaims = (payload: string): ProgramClaims | undefined => {
    const parsed = claimsSchema.safeParse(JSON.parse(Buffer.from(payload, "base64url").toString()));
    if (!parsed.success) {
        return undefined;
    }
    const [nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline] = parsed.data;
    return { nonce, slot, epoch, workspace, agent, budget, firstChunk, deadline };
};
