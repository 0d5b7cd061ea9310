/** A version of the bundle with its reviews and signatures. */
import { createPrivateKey, createPublicKey, generateKeyPairSync, sign, verify } from "node:crypto";
import { z } from "zod";

import { digest } from "./digest.js";

const signatureSchema = z.strictObject({ operator: z.string(), signature: z.string() });

/** One version of the chain. */
export const bundleDocumentSchema = z.strictObject({
    version: z.number().int().min(1),
    /** Digest of the former version's text; empty for the first. */
    parent: z.string(),
    /** The bundle in INI. */
    text: z.string(),
    proposer: z.string(),
    proposedAt: z.string(),
    reviews: z.array(signatureSchema),
    signOff: signatureSchema.optional(),
    /** Identifies the write that stored this document, so that a lost reply can be settled. */
    nonce: z.string(),
});
export type BundleDocument = z.infer<typeof bundleDocumentSchema>;

/** Where the newest signed-off version is in force. */
export const rolloutSchema = z.strictObject({
    version: z.number().int().min(1),
    regions: z.array(signatureSchema.extend({ region: z.string(), at: z.string() })),
    nonce: z.string(),
});
export type Rollout = z.infer<typeof rolloutSchema>;

export type SignaturePurpose = "review" | "sign-off" | `rollout:${string}`;

/** Public keys by operator. */
export type OperatorKeys = Readonly<Record<string, string>>;

/** A key pair in base64 of its DER form. */
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

/** Public key that belongs to a private key. */
export const publicKeyOf = (privateKey: string): string =>
    createPublicKey(parsePrivateKey(privateKey)).export({ format: "der", type: "spki" }).toString("base64");

const parsePrivateKey = (privateKey: string) =>
    createPrivateKey({ key: Buffer.from(privateKey, "base64"), format: "der", type: "pkcs8" });

const payload = (
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
    sign(null, payload(doc, purpose), parsePrivateKey(privateKey)).toString("base64");

/** Checks a signature; false if the operator is unknown or any part is malformed. */
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
        return verify(null, payload(doc, purpose), publicKey, Buffer.from(by.signature, "base64"));
    }
    catch {
        return false;
    }
};

/** Why a version may not be in force in a region, or undefined if it may. */
export const refusalOf = (
    doc: BundleDocument,
    rollout: Rollout,
    region: string,
    keys: OperatorKeys,
): string | undefined => {
    if (rollout.version !== doc.version) {
        return `the rollout is of version ${rollout.version}, the document of version ${doc.version}`;
    }
    if (doc.signOff === undefined || !verifyBundle(doc, "sign-off", doc.signOff, keys)) {
        return "the sign-off is missing or its signature is wrong";
    }
    if (doc.signOff.operator === doc.proposer) {
        return "the proposer signed it off alone";
    }
    const entry = rollout.regions.find(candidate => candidate.region === region);
    if (entry === undefined) {
        return `it is not rolled out to region ${region}`;
    }
    return verifyBundle(doc, `rollout:${region}`, entry, keys) ? undefined : "the signature of the rollout is wrong";
};

/** A version with the rollout that puts it in force. */
export const carriedBundleSchema = z.strictObject({ document: bundleDocumentSchema, rollout: rolloutSchema });
export type CarriedBundle = z.infer<typeof carriedBundleSchema>;

/** Whether a version that was offered is put in force. */
export type BundleDecision = { readonly kind: "take"; } | { readonly kind: "keep"; readonly reason: string; };

/** Decides on a version that came from the store, a peer or the data folder: only newer and signed ones are taken. */
export const nextBundle = (
    current: number,
    offered: CarriedBundle,
    region: string,
    keys: OperatorKeys,
): BundleDecision => {
    if (offered.document.version <= current) {
        return { kind: "keep", reason: `version ${current} is in force` };
    }
    const reason = refusalOf(offered.document, offered.rollout, region, keys);
    return reason === undefined ? { kind: "take" } : { kind: "keep", reason };
};
