/** Works on the requests of the slots that this instance owns. */
import { digest, ProblemError, Progress, runChain, toProblemError } from "@marigolddrift/common";
import type { Filter, Logger, Metrics } from "@marigolddrift/common";
import { endProgram } from "@marigolddrift/ledger";

import { AnswerLog } from "./answerLog.js";
import type { AnswerEvent, ChatRequest, OpenRequest, OwnerRequest, ServiceRequest } from "./calls.js";
import type { EngineMemory } from "./controllers/engineMemory.js";
import { ledgerName } from "./controllers/programs.js";
import type { Programs } from "./controllers/programs.js";
import type { SlotHold, Slots } from "./controllers/slots.js";
import { requestDigest } from "./filters/intentFilter.js";
import type { ChatContext, OwnerContext, ServiceContext } from "./filters/ownerContext.js";
import { createRequestLifecycle, verdictOf } from "./lifecycles/requestLifecycle.js";
import { NotOwnerError } from "./peers/peerErrors.js";
import type { CallEntry, EndReason, ProgramState } from "./programs/programState.js";

/** How long a call goes on although nobody reads its answer, so that a caller can come back; in milliseconds. */
const abandonGraceMs = 2_000;

/** What the owner works with. */
export interface OwnerParts {
    readonly slots: Slots;
    readonly programs: Programs;
    readonly memory: EngineMemory;
    readonly chatFilters: readonly Filter<ChatContext>[];
    readonly serviceFilters: readonly Filter<ServiceContext>[];
    isIdempotent(service: string): boolean;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly random: () => number;
}

/** Answers requests as the owner of their slots. */
export class Owner {
    /** Calls that are being worked on, which a graceful shutdown waits for. */
    active = 0;
    /** Service calls in progress by idempotency key, which doubled sends join. */
    private readonly serviceCalls = new Map<string, CallEntry>();

    constructor(private readonly parts: OwnerParts) {}

    /**
     * Answers a request.
     *
     * @throws NotOwnerError if another instance owns the slot.
     */
    async *answer(req: OwnerRequest, progress: Progress): AsyncGenerator<AnswerEvent> {
        if (req.kind === "open") {
            yield* single(await this.open(req));
            return;
        }
        if (req.kind === "chat") {
            yield* (await this.startChat(req, progress)).read(progress);
        }
        else if (req.kind === "service") {
            yield* (await this.startService(req, progress)).read(progress);
        }
        else {
            yield* single(await this.control(req, progress));
        }
    }

    private async open(req: OpenRequest): Promise<unknown> {
        const slot = await this.parts.slots.pickOpenSlot(this.parts.random);
        if (slot === undefined) {
            throw new NotOwnerError(-1);
        }
        const program = this.parts.programs.open(req, slot);
        return describe(program);
    }

    private async control(
        req: OwnerRequest & { kind: "inspect" | "end" | "explain"; },
        progress: Progress,
    ): Promise<unknown> {
        const claims = this.parts.programs.authorizeId(req.program, req.workspace);
        const hold = await this.parts.slots.enter(claims.slot, progress);
        try {
            const program = this.parts.programs.load(req.program, claims, hold.slot);
            if (req.kind === "end") {
                this.endAs(program, "ended");
            }
            return req.kind === "explain" ? { ...describe(program), decisions: program.decisions } : describe(program);
        }
        finally {
            hold.leave();
        }
    }

    /** Ends a program by order of an operator. */
    cancel(program: ProgramState): void {
        this.endAs(program, "cancelled");
    }

    private endAs(program: ProgramState, reason: EndReason): void {
        if (program.isEnded) {
            return;
        }
        this.parts.programs.end(program, reason);
        const slot = this.parts.slots.get(program.claims.slot);
        if (slot?.record.programs[ledgerName(program.claims)] !== undefined) {
            const { deadline } = program.claims;
            this.parts.slots.mutate(slot, record => endProgram(record, ledgerName(program.claims), deadline)).catch(
                () => {
                    this.parts.log.debug("end of a program not stored; its deadline will end it", {
                        program: program.claims.nonce,
                    });
                },
            );
        }
    }

    private async startChat(req: ChatRequest, progress: Progress): Promise<AnswerLog> {
        const claims = this.parts.programs.authorizeId(req.program, req.workspace);
        const hold = await this.parts.slots.enter(claims.slot, progress);
        try {
            const program = this.usableProgram(req.program, hold);
            const call = req.call ?? program.sequencer.assignNumber();
            const request = digest("chat", JSON.stringify([req.messages, req.extends ?? ""]));
            const joined = this.join(program.storedAnswer(call), request);
            if (joined !== undefined) {
                hold.leave();
                return joined;
            }
            this.noteReturn(program);
            const ctx = {
                ...this.context(progress, hold, program, call),
                req,
                program,
                all: [],
                fresh: [],
                answer: "",
            };
            this.run(ctx, { call, request, log: ctx.log }, this.parts.chatFilters);
            return ctx.log;
        }
        catch (err) {
            hold.leave();
            throw err;
        }
    }

    private async startService(req: ServiceRequest, progress: Progress): Promise<AnswerLog> {
        const hold = await this.parts.slots.enter(req.slot, progress);
        try {
            const program = req.program === undefined ? undefined : this.usableProgram(req.program, hold);
            const call = program === undefined ? 0 : req.call ?? program.sequencer.assignNumber();
            const request = requestDigest(req);
            const key = req.key === undefined ? undefined : digest(req.workspace, req.service, req.key);
            const known = key === undefined ? undefined : this.serviceCalls.get(key);
            const joined = this.join(
                known ?? (req.call === undefined ? undefined : program?.storedAnswer(call)),
                request,
            );
            if (joined !== undefined) {
                hold.leave();
                return joined;
            }
            const ctx: ServiceContext = { ...this.context(progress, hold, program, call), req, outcome: undefined };
            const entry = { call, request, log: ctx.log };
            if (key !== undefined) {
                this.serviceCalls.set(key, entry);
            }
            this.run(ctx, entry, this.parts.serviceFilters, () => key !== undefined && this.serviceCalls.delete(key));
            return ctx.log;
        }
        catch (err) {
            hold.leave();
            throw err;
        }
    }

    private context(progress: Progress, hold: SlotHold, program: ProgramState | undefined, call: number) {
        // The work goes on for a while without its reader, so it has a deadline of its own.
        const own = new Progress(progress.leftMs);
        return { progress: own, log: new AnswerLog(), lifecycle: createRequestLifecycle(), hold, program, call };
    }

    /** Joins a repeated request to the answer of the first one. */
    private join(entry: CallEntry | undefined, request: string): AnswerLog | undefined {
        if (entry !== undefined && entry.request !== request) {
            throw new ProblemError(
                "idempotency_conflict",
                "notRun",
                `Call ${entry.call} was sent before with another content.`,
            );
        }
        return entry?.log;
    }

    private usableProgram(id: string, hold: SlotHold): ProgramState {
        const claims = this.parts.programs.decode(id)!;
        const program = this.parts.programs.load(id, claims, hold.slot);
        if (claims.deadline <= Date.now()) {
            this.parts.programs.end(program, "deadline");
        }
        if (program.isEnded) {
            throw new ProblemError(
                "program_ended",
                "notRun",
                `The program has ended: ${program.endReason ?? "ended"}.`,
            );
        }
        return program;
    }

    private noteReturn(program: ProgramState): void {
        if (program.lastCallEndedAt > 0) {
            this.parts.memory.pauseModel.onReturn(program.pauseKind, Date.now() - program.lastCallEndedAt);
        }
    }

    /** Runs the filters in the background; readers follow the answer. */
    private run<C extends OwnerContext>(
        ctx: C,
        entry: CallEntry,
        filters: readonly Filter<C>[],
        onEnd = (): unknown => undefined,
    ): void {
        ctx.program?.storeAnswer(entry);
        this.watchReaders(ctx);
        this.active += 1;
        void runChain(filters, ctx)
            .then(() => ctx.log.close(), (err: unknown) => this.onError(ctx, entry, err))
            .finally(() => {
                this.active -= 1;
                ctx.hold.leave();
                ctx.progress.dispose();
                onEnd();
            });
    }

    /** Cancels a call that nobody reads any more, unless it must not be cut. */
    private watchReaders<C extends OwnerContext>(ctx: C): void {
        const cancellable = !("outcome" in ctx);
        ctx.log.setOnAbandon(() => {
            if (!cancellable) {
                return;
            }
            setTimeout(() => {
                if (ctx.log.readers === 0 && !ctx.log.isClosed) {
                    this.parts.metrics.count("calls.abandoned");
                    ctx.progress.abort(
                        new ProblemError("caller_gone", verdictOf(ctx.lifecycle), "Nobody waits for the answer."),
                    );
                }
            }, abandonGraceMs);
        });
    }

    private onError(ctx: OwnerContext, entry: CallEntry, err: unknown): void {
        const verdict = verdictOf(ctx.lifecycle);
        ctx.lifecycle.send(verdict === "notRun" ? "refuse" : "fail");
        ctx.program?.removeAnswer(entry);
        if (err instanceof NotOwnerError) {
            const problem = new ProblemError(
                "owner_unreachable",
                verdict,
                "The slot moved to another instance meanwhile.",
            );
            ctx.log.fail(problem, verdict);
            return;
        }
        const problem = toProblemError(err, verdict);
        if (problem.code === "internal") {
            this.parts.log.error("request failed", {
                call: ctx.call,
                error: problem.message,
                stack: (err as Error).stack,
            });
        }
        const told = problem.code === "deadline_exceeded" || problem.code === "caller_gone" ?
            new ProblemError(problem.code, verdict, problem.message) :
            problem;
        ctx.log.fail(told, verdict);
    }
}

const describe = (program: ProgramState) => ({
    id: program.id,
    agent: program.claims.agent,
    workspace: program.claims.workspace,
    state: program.lifecycle.state,
    endReason: program.endReason,
    budget: program.account.budget,
    spent: program.account.spent,
    turns: program.turns,
    nextCall: program.sequencer.nextCall,
    deadline: new Date(program.claims.deadline).toISOString(),
    historyDigest: program.history.digest,
});

/** An answer of one JSON document. */
async function* single(value: unknown): AsyncGenerator<AnswerEvent> {
    yield { kind: "json", status: 200, value };
    yield { kind: "end" };
}
