/** Packs and unpacks the messages between daemons. */
import { Packr } from "msgpackr";
import VError from "verror";

import { peerMessageSchema } from "./messages.js";
import type { PeerMessage } from "./messages.js";

const packr = new Packr({ useRecords: false });

/** Largest frame that is accepted. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** A frame that is not a message of the protocol. */
export class FrameError extends VError {
    constructor(detail: string) {
        super({ name: "FrameError" }, "%s", detail);
    }
}

/** Packs a message. */
export const packFrame = (message: PeerMessage): Buffer => packr.pack(message);

/**
 * Unpacks a frame and checks it.
 *
 * @throws FrameError if it is not a message of the protocol.
 */
export const unpackFrame = (bytes: Uint8Array): PeerMessage => {
    let value: unknown;
    try {
        value = packr.unpack(bytes);
    }
    catch {
        throw new FrameError(`a frame of ${bytes.length} bytes cannot be unpacked`);
    }
    const parsed = peerMessageSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        throw new FrameError(`a frame is not a peer message: ${issue?.path.join(".") ?? ""} ${issue?.message ?? ""}`);
    }
    return parsed.data;
};
