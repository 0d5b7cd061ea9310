/** Finds the owner of a request, wherever it is, and follows the answer over failures of owners. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";

import type { AnswerEvent, OwnerRequest } from "./calls.js";
import type { Membership } from "./controllers/membership.js";
import type { Slots } from "./controllers/slots.js";
import type { Owner } from "./owner.js";
import { NotOwnerError, PeerLostError } from "./peers/peerErrors.js";

const minRetryMs = 20;
const maxRetryMs = 400;

/** What the caller has got so far. */
interface Delivered {
    text: string;
    tokens: number;
    /** Whether an answer other than text has begun; it cannot be taken up by another owner. */
    begun: boolean;
    /** Whether any owner may have received the request. */
    sent: boolean;
}

/** Routes requests to owners. */
export class Router {
    /** Spreads requests that any instance may answer. */
    private turn = 0;

    constructor(
        private readonly self: string,
        private readonly slots: Slots,
        private readonly membership: Membership,
        private readonly owner: Owner,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Yields the complete answer to a request.
     *
     * @param slot Slot of the request; undefined if any instance may answer.
     */
    async *route(req: OwnerRequest, slot: number | undefined, progress: Progress): AsyncGenerator<AnswerEvent> {
        const delivered: Delivered = { text: "", tokens: 0, begun: false, sent: false };
        let hint: string | undefined;
        let retryMs = minRetryMs;
        for (;;) {
            const target = hint ?? this.target(slot);
            hint = undefined;
            try {
                yield* this.follow(target, resume(req, delivered), delivered, progress);
                return;
            }
            catch (err) {
                hint = this.onFailure(err, delivered, target);
            }
            await this.waitToRetry(retryMs, delivered, progress);
            retryMs = Math.min(maxRetryMs, retryMs * 2);
        }
    }

    private target(slot: number | undefined): string | undefined {
        if (slot !== undefined) {
            return this.slots.routeTo(slot);
        }
        if (this.slots.hasOpenSlot) {
            return this.self;
        }
        const owners = this.slots.directory.owners().filter(owner =>
            this.membership.connectedPeer(owner) !== undefined
        );
        this.turn += 1;
        return owners[this.turn % Math.max(1, owners.length)] ?? this.self;
    }

    /** Notes a failure that another attempt may cure, or throws; returns who the owner is said to be. */
    private onFailure(err: unknown, delivered: Delivered, target: string | undefined): string | undefined {
        if (err instanceof NotOwnerError) {
            return err.owner === target ? undefined : err.owner;
        }
        if (!(err instanceof PeerLostError)) {
            throw err;
        }
        delivered.sent ||= err.sent;
        this.metrics.count("route.peer_lost");
        this.log.warn("owner lost", { owner: target, sent: err.sent, deliveredTokens: delivered.tokens });
        if (delivered.begun) {
            throw new ProblemError(
                "owner_unreachable",
                "mayHaveRun",
                "The owner was lost in the middle of the answer.",
            );
        }
        return undefined;
    }

    private async waitToRetry(ms: number, delivered: Delivered, progress: Progress): Promise<void> {
        try {
            await progress.sleep(ms);
        }
        catch (err) {
            if (err instanceof ProblemError && err.code === "deadline_exceeded") {
                const verdict = delivered.sent ? "mayHaveRun" : "notRun";
                throw new ProblemError(
                    "owner_unreachable",
                    verdict,
                    "No instance that owns the slot could be reached in time.",
                );
            }
            throw err;
        }
    }

    /** Yields what one owner answers, without what the caller has already. */
    private async *follow(
        target: string | undefined,
        req: OwnerRequest,
        delivered: Delivered,
        progress: Progress,
    ): AsyncGenerator<AnswerEvent> {
        let position = 0;
        for await (const event of this.open(target, req, progress)) {
            if (event.kind === "problem" && event.problem.code === "owner_unreachable" && !delivered.begun) {
                delivered.sent ||= event.problem.verdict !== "notRun";
                throw new NotOwnerError(-1);
            }
            if (event.kind !== "delta") {
                delivered.begun ||= event.kind === "head" || event.kind === "body";
                yield event;
                continue;
            }
            const known = Math.max(0, Math.min(event.text.length, delivered.text.length - position));
            position += event.text.length;
            if (known < event.text.length) {
                const text = event.text.slice(known);
                delivered.text += text;
                delivered.tokens += event.tokens;
                yield { ...event, text };
            }
        }
    }

    private open(target: string | undefined, req: OwnerRequest, progress: Progress): AsyncGenerator<AnswerEvent> {
        if (target === undefined) {
            throw new PeerLostError("no instance", false);
        }
        if (target === this.self) {
            return this.owner.answer(req, progress);
        }
        const peer = this.membership.connectedPeer(target);
        if (peer === undefined) {
            throw new PeerLostError(target, false);
        }
        this.metrics.count("route.forwarded");
        const program = "program" in req ? req.program : undefined;
        const call = "call" in req ? req.call : undefined;
        this.log.info("routing", { kind: req.kind, program, call, choice: target, reason: "ownerOfSlot" });
        return peer.link.call(req, progress);
    }
}

/** The request as the next owner gets it: with what the caller has already. */
const resume = (req: OwnerRequest, delivered: Delivered): OwnerRequest =>
    req.kind === "chat" && delivered.text !== "" ?
        { ...req, resumeText: delivered.text, resumeTokens: delivered.tokens } :
        req;
