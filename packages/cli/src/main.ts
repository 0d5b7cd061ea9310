#!/usr/bin/env node
/** Command-line interface for operators. */
import { asError, createKeyPair, publicKeyOf } from "@marigolddrift/common";
import { BundleConflictError } from "@marigolddrift/store";
import { cac } from "cac";
import { readFileSync, writeFileSync } from "node:fs";

import { AdminClient } from "./adminClient.js";
import { BundleCommands, UsageError } from "./bundleCommands.js";
import type { BundleOptions } from "./bundleCommands.js";
import { runLoad } from "./loadCommand.js";
import { printResult } from "./output.js";
import { traceRequest } from "./traceCommand.js";
import { askWhere, describeWhere } from "./whereCommand.js";
import type { WhereQuery } from "./whereCommand.js";

const exitCodes = { ok: 0, failed: 1, usage: 2, conflict: 3 } as const;
const privateFileMode = 0o600;

/** Options that all commands share. */
interface CommonOptions {
    readonly json?: boolean;
    readonly admin?: string;
    readonly adminKey?: string;
}

const createAdminClient = (options: CommonOptions): AdminClient => {
    const address = options.admin ?? process.env["MARIGOLDDRIFT_ADMIN"];
    const key = options.adminKey ?? process.env["MARIGOLDDRIFT_ADMIN_KEY"];
    if (address === undefined || key === undefined) {
        throw new UsageError("--admin and --admin-key are required. Pass host:port and key of a daemon's admin port.");
    }
    return new AdminClient({ address, key });
};

/** Runs a command, prints its result and sets the exit code. */
const run = async (options: CommonOptions, action: () => unknown): Promise<void> => {
    try {
        printResult(await action(), options.json === true);
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
    const requireFile = (): string => {
        if (file === undefined) {
            throw new UsageError(`"bundle ${action}" requires a file: marigolddrift bundle ${action} FILE`);
        }
        return file;
    };
    const actions: Record<string, () => unknown> = {
        "init": () => commands.init(),
        "validate": () => commands.validate(requireFile()),
        "diff": () => commands.diff(requireFile()),
        "propose": () => commands.propose(requireFile()),
        "review": () => commands.review(),
        "sign-off": () => commands.signOff(),
        "rollout": () => commands.rollout(),
        "status": () => commands.status(),
        "history": () => commands.history(),
        "roll-forward": () => commands.rollForward(),
    };
    const command = actions[action];
    if (command === undefined) {
        throw new UsageError(
            `Unknown command "bundle ${action}"; the bundle commands are ${Object.keys(actions).join(", ")}.`,
        );
    }
    return command();
};

const runKey = (action: string, options: { readonly out?: string; }): unknown => {
    if (action === "generate") {
        const pair = createKeyPair();
        if (options.out === undefined) {
            throw new UsageError("--out is required. Pass the file to write the private key to.");
        }
        writeFileSync(options.out, `${pair.privateKey}\n`, { mode: privateFileMode, flag: "wx" });
        return { privateKeyFile: options.out, publicKey: pair.publicKey };
    }
    if (action === "show" && options.out !== undefined) {
        return { publicKey: publicKeyOf(readFileSync(options.out, "utf8").trim()) };
    }
    throw new UsageError("Use \"key generate --out FILE\" or \"key show --out FILE\".");
};

const cli = cac("marigolddrift");

cli.command(
    "bundle <action> [file]",
    "init | validate | diff | propose | review | sign-off | rollout | status | history | roll-forward",
)
    .option("--store <address>", "host:port of the key-value service's JSON gateway")
    .option("--operator <name>", "Name of the operator who signs")
    .option("--key-file <file>", "File with the operator's private key")
    .option("--version <number>", "Version (the newest by default)")
    .option("--region <name>", "Region of the rollout (by default all, one after the other)")
    .option("--wait <seconds>", "Maximum wait for a region at the health gate, in seconds", { default: 30 })
    .action((action: string, file: string | undefined, options: BundleOptions & CommonOptions) =>
        run(options, () => runBundle(action, file, options))
    );

cli.command("key <action>", "generate | show")
    .option("--out <file>", "Private key file")
    .action((action: string, options: CommonOptions & { out?: string; }) =>
        run(options, () => runKey(action, options))
    );

const adminViews = {
    status: "Show the status of an instance and its peers",
    programs: "Show the programs of an instance",
    slots: "Show the slots of an instance",
    upstreams: "Show the upstreams that an instance knows",
    pools: "Show the desired and actual state of the workers that an instance controls through orders",
};
for (const [view, description] of Object.entries(adminViews)) {
    cli.command(view, description).action((options: CommonOptions) =>
        run(options, () => createAdminClient(options).get(view))
    );
}

cli.command("explain <program>", "Show the placement decision of each call of a program")
    .action((program: string, options: CommonOptions) =>
        run(options, () => createAdminClient(options).get(`explain?program=${encodeURIComponent(program)}`))
    );

cli.command("trace <request>", "Search log files for a request, its program and recent state changes of its instance")
    .option("--log <files>", "Log files, separated by commas")
    .action((request: string, options: CommonOptions & { log?: string; }) =>
        run(options, () => {
            if (options.log === undefined) {
                throw new UsageError("--log is required.");
            }
            return traceRequest(options.log.split(","), request);
        })
    );
cli.command("where <url>", "Show where a front would send a call to HOST/PATH now, and why, without sending it")
    .option("--front <address>", "host:port of the front's metrics port, or MARIGOLDDRIFT_FRONT")
    .option("--workspace <name>", "Name of the caller's workspace (not its key)")
    .option("--program <id>", "Program that the call belongs to")
    .option("--previous-turn <id>", "Turn that the call continues")
    .option("--model <name>", "Model")
    .option("--prompt-tokens <number>", "Tokens of the prompt (by default, those of its parts)")
    .option("--output-tokens <number>", "Tokens that may be generated")
    .option("--parts <parts>", "Parts of the prompt with their tokens: ID:TOKENS,ID:TOKENS")
    .option("--affinity-key <key>", "Object that the call is about")
    .option("--limit-ms <number>", "Time limit of the caller")
    .option("--service <name>", "Service of the route (by default, the one with the largest weight)")
    .action((url: string, options: CommonOptions & Omit<WhereQuery, "url"> & { front?: string; }) =>
        run(options, async () => {
            const front = options.front ?? process.env["MARIGOLDDRIFT_FRONT"];
            if (front === undefined) {
                throw new UsageError("--front is required. Pass host:port of a front's metrics port.");
            }
            const { workspace, program, previousTurn, model, promptTokens, outputTokens } = options;
            const { parts, affinityKey, limitMs, service } = options;
            const call = { url, workspace, service, program, previousTurn, model, promptTokens, outputTokens };
            const answer = await askWhere(front, { ...call, parts, affinityKey, limitMs });
            return options.json === true ? answer : describeWhere(answer);
        })
    );

cli.command("drain [upstream]", "Drain an instance, or drain an upstream so that it does not get new work")
    .option("--undo", "Let the upstream get new work again")
    .action((upstream: string | undefined, options: CommonOptions & { undo?: boolean; }) =>
        run(options, () =>
            upstream === undefined ?
                createAdminClient(options).post("drain", {}) :
                createAdminClient(options).post("upstreams/drain", {
                    address: upstream,
                    leaving: options.undo !== true,
                }))
    );

cli.command("cancel <program>", "End a program")
    .action((program: string, options: CommonOptions) =>
        run(options, () => createAdminClient(options).post("programs/cancel", { program }))
    );

cli.command("load", "Run a workload file against daemons")
    .option("--workload <file>", "Workload file in JSON")
    .option("--url <urls>", "URLs of daemons, separated by commas")
    .option("--key <key>", "API key of the workspace")
    .option("--seed <number>", "Random seed of the programs", { default: 1 })
    .option("--rate <number>", "Programs per second (by default, from the workload file)")
    .option("--time-scale <factor>", "Factor on pauses and start times", { default: 1 })
    .action((options: CommonOptions & Record<string, string | number | undefined>) =>
        run(options, () => {
            const { workload, url, key, seed, rate, timeScale } = options;
            if (workload === undefined || url === undefined || key === undefined) {
                throw new UsageError("--workload, --url and --key are required.");
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
            throw new UsageError(`Unknown command "${cli.args.join(" ")}".`);
        }
    }
}
catch (err) {
    process.stderr.write(`${asError(err).message}\n`);
    process.exitCode = exitCodes.usage;
}
