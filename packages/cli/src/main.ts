#!/usr/bin/env node
/** Command line for operators. */
import { asError, createKeyPair, publicKeyOf } from "@marigolddrift/common";
import { BundleConflictError } from "@marigolddrift/store";
import { cac } from "cac";
import { readFileSync, writeFileSync } from "node:fs";

import { AdminClient } from "./adminClient.js";
import { BundleCommands, UsageError } from "./bundleCommands.js";
import type { BundleOptions } from "./bundleCommands.js";
import { runLoad } from "./loadCommand.js";
import { print } from "./output.js";
import { traceRequest } from "./traceCommand.js";

const exitCodes = { ok: 0, failed: 1, usage: 2, conflict: 3 } as const;
const privateFileMode = 0o600;

/** Options that every command has. */
interface CommonOptions {
    readonly json?: boolean;
    readonly admin?: string;
    readonly adminKey?: string;
}

const adminOf = (options: CommonOptions): AdminClient => {
    const address = options.admin ?? process.env["MARIGOLDDRIFT_ADMIN"];
    const key = options.adminKey ?? process.env["MARIGOLDDRIFT_ADMIN_KEY"];
    if (address === undefined || key === undefined) {
        throw new UsageError("--admin and --admin-key are missing. Pass host:port and key of a daemon's admin port.");
    }
    return new AdminClient({ address, key });
};

/** Runs a command and exits with its code. */
const run = async (options: CommonOptions, action: () => unknown): Promise<void> => {
    try {
        print(await action(), options.json === true);
        process.exitCode = exitCodes.ok;
    }
    catch (err) {
        process.stderr.write(`${asError(err).message}\n`);
        process.exitCode = exitCodeOf(err);
    }
};

const exitCodeOf = (err: unknown): number => {
    if (err instanceof UsageError) {
        return exitCodes.usage;
    }
    return err instanceof BundleConflictError ? exitCodes.conflict : exitCodes.failed;
};

const runBundle = (action: string, file: string | undefined, options: BundleOptions): unknown => {
    const commands = new BundleCommands({
        ...options,
        store: options.store ?? process.env["MARIGOLDDRIFT_STORE"] ?? "",
    });
    const needFile = (): string => {
        if (file === undefined) {
            throw new UsageError(`"bundle ${action}" needs a file: marigolddrift bundle ${action} FILE`);
        }
        return file;
    };
    const actions: Record<string, () => unknown> = {
        "init": () => commands.init(),
        "validate": () => commands.validate(needFile()),
        "diff": () => commands.diff(needFile()),
        "propose": () => commands.propose(needFile()),
        "review": () => commands.review(),
        "sign-off": () => commands.signOff(),
        "rollout": () => commands.rollout(),
        "status": () => commands.status(),
        "history": () => commands.history(),
        "roll-forward": () => commands.rollForward(),
    };
    const chosen = actions[action];
    if (chosen === undefined) {
        throw new UsageError(`"bundle ${action}" does not exist; there are ${Object.keys(actions).join(", ")}.`);
    }
    return chosen();
};

const runKey = (action: string, options: { readonly out?: string; }): unknown => {
    if (action === "generate") {
        const pair = createKeyPair();
        if (options.out === undefined) {
            throw new UsageError("--out is missing. Name the file that gets the private key.");
        }
        writeFileSync(options.out, `${pair.privateKey}\n`, { mode: privateFileMode, flag: "wx" });
        return { privateKeyFile: options.out, publicKey: pair.publicKey };
    }
    if (action === "show" && options.out !== undefined) {
        return { publicKey: publicKeyOf(readFileSync(options.out, "utf8").trim()) };
    }
    throw new UsageError("There are \"key generate --out FILE\" and \"key show --out FILE\".");
};

const cli = cac("marigolddrift");

cli.command(
    "bundle <action> [file]",
    "init | validate | diff | propose | review | sign-off | rollout | status | history | roll-forward",
)
    .option("--store <address>", "host:port of the key-value service's JSON gateway")
    .option("--operator <name>", "Operator who signs")
    .option("--key-file <file>", "File with the operator's private key")
    .option("--version <number>", "Version; the newest one by default")
    .option("--region <name>", "Region of a rollout; all, one after the other, by default")
    .option("--wait <seconds>", "Longest wait for a region at the health gate", { default: 30 })
    .action((action: string, file: string | undefined, options: BundleOptions & CommonOptions) =>
        run(options, () => runBundle(action, file, options))
    );

cli.command("key <action>", "generate | show")
    .option("--out <file>", "File of the private key")
    .action((action: string, options: CommonOptions & { out?: string; }) =>
        run(options, () => runKey(action, options))
    );

const views = {
    status: "Show an instance and its peers",
    programs: "Show the programs of an instance",
    slots: "Show the slots of an instance",
    upstreams: "Show the upstreams as an instance sees them",
    pools: "Show desired and actual state of the workers that an instance orders",
};
for (const [view, description] of Object.entries(views)) {
    cli.command(view, description).action((options: CommonOptions) => run(options, () => adminOf(options).view(view)));
}

cli.command("explain <program>", "Show why each call of a program went where it went")
    .action((program: string, options: CommonOptions) =>
        run(options, () => adminOf(options).view(`explain?program=${encodeURIComponent(program)}`))
    );

cli.command("trace <request>", "Show what log files say of a request, its program and what its instance believed")
    .option("--log <files>", "Log files, separated by commas")
    .action((request: string, options: CommonOptions & { log?: string; }) =>
        run(options, () => {
            if (options.log === undefined) {
                throw new UsageError("--log is needed.");
            }
            return traceRequest(options.log.split(","), request);
        })
    );
cli.command("drain [upstream]", "Drain an instance, or let an upstream get no new work")
    .option("--undo", "Let the upstream get work again")
    .action((upstream: string | undefined, options: CommonOptions & { undo?: boolean; }) =>
        run(options, () =>
            upstream === undefined ?
                adminOf(options).order("drain", {}) :
                adminOf(options).order("upstreams/drain", { address: upstream, leaving: options.undo !== true }))
    );

cli.command("cancel <program>", "End a program")
    .action((program: string, options: CommonOptions) =>
        run(options, () => adminOf(options).order("programs/cancel", { program }))
    );

cli.command("load", "Run a workload file against daemons")
    .option("--workload <file>", "Workload file in JSON")
    .option("--url <urls>", "URLs of daemons, separated by commas")
    .option("--key <key>", "Key of the workspace")
    .option("--seed <number>", "Seed of the programs", { default: 1 })
    .option("--rate <number>", "Programs per second; the file's by default")
    .option("--time-scale <factor>", "Factor on pauses and arrivals", { default: 1 })
    .action((options: CommonOptions & Record<string, string | number | undefined>) =>
        run(options, () => {
            const { workload, url, key, seed, rate, timeScale } = options;
            if (workload === undefined || url === undefined || key === undefined) {
                throw new UsageError("--workload, --url and --key are needed.");
            }
            return runLoad({
                workload: String(workload),
                urls: String(url).split(","),
                key: String(key),
                seed: Number(seed),
                rate: rate === undefined ? undefined : Number(rate),
                timeScale: Number(timeScale),
                showBar: options.json !== true && process.stdout.isTTY,
            });
        })
    );

cli.option("--json", "Print JSON");
cli.option("--admin <address>", "host:port of a daemon's admin port, or MARIGOLDDRIFT_ADMIN");
cli.option("--admin-key <key>", "Key of the admin port, or MARIGOLDDRIFT_ADMIN_KEY");
cli.help();

try {
    cli.parse();
    if (cli.matchedCommand === undefined && cli.options["help"] !== true) {
        cli.outputHelp();
        if (cli.args.length > 0) {
            throw new UsageError(`There is no command "${cli.args.join(" ")}".`);
        }
    }
}
catch (err) {
    process.stderr.write(`${asError(err).message}\n`);
    process.exitCode = exitCodes.usage;
}
