/** Broken variants of the program, each of which a soak must catch. */
import { build } from "esbuild";
import { readdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";

/** A fault that is put into the sources before the program is built. */
export interface Variant {
    readonly name: string;
    /** Seed of a soak that catches it. */
    readonly seed: number;
    /** Whether the fault shows only where processes are started beside others. */
    readonly overlapsStarts?: boolean;
    /** Whether the fault shows only where workers of several software versions serve. */
    readonly mixesVersions?: boolean;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
}

const gateway = "packages/gateway/src";

export const variants: readonly Variant[] = [
    {
        name: "a call that must not be repeated is sent again after it may have run",
        seed: 101,
        file: `${gateway}/filters/tries.ts`,
        find: "const mayRepeat = ctx.route.idempotent && ",
        replace: "const mayRepeat = ",
    },
    {
        name: "the caller is told that a call has not run when its answer was lost",
        seed: 102,
        file: `${gateway}/filters/tries.ts`,
        find: "return this.mayHaveRun && ",
        replace:
            "return this.mayHaveRun ? new ProblemError(\"no_upstream\", \"notRun\", String(err)) : this.mayHaveRun && ",
    },
    {
        name: "a worker's promise that a call has not run is believed without its statement",
        seed: 103,
        file: `${gateway}/upstreams/classifyReply.ts`,
        find: "if (head.promisesNotRun || ",
        replace: "if (",
    },
    {
        name: "a stream whose connection is reset ends as if it were whole",
        seed: 104,
        file: `${gateway}/upstreams/upstreamConnections.ts`,
        find: "end === \"failed\" || ",
        replace: "",
    },
    {
        name: "a stream that ends inside an event counts as whole",
        seed: 105,
        file: `${gateway}/upstreams/attempt.ts`,
        find: "this.result !== undefined || this.attempt.sink.isWhole(endedWithConnection) ?",
        replace: "this.result !== undefined || this.attempt !== undefined ?",
    },
    {
        name: "an answer to another call is passed on",
        seed: 106,
        file: `${gateway}/upstreams/classifyReply.ts`,
        find: "!(head.signed && head.callId === callId)",
        replace: "!head.signed",
    },
    {
        name: "a turn's record leaves out the turns before it",
        seed: 107,
        file: `${gateway}/turns/turnRecord.ts`,
        find: "compact(ChunkedBytes.of(earlier, input, output))",
        replace: "compact(ChunkedBytes.of(input, output))",
    },
    {
        name: "tokens that turns use are not taken from the budget",
        seed: 108,
        file: `${gateway}/budgets/budgetAccount.ts`,
        find: "this.usedTokens += tokens;",
        replace: "this.usedTokens += 0 * tokens;",
    },
    {
        name: "a turn is acknowledged by a machine that does not keep it",
        seed: 109,
        file: `${gateway}/journal/turnJournal.ts`,
        find: "this.addUnflushed(turn, await this.disk.append(packr.pack(entry)));",
        replace: "await this.disk.append(packr.pack(entry));",
    },
    {
        name: "a reply without length and chunks is passed on with a length",
        seed: 110,
        file: `${gateway}/filters/responseSinks.ts`,
        find: "if (hasBody(status) && endsWithConnection) {",
        replace: "if (hasBody(status) && this.head === undefined) {",
    },
    {
        name: "an instance closes its connections before its calls have ended",
        seed: 111,
        file: "platform/src/frontRole.ts",
        find: "await gateway.drain();",
        replace: "await Promise.race([gateway.drain(), new Promise(resolve => setTimeout(resolve, 2_000))]);",
    },
    {
        name: "a stream ends when its instance stops",
        seed: 112,
        file: `${gateway}/drainController.ts`,
        find: "entry.stopAccepting();",
        replace: "entry.stopAccepting(); entry.abortCalls();",
    },
    {
        name: "a call that a stopping instance doesn't take is closed instead of refused",
        seed: 113,
        file: `${gateway}/entry/entryServer.ts`,
        find: "        sendProblem(res, err);",
        replace:
            "if (err.code === \"draining\") { setTimeout(() => res.destroy(), 500); return; } sendProblem(res, err);",
    },
    {
        name: "a call whose upstream breaks off is closed instead of answered",
        seed: 114,
        file: `${gateway}/entry/entryServer.ts`,
        find: "        sendProblem(res, err);",
        replace: "if (err.verdict === \"mayHaveRun\") { res.destroy(); return; } sendProblem(res, err);",
    },
    {
        name: "a turn is acknowledged with a copy on one disk only",
        seed: 115,
        file: `${gateway}/journal/journalArchive.ts`,
        find: "const copyCount = this.placement.toleratedLosses + 1;",
        replace: "const copyCount = 1;",
    },
    {
        name: "a machine with a disk does not read the turns on it",
        seed: 116,
        file: `${gateway}/journal/turnJournal.ts`,
        find: "this.addUnflushed({ ...entry.turn, record: Buffer.from(entry.turn.record) }, place);",
        replace: "this.addUnflushedIn(segment, 0);",
    },
    {
        name: "the API key is forwarded to the upstream",
        seed: 117,
        file: "platform/src/callHeaders.ts",
        find: "const callerHeaders = [\"api-key\", \"tenant\"];",
        replace: "const callerHeaders = [\"tenant\"];",
    },
    {
        name: "the caller's own name of a workspace wins",
        seed: 118,
        file: "platform/src/callHeaders.ts",
        find: "if (caller?.workspace !== undefined) {",
        replace: "if (caller?.workspace !== undefined && !rawHeaders.includes(\"Tenant\")) {",
    },
    {
        name: "turns are not kept apart by workspace",
        seed: 119,
        file: `${gateway}/workspaces.ts`,
        find: "workspace === undefined ? name :",
        replace: "workspace !== null ? name :",
    },
    {
        name: "removed keys stay valid",
        seed: 120,
        file: `${gateway}/workspaces.ts`,
        find: "this.byKeyDigest.get(keyDigest(key));",
        replace:
            "this.byKeyDigest.get(keyDigest(key)) ?? ((globalThis as any).held ??= new Map()).get(keyDigest(key));",
    },
    {
        name: "a process whose port is taken ends",
        seed: 121,
        overlapsStarts: true,
        file: "packages/common/src/listen.ts",
        find: "if (!passingCodes.has(err.code)) {",
        replace: "if (err.code !== undefined) {",
    },
    {
        name: "the error of a port that is taken has no listener",
        seed: 122,
        overlapsStarts: true,
        file: "packages/common/src/listen.ts",
        find: "server.once(\"error\", onError);",
        replace: "",
    },
    {
        name: "a process goes on without a port that is taken at its start",
        seed: 123,
        overlapsStarts: true,
        file: "packages/common/src/listen.ts",
        find: "if (!passingCodes.has(err.code)) {",
        replace: "if (passingCodes.has(err.code)) { return ports[0]!; } else {",
    },
    {
        name: "a stream that is taken up goes on at any build",
        seed: 124,
        mixesVersions: true,
        file: `${gateway}/filters/buildFilter.ts`,
        find: "accepts: entry => entry.build === build",
        replace: "accepts: () => true",
    },
    {
        name: "only the instance that began a stream knows its build",
        seed: 125,
        mixesVersions: true,
        file: `${gateway}/builds/recordSender.ts`,
        find: "messages.forEach((groups, machine) => this.sendTo(machine, groups));",
        replace: "",
    },
];

/** Faults that belong together, as one check hides the lack of another. */
const alsoReplaced: Readonly<Record<string, readonly [string, string]>> = {
    "an answer to another call is passed on": [
        "if (head.callId !== undefined && head.callId !== callId) {",
        "if (head.callId === callId && head.callId !== callId) {",
    ],
    "the caller's own name of a workspace wins": [
        "const callerHeaders = [\"api-key\", \"tenant\"];",
        "const callerHeaders = [\"api-key\"];",
    ],
    "removed keys stay valid": [
        "this.byKeyDigest.set(keyDigest, workspace)",
        "this.byKeyDigest.set(keyDigest, workspace) && ((globalThis as any).held ??= new Map()).set(keyDigest, workspace)",
    ],
};

/** Builds a variant of the program into a file. */
export const buildVariant = async (variant: Variant, outfile: string): Promise<void> => {
    const path = resolve(variant.file);
    const alias = Object.fromEntries(
        readdirSync("packages").map(name => [`@marigolddrift/${name}`, resolve("packages", name, "src/index.ts")]),
    );
    await build({
        entryPoints: ["platform/src/main.ts"],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        alias,
        tsconfig: "tsconfig.base.json",
        plugins: [{
            name: "variant",
            setup: bundler =>
                bundler.onLoad({ filter: /\.ts$/ }, args => args.path === path ? load(path, variant) : null),
        }],
    });
};

const load = (path: string, { name, find, replace }: Variant) => {
    let contents = readFileSync(path, "utf8");
    for (const [from, to] of [[find, replace], alsoReplaced[name] ?? ["", ""]] as const) {
        if (!contents.includes(from)) {
            throw new Error(`variant "${name}": ${path} no longer contains ${JSON.stringify(from)}`);
        }
        contents = from === "" ? contents : contents.replace(from, to);
    }
    return { contents, loader: "ts" as const };
};
