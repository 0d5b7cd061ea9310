/** Callers that open connections to a front before it is told to stop, and use them until it is gone. */
import { delay } from "@marigolddrift/common";
import { connect } from "node:net";
import type { Socket } from "node:net";

import type { Machine } from "./machine.js";
import { pick } from "./pick.js";
import { bodyForms, exchange } from "./rawCalls.js";
import { budgetTokens, headersOf, pathOf } from "./soakCalls.js";
import type { CallKind } from "./soakCalls.js";
import type { SoakFleet } from "./soakFleet.js";
import type { Attempt, SoakRecord } from "./soakRecord.js";
import { workspaceNames } from "./soakWorkspaces.js";

const connections = 50;

/** Time over which the connections are used: that from the signal to the end of the process, and a little longer. */
const spreadMs = 9_000;

/** Share of the connections that are used before the signal, too. */
const usedShare = 0.3;

const openMs = 200;
const deadlineMs = 2_000;
const answerTimeoutMs = 3_000;
const kinds: readonly CallKind[] = ["order", "order", "safe", "turn", "turn"];

/** Times that workers take for a call. */
const worksMs = [20, 60, 300, 700, 1_500];

/** Connections to one front. */
export class LateCallers {
    private readonly sockets: Socket[] = [];
    private nextId = 0;

    /** @param random Returns numbers in [0, 1). */
    constructor(
        private readonly fleet: SoakFleet,
        private readonly record: SoakRecord,
        private readonly random: () => number,
        private readonly front: Machine,
    ) {}

    /** Opens the connections, and uses some of them. */
    async open(): Promise<void> {
        const { host, port } = this.fleet.frontAddress(this.front);
        for (let index = 0; index < connections; index++) {
            this.sockets.push(connect({ host, port, noDelay: true }).on("error", () => {}));
        }
        await delay(openMs);
        const used = this.sockets.filter(() => this.random() < usedShare);
        await Promise.all(used.map(async socket => {
            // An answer that is still to come would be taken for that of the next request.
            if (!await this.call(socket, false)) {
                socket.destroy();
            }
        }));
    }

    /** Sends requests until the front must be gone. Resolves once all are answered or closed. */
    async use(): Promise<void> {
        const startedAt = performance.now();
        await Promise.all(this.sockets.map(async (socket, index) => {
            await delay(index * spreadMs / connections);
            let isOpen = true;
            while (isOpen && !socket.destroyed && performance.now() - startedAt < spreadMs) {
                isOpen = await this.call(socket, true);
            }
            socket.destroy();
        }));
    }

    /** Returns whether the connection takes another request. */
    private async call(socket: Socket, isLate: boolean): Promise<boolean> {
        const kind = pick(kinds, this.random);
        const id = `${isLate ? "late" : "early"}-${this.front.name}-${Math.round(performance.now())}-${this.nextId++}`;
        const body = `${kind} ${id}`;
        const workspace = pick(workspaceNames, this.random);
        const attempt: Attempt = {
            id,
            kind,
            isLate,
            expectedBody: body,
            front: this.front.name,
            startedAt: performance.now(),
            limitMs: deadlineMs,
            key: pick(this.fleet.workspaces.inForce(workspace), this.random).key,
            workspace,
            ...(kind === "turn" && { program: `p-${id}` }),
        };
        this.record.begin(attempt);
        this.record.setBudget(`p-${id}`, budgetTokens);
        const path = pathOf(kind, pick(worksMs, this.random));
        const call = { path, headers: headersOf(attempt, deadlineMs), body, form: pick(bodyForms, this.random) };
        const { status, body: text, isWhole, isLast, end, sentAt, endedAt } = await exchange(
            socket,
            call,
            answerTimeoutMs,
        );
        Object.assign(attempt, { status, body: text, ended: isWhole, framedWhole: isWhole, end, sentAt, endedAt });
        this.record.onAnswer(attempt);
        return isWhole && !isLast;
    }
}
