/** Registry of the programs on the slots that this instance owns. */
import { decodeProgramId, encodeProgramId, newNonce, ProblemError } from "@marigolddrift/common";
import type { Bundle, Logger, ProgramClaims } from "@marigolddrift/common";
import { handoverStateOf } from "@marigolddrift/ledger";
import type { ProgramEntry, SlotRecord } from "@marigolddrift/ledger";

import type { OpenRequest } from "../calls.js";
import { ProgramState } from "../programs/programState.js";
import type { EndReason } from "../programs/programState.js";
import type { OwnedSlot } from "./ownedSlot.js";

/** Limit on the message bytes that are held in memory for all programs together. */
const maxHistoryBytes = 64 * 1024 * 1024;

/** Name of a program in the ledger: the random part of its id. */
export const ledgerName = (claims: ProgramClaims): string => claims.nonce;

/** Settings and callbacks of {@link Programs}. */
export interface ProgramsOptions {
    bundle(): Bundle;
    /** Keys that verify the signatures of program ids; the first one signs new ids. */
    idKeys(): readonly string[];
    /** Called when a program has ended; its engine memory must be released. */
    onEnded(program: ProgramState): void;
}

/** Programs by id. */
export class Programs {
    private readonly programs = new Map<string, ProgramState>();

    constructor(private readonly options: ProgramsOptions, private readonly log: Logger) {}

    get size(): number {
        return this.programs.size;
    }

    all(): ProgramState[] {
        return [...this.programs.values()];
    }

    /**
     * Decodes the id that a caller sent, and checks that the program belongs to the workspace.
     *
     * @throws ProblemError `unknown_program` or `forbidden`.
     */
    authorizeId(id: string, workspace: string): ProgramClaims {
        const claims = decodeProgramId(id, this.options.idKeys());
        if (claims === undefined) {
            throw new ProblemError("unknown_program", "notRun", "The program id was not issued by this system.");
        }
        if (claims.workspace !== workspace) {
            throw new ProblemError("forbidden", "notRun", "The program belongs to another workspace.");
        }
        return claims;
    }

    /** Decodes an id of any workspace; undefined if the id is not valid. */
    decode(id: string): ProgramClaims | undefined {
        return decodeProgramId(id, this.options.idKeys());
    }

    /** Opens a program on an owned slot. Nothing is written, because the id carries all that a later owner needs. */
    open(req: OpenRequest, slot: OwnedSlot): ProgramState {
        const bundle = this.options.bundle();
        const agent = bundle.agent[req.agent];
        if (agent === undefined) {
            const knownAgents = Object.keys(bundle.agent).join(", ");
            throw new ProblemError(
                "invalid_request",
                "notRun",
                `Agent "${req.agent}" does not exist; there are ${knownAgents}.`,
            );
        }
        const budget = Math.min(req.budget, agent.maxBudget);
        const claims: ProgramClaims = {
            nonce: newNonce(),
            slot: slot.slot,
            epoch: slot.epoch,
            workspace: req.workspace,
            agent: req.agent,
            budget,
            firstChunk: Math.max(1, Math.ceil(budget * bundle.limits.budgetChunkShare)),
            deadline: Date.now() + req.deadlineMs,
        };
        const id = encodeProgramId(claims, this.options.idKeys()[0]!);
        const program = new ProgramState(id, claims, agent, undefined, true);
        this.programs.set(id, program);
        this.log.info("program opened", { program: claims.nonce, slot: slot.slot, agent: req.agent, budget });
        return program;
    }

    /**
     * Returns the state of a program on an owned slot; rebuilds it from the id and the ledger if it is not in memory.
     *
     * @throws ProblemError if the agent no longer exists, or the state cannot be read while the store is unavailable.
     */
    load(id: string, claims: ProgramClaims, slot: OwnedSlot): ProgramState {
        const existing = this.programs.get(id);
        if (existing !== undefined) {
            return existing;
        }
        if (slot.provisional) {
            throw new ProblemError(
                "not_durable",
                "notRun",
                "The program's ledger cannot be read while the store is away.",
                {
                    retryAfterSeconds: 5,
                },
            );
        }
        const agent = this.options.bundle().agent[claims.agent];
        if (agent === undefined) {
            throw new ProblemError("invalid_request", "notRun", `Agent "${claims.agent}" was removed from the bundle.`);
        }
        const entry = slot.record.programs[ledgerName(claims)];
        const handedOver = handoverStateOf(slot.record, ledgerName(claims));
        const program = new ProgramState(id, claims, agent, entry, false, handedOver);
        this.programs.set(id, program);
        this.log.info("program taken over", { program: claims.nonce, slot: slot.slot, epoch: slot.epoch });
        return program;
    }

    get(id: string): ProgramState | undefined {
        return this.programs.get(id);
    }

    end(program: ProgramState, reason: EndReason): void {
        if (!program.isEnded) {
            program.end(reason);
            this.log.info("program ended", { program: program.claims.nonce, reason, spent: program.account.spent });
            this.options.onEnded(program);
        }
    }

    /** Ends and removes programs whose deadline has passed, and trims the histories held in memory. */
    expire(now: number): void {
        for (const [id, program] of this.programs) {
            if (program.claims.deadline <= now) {
                this.end(program, "deadline");
                this.programs.delete(id);
            }
        }
        this.trimHistories();
    }

    /** Removes the programs of a slot that this instance no longer owns. */
    removeSlot(slot: number): void {
        for (const [id, program] of this.programs) {
            if (program.claims.slot === slot) {
                this.programs.delete(id);
            }
        }
    }

    /** Adds the exact spending and the handover state of each program to a slot's record, before a handover. */
    finalizeRecord(record: SlotRecord): SlotRecord {
        const programs = Object.fromEntries(
            Object.entries(record.programs).map(([name, entry]) => [name, carryForward(entry, record.epoch)]),
        );
        for (const program of this.programs.values()) {
            if (program.claims.slot === record.slot) {
                const { account, claims } = program;
                const reserved = account.spent + account.held;
                const handedOver = program.createHandoverState(record.epoch);
                const entry = { reserved, deadline: claims.deadline, ended: program.isEnded };
                programs[ledgerName(claims)] = handedOver === undefined ? entry : { ...entry, handedOver };
            }
        }
        return { ...record, programs };
    }

    private trimHistories(): void {
        let bytes = 0;
        const byRecency = this.all().sort((a, b) => b.lastUsedAt - a.lastUsedAt);
        for (const program of byRecency) {
            bytes += program.history.heldBytes;
            if (bytes > maxHistoryBytes) {
                program.history.dropMessages();
            }
        }
    }
}

/** Carries the previous owner's handover state over to the next epoch, for a program without state on this owner. */
const carryForward = (entry: ProgramEntry, epoch: number): ProgramEntry =>
    entry.handedOver?.epoch === epoch - 1 ? { ...entry, handedOver: { ...entry.handedOver, epoch } } : entry;
