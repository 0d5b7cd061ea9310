/** Mutual authentication of daemons with a shared key and per-connection nonces. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const nonceBytes = 16;

/** Creates a random nonce. */
export const createNonce = (): string => randomBytes(nonceBytes).toString("base64url");

/**
 * Computes one side's proof that it has the key, over both nonces and its instance id. A proof from one connection
 * can't be replayed on another, because the nonces differ.
 */
export const createMac = (
    key: string,
    side: "connecting" | "accepting",
    acceptingNonce: string,
    connectingNonce: string,
    instance: string,
): string =>
    createHmac("sha256", key).update(JSON.stringify([side, acceptingNonce, connectingNonce, instance])).digest(
        "base64url",
    );

/** Compares two proofs in constant time. */
export const macEquals = (a: string, b: string): boolean => {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
};

/** Shared keys for the handshake; the previous key is accepted too during a key rotation. */
export interface HandshakeKeys {
    readonly key: string;
    readonly previousKey?: string | undefined;
}

/** Returns the key that produces the given proof, or undefined if none does. */
export const findMatchingKey = (
    keys: HandshakeKeys,
    mac: string,
    computeMac: (key: string) => string,
): string | undefined => [keys.key, keys.previousKey].find(key => key !== undefined && macEquals(computeMac(key), mac));
