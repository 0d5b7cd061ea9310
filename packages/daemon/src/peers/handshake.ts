/** Mutual authentication of daemons by a shared key and fresh nonces. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

const nonceBytes = 16;

/** Creates a value that is used once. */
export const createNonce = (): string => randomBytes(nonceBytes).toString("base64url");

/** Proof of one side over both nonces and its identity; a recorded proof is useless on another connection. */
export const createMac = (
    key: string,
    side: "connecting" | "accepting",
    accepting: string,
    connecting: string,
    instance: string,
): string =>
    createHmac("sha256", key).update(JSON.stringify([side, accepting, connecting, instance])).digest("base64url");

/** Compares proofs in constant time. */
export const macEquals = (a: string, b: string): boolean => {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
};

/** Keys for the handshake; while keys are rotated the previous one is accepted too. */
export interface HandshakeKeys {
    readonly key: string;
    readonly previousKey?: string | undefined;
}

/** Finds the key with which a proof was made. */
export const findKey = (keys: HandshakeKeys, mac: string, make: (key: string) => string): string | undefined =>
    [keys.key, keys.previousKey].find(key => key !== undefined && macEquals(make(key), mac));
