/** Compares INI texts by section and key. */
import { parse } from "ini";

/** Lists the keys that were added, removed or changed, each as `section.key: old -> new`. */
export const diffIni = (before: string, after: string): string[] => {
    const oldValues = flatten(parse(before));
    const newValues = flatten(parse(after));
    const keys = [...new Set([...oldValues.keys(), ...newValues.keys()])].sort();
    return keys.filter(key => oldValues.get(key) !== newValues.get(key))
        .map(key => `${key}: ${oldValues.get(key) ?? "(none)"} -> ${newValues.get(key) ?? "(none)"}`);
};

const flatten = (value: object, prefix = ""): Map<string, string> => {
    const flat = new Map<string, string>();
    for (const [key, entry] of Object.entries(value)) {
        const path = prefix === "" ? key : `${prefix}.${key}`;
        if (typeof entry === "object" && entry !== null) {
            flatten(entry as object, path).forEach((text, name) => flat.set(name, text));
        }
        else {
            flat.set(path, String(entry));
        }
    }
    return flat;
};
