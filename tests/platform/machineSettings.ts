/** Settings of one machine, in the platform's format. */

/** What the settings of one machine say, besides what all of a test's machines share. */
export interface MachineSettings {
    readonly node: string;
    readonly ip?: string;
    readonly innerPorts?: readonly [first: number, last: number];
    /** Address of the platform's store, as `host:port`. */
    readonly store?: string;
    /** Further fields of the machine itself, one a line. */
    readonly fields?: readonly string[];
    /** Fields of the section `listen`, one a line. */
    readonly listen?: readonly string[];
    /** Fields of the section `limits`, one a line; without them, the section is missing. */
    readonly limits?: readonly string[];
    readonly graceS?: number;
}

/**
 * Returns the text of a settings file.
 *
 * @example
 * parseSettings(machineSettings({ node: "disk-1", fields: ["firstStart = true"] }));
 */
export const machineSettings = (settings: MachineSettings): string => {
    const {
        node,
        ip = "10.1.0.38",
        innerPorts = [7_380, 7_395],
        store = "10.200.1.7:8142",
        fields = [],
        listen = [],
        limits = [],
        graceS = 8,
    } = settings;
    return [
        `node = "${node}"`,
        `ip = "${ip}"`,
        "zone = \"north-a\"",
        "region = \"north\"",
        `innerPorts = [${innerPorts.join(",")}]`,
        ...fields,
        "[zones]",
        "north-a = \"north\"",
        "[listen]",
        ...listen,
        ...(limits.length === 0 ? [] : ["[limits]", ...limits]),
        "[tolerate]",
        "machines = 1",
        "[bounds]",
        `graceS = ${graceS}`,
        "contactMs = 4000",
        "drainMs = 2500",
        "configApplyMs = 2500",
        "[platform]",
        `address = "${store}"`,
        "",
    ].join("\n");
};
