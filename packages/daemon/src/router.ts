/** Routes requests to the instances that own their slots, and resumes answers when an owner fails. */
import { ProblemError } from "@marigolddrift/common";
import type { Logger, Metrics, Progress } from "@marigolddrift/common";

import type { AnswerEvent, OwnerRequest } from "./calls.js";
import type { Membership } from "./controllers/membership.js";
import type { Slots } from "./controllers/slots.js";
import type { Owner } from "./owner.js";
import { NotOwnerError, PeerLostError } from "./peers/peerErrors.js";

const minBackoffMs = 20;
const maxBackoffMs = 400;

/** Parts of the answer that the caller has received. */
interface Delivered {
    text: string;
    tokens: number;
    /** Whether an answer other than text has started; another owner cannot resume it. */
    nonResumable: boolean;
    /** Whether any owner may have received the request. */
    maybeSent: boolean;
}

/** Routes requests to the owners of their slots. */
export class Router {
    /** Round-robin counter that spreads requests which any instance may answer. */
    private turn = 0;

    constructor(
        private readonly localInstance: string,
        private readonly slots: Slots,
        private readonly membership: Membership,
        private readonly owner: Owner,
        private readonly log: Logger,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Yields the complete answer to a request; retries with backoff while its owner changes or cannot be reached.
     *
     * @param slot Slot of the request; undefined if any instance may answer.
     */
    async *route(req: OwnerRequest, slot: number | undefined, progress: Progress): AsyncGenerator<AnswerEvent> {
        const delivered: Delivered = { text: "", tokens: 0, nonResumable: false, maybeSent: false };
        let ownerHint: string | undefined;
        let backoffMs = minBackoffMs;
        for (;;) {
            const target = ownerHint ?? this.chooseTarget(slot);
            ownerHint = undefined;
            try {
                yield* this.streamFromOwner(target, withDeliveredText(req, delivered), delivered, progress);
                return;
            }
            catch (err) {
                ownerHint = this.onFailure(err, delivered, target);
            }
            await this.waitToRetry(backoffMs, delivered, progress);
            backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
        }
    }

    private chooseTarget(slot: number | undefined): string | undefined {
        if (slot !== undefined) {
            return this.slots.routeTo(slot);
        }
        if (this.slots.hasOpenSlot) {
            return this.localInstance;
        }
        const owners = this.slots.directory.owners().filter(owner =>
            this.membership.connectedPeer(owner) !== undefined
        );
        this.turn += 1;
        return owners[this.turn % Math.max(1, owners.length)] ?? this.localInstance;
    }

    /** Returns the owner that the failure names, if any; throws if a retry cannot help. */
    private onFailure(err: unknown, delivered: Delivered, target: string | undefined): string | undefined {
        if (err instanceof NotOwnerError) {
            return err.owner === target ? undefined : err.owner;
        }
        if (!(err instanceof PeerLostError)) {
            throw err;
        }
        delivered.maybeSent ||= err.sent;
        this.metrics.count("route.peer_lost");
        this.log.warn("connection to owner lost", { owner: target, sent: err.sent, deliveredTokens: delivered.tokens });
        if (delivered.nonResumable) {
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
                const verdict = delivered.maybeSent ? "mayHaveRun" : "notRun";
                throw new ProblemError(
                    "owner_unreachable",
                    verdict,
                    "No instance that owns the slot could be reached in time.",
                );
            }
            throw err;
        }
    }

    /** Yields the events of one owner's answer, without the text that the caller already has. */
    private async *streamFromOwner(
        target: string | undefined,
        req: OwnerRequest,
        delivered: Delivered,
        progress: Progress,
    ): AsyncGenerator<AnswerEvent> {
        let position = 0;
        for await (const event of this.requestAnswer(target, req, progress)) {
            if (event.kind === "problem" && event.problem.code === "owner_unreachable" && !delivered.nonResumable) {
                delivered.maybeSent ||= event.problem.verdict !== "notRun";
                throw new NotOwnerError(-1);
            }
            if (event.kind !== "delta") {
                delivered.nonResumable ||= event.kind === "head" || event.kind === "body";
                yield event;
                continue;
            }
            const alreadyDelivered = Math.max(0, Math.min(event.text.length, delivered.text.length - position));
            position += event.text.length;
            if (alreadyDelivered < event.text.length) {
                const text = event.text.slice(alreadyDelivered);
                delivered.text += text;
                delivered.tokens += event.tokens;
                yield { ...event, text };
            }
        }
    }

    private requestAnswer(
        target: string | undefined,
        req: OwnerRequest,
        progress: Progress,
    ): AsyncGenerator<AnswerEvent> {
        if (target === undefined) {
            throw new PeerLostError("no instance", false);
        }
        if (target === this.localInstance) {
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

/** The request for the next owner, with the text that the caller already has. */
const withDeliveredText = (req: OwnerRequest, delivered: Delivered): OwnerRequest =>
    req.kind === "chat" && delivered.text !== "" ?
        { ...req, resumeText: delivered.text, resumeTokens: delivered.tokens } :
        req;
