/** Callers that open connections to a front before it is told to stop, and use them one after the other until it is gone. */
import { delay } from "@marigolddrift/common";
import { connect } from "node:net";
import type { Socket } from "node:net";

import type { Machine, SoakFleet } from "./soakFleet.js";
import type { Attempt, SoakRecord } from "./soakRecord.js";

const connections = 50;

/** Time over which the connections are used: that from the signal to the end of the process, and a little longer. */
const spreadMs = 9_000;

const answerTimeoutMs = 3_000;

let nextId = 0;

/** Opens the connections. The returned function sends the requests, and resolves once all are answered or closed. */
export const openLateCallers = async (
    fleet: SoakFleet,
    record: SoakRecord,
    front: Machine,
): Promise<() => Promise<void>> => {
    const { host, port } = fleet.frontAddress(front);
    const sockets = Array.from({ length: connections }, () => connect(port, host).on("error", () => {}));
    await delay(200);
    return async () => {
        await Promise.all(sockets.map(async (socket, index) => {
            await delay(index * spreadMs / connections);
            await order(socket, record);
        }));
    };
};

const order = async (socket: Socket, record: SoakRecord): Promise<void> => {
    const id = `late-${nextId++}`;
    const attempt: Attempt = { id, kind: "order", expectedBody: id, isLate: true };
    record.begin(attempt);
    const head = `Host: soak.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\nContent-Length: ${id.length}`;
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    let text = "";
    socket.setEncoding("latin1").on("data", (chunk: string) => {
        text += chunk;
        const [answerHead, body] = text.split("\r\n\r\n");
        const length = /content-length: (\d+)/i.exec(answerHead!)?.[1];
        const isWhole = length === undefined ? text.endsWith("\r\n0\r\n\r\n") : body?.length === Number(length);
        if (isWhole) {
            const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1]);
            Object.assign(attempt, { status, body, ended: true, framedWhole: true });
            socket.destroy();
        }
    });
    if (!socket.destroyed) {
        socket.write(`POST /order/1 HTTP/1.1\r\n${head}\r\n\r\n${id}`);
        await Promise.race([closed, delay(answerTimeoutMs)]);
    }
    socket.destroy();
    record.count(`late order ${attempt.status ?? "cut"}`);
};
