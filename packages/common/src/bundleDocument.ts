/** Versions of the configuration bundle: reviews, sign-off, rollout and their signatures. */
import { createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from "node:crypto";
import { z } from "zod";

import { digest } from "./digest.js";

const signatureSchema = z.strictObject({ operator: z.string(), signature: z.string() });

/** One version of the bundle; each version refers to its predecessor by digest. */
export const bundleDocumentSchema = z.strictObject({
    version: z.number().int().min(1),
    /** Digest of the previous version's text; empty for the first version. */
    parent: z.string(),
    /** The bundle in INI format. */
    text: z.string(),
    proposer: z.string(),
    proposedAt: z.string(),
    reviews: z.array(signatureSchema),
    signOff: signatureSchema.optional(),
    /** Identifies the write that stored this document, to resolve a write whose reply was lost. */
    nonce: z.string(),
});
export type BundleDocument = z.infer<typeof bundleDocumentSchema>;

/** The regions in which a signed-off version is active. */
export const rolloutSchema = z.strictObject({
    version: z.number().int().min(1),
    regions: z.array(signatureSchema.extend({ region: z.string(), at: z.string() })),
    nonce: z.string(),
});
export type Rollout = z.infer<typeof rolloutSchema>;

export type SignaturePurpose = "review" | "sign-off" | `rollout:${string}`;

/** Base64-encoded public keys by operator. */
export type OperatorKeys = Readonly<Record<string, string>>;

/** A key pair in DER format, base64-encoded. */
export interface KeyPair {
    readonly publicKey: string;
    readonly privateKey: string;
}

/** Creates an Ed25519 key pair for an operator. */
export const createKeyPair = (): KeyPair => {
    const { publicKey, privateKey } = generateKeyPairSync("ed25519");
    return {
        publicKey: publicKey.export({ format: "der", type: "spki" }).toString("base64"),
        privateKey: privateKey.export({ format: "der", type: "pkcs8" }).toString("base64"),
    };
};

/** Derives the public key from a private key. */
export const publicKeyOf = (privateKey: string): string =>
    createPublicKey(parsePrivateKey(privateKey)).export({ format: "der", type: "spki" }).toString("base64");

const parsePrivateKey = (privateKey: string) =>
    createPrivateKey({ key: Buffer.from(privateKey, "base64"), format: "der", type: "pkcs8" });

const signedPayload = (
    doc: Pick<BundleDocument, "version" | "parent" | "text" | "proposer">,
    purpose: SignaturePurpose,
): Buffer => Buffer.from(JSON.stringify([purpose, doc.version, doc.parent, digest(doc.text), doc.proposer]));

/**
 * Signs a version for one purpose.
 *
 * @example
 * const signature = signBundle(doc, "sign-off", privateKey);
 */
export const signBundle = (doc: BundleDocument, purpose: SignaturePurpose, privateKey: string): string =>
    sign(null, signedPayload(doc, purpose), parsePrivateKey(privateKey)).toString("base64");

/** Verifies a signature; returns false if the operator is unknown, or the key or signature is malformed. */
export const verifyBundle = (
    doc: BundleDocument,
    purpose: SignaturePurpose,
    by: { readonly operator: string; readonly signature: string; },
    keys: OperatorKeys,
): boolean => {
    const key = keys[by.operator];
    if (key === undefined) {
        return false;
    }
    try {
        const publicKey = createPublicKey({ key: Buffer.from(key, "base64"), format: "der", type: "spki" });
        return verify(null, signedPayload(doc, purpose), publicKey, Buffer.from(by.signature, "base64"));
    }
    catch {
        return false;
    }
};

/** Reason why a version must not be activated in a region, or `undefined` if it may be. */
export const rejectionReason = (
    doc: BundleDocument,
    rollout: Rollout,
    region: string,
    keys: OperatorKeys,
): string | undefined => {
    if (rollout.version !== doc.version) {
        return `rollout is for version ${rollout.version}, but the document has version ${doc.version}`;
    }
    if (doc.signOff === undefined || !verifyBundle(doc, "sign-off", doc.signOff, keys)) {
        return "sign-off is missing or its signature is invalid";
    }
    if (doc.signOff.operator === doc.proposer) {
        return "sign-off is by the proposer; another operator must sign off";
    }
    const entry = rollout.regions.find(candidate => candidate.region === region);
    if (entry === undefined) {
        return `not rolled out to region ${region}`;
    }
    return verifyBundle(doc, `rollout:${region}`, entry, keys) ? undefined : "rollout signature is invalid";
};

/** A version of the bundle with its rollout. */
export const bundleReleaseSchema = z.strictObject({ document: bundleDocumentSchema, rollout: rolloutSchema });
export type BundleRelease = z.infer<typeof bundleReleaseSchema>;

/** Whether a received version replaces the active one. */
export type BundleDecision = { readonly kind: "take"; } | { readonly kind: "keep"; readonly reason: string; };

/** Decides whether to activate a version from the store, a peer or the data directory: it must be newer and signed. */
export const evaluateBundle = (
    current: number,
    offered: BundleRelease,
    region: string,
    keys: OperatorKeys,
): BundleDecision => {
    if (offered.document.version <= current) {
        return { kind: "keep", reason: `version ${current} is already active` };
    }
    const reason = rejectionReason(offered.document, offered.rollout, region, keys);
    return reason === undefined ? { kind: "take" } : { kind: "keep", reason };
};
