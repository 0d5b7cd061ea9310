/** Closes connections so that their callers can read the last answer. */
import type { Socket } from "node:net";

import { ReadGate } from "./readGate.js";

/** Time for which a connection stays open after a refusal that ends it. */
const lingerMs = 1_000;

const lingering = new WeakSet<Socket>();

/** Whether a connection is only kept so that its caller can read the last answer. */
export const isLingering = (socket: Socket): boolean => lingering.has(socket);

/**
 * Closes a connection for writing, and reads and discards what still arrives for a while. A connection that is closed with
 * unread input is reset, which also discards what its caller has not read of earlier answers.
 */
export const closeLingering = (socket: Socket): void => {
    lingering.add(socket);
    ReadGate.of(socket).open();
    socket.end();
    // The caller may keep its side open.
    setTimeout(() => socket.destroy(), lingerMs).unref();
};

/**
 * Lets the HTTP server close a connection with {@link closeLingering} after the last answer. To be called before that is
 * ended, if the rest of its request has not been read.
 */
export const lingerAfterAnswer = (socket: Socket): void => {
    socket.destroySoon = () => closeLingering(socket);
};
