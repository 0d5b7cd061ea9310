/** Output formatting of the command line. */

/** Prints a result as JSON, or as a human-readable table or list of fields. */
export const printResult = (result: unknown, json: boolean): void => {
    if (json) {
        process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
    }
    else if (Array.isArray(result)) {
        printTable(result as Record<string, unknown>[]);
    }
    else if (typeof result === "object" && result !== null) {
        printFields(result as Record<string, unknown>);
    }
    else {
        process.stdout.write(`${String(result)}\n`);
    }
};

const printTable = (rows: readonly Record<string, unknown>[]): void => {
    if (rows.length === 0) {
        process.stdout.write("none\n");
        return;
    }
    console.table(
        rows.map(row => Object.fromEntries(Object.entries(row).map(([key, value]) => [key, formatCell(value)]))),
    );
};

const printFields = (fields: Readonly<Record<string, unknown>>): void => {
    for (const [key, value] of Object.entries(fields)) {
        if (Array.isArray(value) && typeof value[0] === "object") {
            process.stdout.write(`${key}:\n`);
            printTable(value as Record<string, unknown>[]);
        }
        else {
            process.stdout.write(`${key}: ${String(formatCell(value))}\n`);
        }
    }
};

const formatCell = (value: unknown): unknown =>
    typeof value === "object" && value !== null ? JSON.stringify(value) : value;
