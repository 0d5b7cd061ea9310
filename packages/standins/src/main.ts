#!/usr/bin/env node
/** Command-line entry point of the development stand-ins. */
import { asError, createLogger } from "@marigolddrift/common";
import { cac } from "cac";

import { readStandinSettings } from "./settings.js";
import { Standins } from "./standins.js";

const run = async (file: string): Promise<void> => {
    const standins = new Standins(readStandinSettings(file));
    await standins.start();
    const log = createLogger("pretty", "info");
    log.info("stand-ins are ready", { ports: Object.fromEntries(standins.ports) });
    const stop = (): void => void standins.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
};

const cli = cac("marigolddrift-standins");
cli.command("", "Run the stand-ins of the platform, engines and services (development only)")
    .option("--config <file>", "Settings file in INI format")
    .action(async (options: { config?: string; }) => {
        try {
            if (options.config === undefined) {
                throw new Error(
                    "--config is required. Pass the stand-ins' settings, for example samples/barbe-douce/standins.ini.",
                );
            }
            await run(options.config);
        }
        catch (err) {
            process.stderr.write(`${asError(err).message}\n`);
            process.exit(2);
        }
    });
cli.help();
cli.parse();
