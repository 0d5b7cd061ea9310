#!/usr/bin/env node
/** Command that runs a daemon. */
import { asError } from "@marigolddrift/common";
import { cac } from "cac";

import { Daemon } from "./daemon.js";
import { readSettings } from "./settings.js";

const startupFailureExitCode = 2;

const run = async (file: string): Promise<void> => {
    const daemon = new Daemon(readSettings(file));
    await daemon.start();
    const stop = async (): Promise<void> => {
        await daemon.drain.run();
        await daemon.stop();
        process.exit(0);
    };
    process.on("SIGHUP", () => {
        try {
            daemon.reloadKeys(readSettings(file));
        }
        catch (err) {
            daemon.log.error("failed to reload keys", { error: asError(err).message });
        }
    });
    process.once("SIGTERM", () => void stop());
    process.once("SIGINT", () => void stop());
};

const cli = cac("marigolddriftd");
cli.command("", "Run a daemon")
    .option("--config <file>", "Settings in INI")
    .action(async (options: { config?: string; }) => {
        try {
            if (options.config === undefined) {
                throw new Error(
                    "--config is missing. Pass the daemon's settings, for example samples/barbe-douce/tunis-a-1.ini.",
                );
            }
            await run(options.config);
        }
        catch (err) {
            process.stderr.write(`${asError(err).message}\n`);
            process.exit(startupFailureExitCode);
        }
    });
cli.help();
cli.parse();
