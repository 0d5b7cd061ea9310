/** Keys of the store that contain names from outside. */
import { createHash } from "node:crypto";

/** Length of an encoded name from which its digest takes its place: the store accepts keys of 200 bytes. */
const maxNameLength = 150;

/**
 * Returns a key that the store accepts, whatever the length and the characters of the name.
 *
 * @example
 * storeKey("marigolddrift/turns/", "9c41d07be2a35f68") === "marigolddrift/turns/9c41d07be2a35f68";
 */
export const storeKey = (prefix: string, name: string): string => {
    const encoded = encodeURIComponent(name);
    const fits = encoded.length <= maxNameLength;
    return `${prefix}${fits ? encoded : `sha256-${createHash("sha256").update(name).digest("hex")}`}`;
};
