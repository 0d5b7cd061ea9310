/** Executes requests for the slots that this instance owns. */
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

/** Time for which a call without readers keeps running, so that a caller can reconnect and join it. */
const abandonGraceMs = 2_000;

/** Components that {@link Owner} uses. */
export interface OwnerDependencies {
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

/** Executes requests as the owner of their slots. */
export class Owner {
    /** Calls in progress; a graceful shutdown waits for them. */
    active = 0;
    /** Service calls in progress, by idempotency key; duplicate requests join them. */
    private readonly serviceCallsByKey = new Map<string, CallEntry>();

    constructor(private readonly deps: OwnerDependencies) {}

    /**
     * Executes a request and yields the events of its answer.
     *
     * @throws NotOwnerError if another instance owns the slot.
     */
    async *answer(req: OwnerRequest, progress: Progress): AsyncGenerator<AnswerEvent> {
        if (req.kind === "open") {
            yield* jsonAnswer(await this.open(req));
            return;
        }
        if (req.kind === "chat") {
            yield* (await this.startChat(req, progress)).read(progress);
        }
        else if (req.kind === "service") {
            yield* (await this.startService(req, progress)).read(progress);
        }
        else {
            yield* jsonAnswer(await this.handleProgramRequest(req, progress));
        }
    }

    private async open(req: OpenRequest): Promise<unknown> {
        const slot = await this.deps.slots.pickOpenSlot(this.deps.random);
        if (slot === undefined) {
            throw new NotOwnerError(-1);
        }
        const program = this.deps.programs.open(req, slot);
        return describeProgram(program);
    }

    private async handleProgramRequest(
        req: OwnerRequest & { kind: "inspect" | "end" | "explain"; },
        progress: Progress,
    ): Promise<unknown> {
        const claims = this.deps.programs.authorizeId(req.program, req.workspace);
        const hold = await this.deps.slots.enter(claims.slot, progress);
        try {
            const program = this.deps.programs.load(req.program, claims, hold.slot);
            if (req.kind === "end") {
                this.endAndRecord(program, "ended");
            }
            return req.kind === "explain" ?
                { ...describeProgram(program), decisions: program.decisions } :
                describeProgram(program);
        }
        finally {
            hold.leave();
        }
    }

    /** Ends a program at an operator's request. */
    cancel(program: ProgramState): void {
        this.endAndRecord(program, "cancelled");
    }

    /** Ends a program, and records the end in the ledger if the program has an entry there. */
    private endAndRecord(program: ProgramState, reason: EndReason): void {
        if (program.isEnded) {
            return;
        }
        this.deps.programs.end(program, reason);
        const slot = this.deps.slots.get(program.claims.slot);
        if (slot?.record.programs[ledgerName(program.claims)] !== undefined) {
            const { deadline } = program.claims;
            this.deps.slots.mutate(slot, record => endProgram(record, ledgerName(program.claims), deadline)).catch(
                () => {
                    this.deps.log.debug("end of program could not be stored; it expires at its deadline", {
                        program: program.claims.nonce,
                    });
                },
            );
        }
    }

    private async startChat(req: ChatRequest, progress: Progress): Promise<AnswerLog> {
        const claims = this.deps.programs.authorizeId(req.program, req.workspace);
        const hold = await this.deps.slots.enter(claims.slot, progress);
        try {
            const program = this.loadLiveProgram(req.program, hold);
            const call = req.call ?? program.sequencer.assignNumber();
            const request = digest("chat", JSON.stringify([req.messages, req.extends ?? ""]));
            const existingAnswer = this.joinExistingCall(program.storedAnswer(call), request);
            if (existingAnswer !== undefined) {
                hold.leave();
                return existingAnswer;
            }
            this.recordPauseDuration(program);
            const ctx = {
                ...this.createContext(progress, hold, program, call),
                req,
                program,
                conversation: [],
                newMessages: [],
                answer: "",
            };
            this.run(ctx, { call, request, log: ctx.log }, this.deps.chatFilters);
            return ctx.log;
        }
        catch (err) {
            hold.leave();
            throw err;
        }
    }

    private async startService(req: ServiceRequest, progress: Progress): Promise<AnswerLog> {
        const hold = await this.deps.slots.enter(req.slot, progress);
        try {
            const program = req.program === undefined ? undefined : this.loadLiveProgram(req.program, hold);
            const call = program === undefined ? 0 : req.call ?? program.sequencer.assignNumber();
            const request = requestDigest(req);
            const key = req.key === undefined ? undefined : digest(req.workspace, req.service, req.key);
            const callWithSameKey = key === undefined ? undefined : this.serviceCallsByKey.get(key);
            const existingAnswer = this.joinExistingCall(
                callWithSameKey ?? (req.call === undefined ? undefined : program?.storedAnswer(call)),
                request,
            );
            if (existingAnswer !== undefined) {
                hold.leave();
                return existingAnswer;
            }
            const ctx: ServiceContext = {
                ...this.createContext(progress, hold, program, call),
                req,
                outcome: undefined,
            };
            const entry = { call, request, log: ctx.log };
            if (key !== undefined) {
                this.serviceCallsByKey.set(key, entry);
            }
            this.run(
                ctx,
                entry,
                this.deps.serviceFilters,
                () => key !== undefined && this.serviceCallsByKey.delete(key),
            );
            return ctx.log;
        }
        catch (err) {
            hold.leave();
            throw err;
        }
    }

    private createContext(progress: Progress, hold: SlotHold, program: ProgramState | undefined, call: number) {
        // The call may outlive the request that started it (see abandonGraceMs), so it has its own deadline.
        const callProgress = new Progress(progress.leftMs);
        return {
            progress: callProgress,
            log: new AnswerLog(),
            lifecycle: createRequestLifecycle(),
            hold,
            program,
            call,
        };
    }

    /**
     * Returns the answer of an earlier call if the request repeats it.
     *
     * @throws ProblemError `idempotency_conflict` if the earlier call had different content.
     */
    private joinExistingCall(entry: CallEntry | undefined, request: string): AnswerLog | undefined {
        if (entry !== undefined && entry.request !== request) {
            throw new ProblemError(
                "idempotency_conflict",
                "notRun",
                `Call ${entry.call} was sent before with another content.`,
            );
        }
        return entry?.log;
    }

    private loadLiveProgram(id: string, hold: SlotHold): ProgramState {
        const claims = this.deps.programs.decode(id)!;
        const program = this.deps.programs.load(id, claims, hold.slot);
        if (claims.deadline <= Date.now()) {
            this.deps.programs.end(program, "deadline");
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

    private recordPauseDuration(program: ProgramState): void {
        if (program.lastCallEndedAt > 0) {
            this.deps.memory.pauseModel.onReturn(program.pauseKind, Date.now() - program.lastCallEndedAt);
        }
    }

    /** Runs the filter chain in the background; readers stream the answer from its log. */
    private run<C extends OwnerContext>(
        ctx: C,
        entry: CallEntry,
        filters: readonly Filter<C>[],
        onEnd = (): unknown => undefined,
    ): void {
        ctx.program?.storeAnswer(entry);
        this.cancelWhenAbandoned(ctx);
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

    /**
     * Cancels a model call once its answer has had no reader for the grace period. Service calls continue: they must
     * not be interrupted.
     */
    private cancelWhenAbandoned<C extends OwnerContext>(ctx: C): void {
        const cancellable = !("outcome" in ctx);
        ctx.log.setOnAbandon(() => {
            if (!cancellable) {
                return;
            }
            setTimeout(() => {
                if (ctx.log.readers === 0 && !ctx.log.isClosed) {
                    this.deps.metrics.count("calls.abandoned");
                    ctx.progress.abort(
                        new ProblemError(
                            "caller_gone",
                            verdictOf(ctx.lifecycle),
                            "Nobody waits for the answer.",
                        ),
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
            this.deps.log.error("request failed", {
                call: ctx.call,
                error: problem.message,
                stack: (err as Error).stack,
            });
        }
        const reportedProblem = problem.code === "deadline_exceeded" || problem.code === "caller_gone" ?
            new ProblemError(problem.code, verdict, problem.message) :
            problem;
        ctx.log.fail(reportedProblem, verdict);
    }
}

const describeProgram = (program: ProgramState) => ({
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

/** Yields an answer that consists of one JSON document. */
async function* jsonAnswer(value: unknown): AsyncGenerator<AnswerEvent> {
    yield { kind: "json", status: 200, value };
    yield { kind: "end" };
}
