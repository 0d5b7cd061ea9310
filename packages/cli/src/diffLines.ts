/** Differences between two INI texts, by section and key. */
import { parse } from "ini";

/** Lists what was added, removed and changed, as `section.key: old -> new`. */
export const diffLines = (before: string, after: string): string[] => {
    const old = flatten(parse(before));
    const now = flatten(parse(after));
    const keys = [...new Set([...old.keys(), ...now.keys()])].sort();
    return keys.filter(key => old.get(key) !== now.get(key))
        .map(key => `${key}: ${old.get(key) ?? "(none)"} -> ${now.get(key) ?? "(none)"}`);
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
