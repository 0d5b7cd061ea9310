/** INI files checked by a schema, with errors that name the place and the cure. */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import VError from "verror";
import { z } from "zod";

/** A setting that is missing or wrong; the message names file, section, key and cure. */
export class SettingsError extends VError {
    constructor(file: string, problems: readonly string[]) {
        super({ name: "SettingsError" }, "%s", [`${file} is not valid:`, ...problems].join("\n  - "));
    }
}

/**
 * Parses INI text and checks it.
 *
 * @example
 * const cfg = parseIni(settingsSchema, text, "tunis-a-1.ini");
 * @throws SettingsError naming each section and key that is wrong.
 */
export const parseIni = <T extends z.ZodType>(schema: T, text: string, file: string): z.infer<T> => {
    const raw = plain(parse(text));
    const result = schema.safeParse(raw);
    if (!result.success) {
        throw new SettingsError(file, result.error.issues.map(describe));
    }
    return result.data;
};

/** Reads an INI file and checks it. */
export const readIni = <T extends z.ZodType>(schema: T, file: string): z.infer<T> => {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch {
        throw new SettingsError(file, ["The file cannot be read. Pass an existing file with --config."]);
    }
    return parseIni(schema, text, file);
};

const describe = (issue: z.core.$ZodIssue): string => {
    const path = issue.path.map(String);
    const key = path.at(-1) ?? "";
    const section = path.slice(0, -1).join(".");
    if (issue.code === "unrecognized_keys") {
        return `[${path.join(".")}] has unknown key "${issue.keys.join("\", \"")}". Remove it or correct its name.`;
    }
    return `[${section}] ${key}: ${issue.message}. Set "${key}" in section [${section}] accordingly.`;
};

const plain = (value: unknown): unknown => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, plain(entry)]));
};

/** Schema of a number written in an INI file. */
export const iniNumber = (min: number, max = Number.MAX_SAFE_INTEGER) => z.coerce.number().min(min).max(max);

/** Schema of a yes/no value written in an INI file. */
export const iniFlag = z.union([z.boolean(), z.stringbool()]);

/** Schema of a comma-separated list written in an INI file. */
export const iniList = z.union([z.array(z.string()), z.string()]).transform(value =>
    (Array.isArray(value) ? value : value.split(",")).map(item => item.trim()).filter(item => item !== "")
);
