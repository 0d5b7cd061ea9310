/** INI files validated by a schema; error messages contain the location and the remedy. */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import VError from "verror";
import { z } from "zod";

/** Missing or invalid settings; the message lists the file, section, key and remedy of each. */
export class SettingsError extends VError {
    constructor(file: string, problems: readonly string[]) {
        super({ name: "SettingsError" }, "%s", [`${file} is not valid:`, ...problems].join("\n  - "));
    }
}

/**
 * Parses and validates INI text.
 *
 * @example
 * const cfg = parseIni(settingsSchema, text, "tunis-a-1.ini");
 * @throws SettingsError with the section and key of each problem.
 */
export const parseIni = <T extends z.ZodType>(schema: T, text: string, file: string): z.infer<T> => {
    const raw = toPlainObjects(parse(text));
    const result = schema.safeParse(raw);
    if (!result.success) {
        throw new SettingsError(file, result.error.issues.map(describe));
    }
    return result.data;
};

/** Reads and validates an INI file. */
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

/** Copies parsed sections into ordinary objects, since `ini` creates them without a prototype. */
const toPlainObjects = (value: unknown): unknown => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, toPlainObjects(entry)]));
};

/** Schema of a number in an INI file. */
export const iniNumber = (min: number, max = Number.MAX_SAFE_INTEGER) => z.coerce.number().min(min).max(max);

/** Schema of a boolean in an INI file. */
export const iniFlag = z.union([z.boolean(), z.stringbool()]);

/** Schema of a comma-separated list in an INI file. */
export const iniList = z.union([z.array(z.string()), z.string()]).transform(value =>
    (Array.isArray(value) ? value : value.split(",")).map(item => item.trim()).filter(item => item !== "")
);
