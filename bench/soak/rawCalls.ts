/** Sends requests over a socket as slowly and in as many pieces as wanted, and reads how the connection answers or ends. */
import { delay } from "@marigolddrift/common";
import type { Socket } from "node:net";

/** How a body is sent: at once, in chunks, in two parts with a pause between them, or byte by byte. */
export type BodyForm = "length" | "chunks" | "parts" | "bytes";

export const bodyForms: readonly BodyForm[] = ["length", "chunks", "parts", "bytes"];

const partPauseMs = 150;
const bytePauseMs = 2;

/** A request. */
export interface RawCall {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly form: BodyForm;
}

/** What a connection gave in return. */
export interface RawAnswer {
    readonly status?: number;
    readonly body?: string;
    /** Whether the framing of the answer says that it is whole. */
    readonly isWhole: boolean;
    /** Whether the connection takes no further request. */
    readonly isLast: boolean;
    /** How the connection ended before the answer was whole: in order, which it does not while bytes are unread, or otherwise. */
    readonly end?: "closed" | "reset" | "timeout";
    /** Monotonic time at which the last byte was sent. */
    readonly sentAt?: number;
    readonly endedAt: number;
}

/** Sends a request and waits until its answer is whole, the connection ends, or the time is over. */
export const exchange = async (socket: Socket, call: RawCall, timeoutMs: number): Promise<RawAnswer> => {
    let text = "";
    let sentAt: number | undefined;
    let finish: (end: RawAnswer["end"]) => void = () => {};
    const ended = new Promise<RawAnswer["end"]>(resolve => finish = resolve);
    const onData = (chunk: Buffer): void => {
        text += chunk.toString("latin1");
        if (parseAnswer(text).isWhole) {
            finish(undefined);
        }
    };
    const onClose = (hadError: boolean): void => finish(hadError ? "reset" : "closed");
    socket.on("data", onData).once("close", onClose);
    if (socket.destroyed) {
        finish("reset");
    }
    const timer = setTimeout(() => finish("timeout"), timeoutMs);
    void send(socket, call).then(() => sentAt = performance.now());
    const end = await ended;
    clearTimeout(timer);
    socket.off("data", onData).off("close", onClose);
    return { ...parseAnswer(text), ...(end && { end }), ...(sentAt && { sentAt }), endedAt: performance.now() };
};

const send = async (socket: Socket, { path, headers, body, form }: RawCall): Promise<void> => {
    const framing = form === "chunks" ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    const head = `POST ${path} HTTP/1.1\r\n${[...lines, framing].join("\r\n")}\r\n\r\n`;
    const middle = Math.floor(body.length / 2);
    const halves = [body.slice(0, middle), body.slice(middle)];
    switch (form) {
        case "length":
            return write(socket, head + body);
        case "chunks":
            await write(socket, head + chunk(halves[0]!));
            return write(socket, `${chunk(halves[1]!)}0\r\n\r\n`);
        case "parts":
            await write(socket, head + halves[0]!);
            await delay(partPauseMs);
            return write(socket, halves[1]!);
        case "bytes":
            await write(socket, head);
            for (const byte of body) {
                await delay(bytePauseMs);
                await write(socket, byte);
            }
    }
};

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Resolves once the system has taken the bytes; never, if the connection ends before. */
const write = (socket: Socket, text: string): Promise<void> =>
    new Promise(resolve => socket.write(text, "latin1", err => err ?? resolve()));

const parseAnswer = (text: string): Pick<RawAnswer, "status" | "body" | "isWhole" | "isLast"> => {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { isWhole: false, isLast: true };
    }
    const head = text.slice(0, headEnd);
    const rest = text.slice(headEnd + "\r\n\r\n".length);
    const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1]);
    const isLast = /\r\nconnection: close/i.test(head);
    if (/\r\ntransfer-encoding: chunked/i.test(head)) {
        return { status, isLast, ...joinChunks(rest) };
    }
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? NaN);
    return { status, isLast, body: rest, isWhole: rest.length === length };
};

const joinChunks = (text: string): Pick<RawAnswer, "body" | "isWhole"> => {
    let body = "";
    let rest = text;
    while (rest !== "") {
        const sizeEnd = rest.indexOf("\r\n");
        const size = parseInt(rest.slice(0, sizeEnd), 16);
        const start = sizeEnd + "\r\n".length;
        if (sizeEnd < 0 || size === 0) {
            return { body, isWhole: rest === "0\r\n\r\n" };
        }
        body += rest.slice(start, start + size);
        rest = rest.slice(start + size + "\r\n".length);
    }
    return { body, isWhole: false };
};
