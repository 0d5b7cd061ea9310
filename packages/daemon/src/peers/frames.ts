/** Packs and unpacks the messages between daemons. */
import { Packr, Unpackr } from "msgpackr";
import VError from "verror";

import { peerMessageSchema } from "./messages.js";
import type { PeerMessage } from "./messages.js";

/** Largest frame that is accepted. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** A frame that is not a message of the protocol. */
export class FrameError extends VError {
    constructor(detail: string) {
        super({ name: "FrameError" }, "%s", detail);
    }
}

/**
 * Packs and unpacks the frames of one direction of one connection. The names of fields travel once per connection, so
 * frames must be unpacked in the order in which they were packed.
 */
export class FrameCodec {
    private readonly packr = new Packr({ useRecords: true, sequential: true });
    private readonly unpackr = new Unpackr({ useRecords: true, sequential: true, structures: [] });

    pack(message: PeerMessage): Buffer {
        return this.packr.pack(message);
    }

    /**
     * Unpacks a frame and checks it.
     *
     * @throws FrameError if it is not a message of the protocol.
     */
    unpack(bytes: Uint8Array): PeerMessage {
        let value: unknown;
        try {
            value = this.unpackr.unpack(bytes);
        }
        catch {
            throw new FrameError(`a frame of ${bytes.length} bytes cannot be unpacked`);
        }
        const parsed = peerMessageSchema.safeParse(value);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            throw new FrameError(
                `a frame is not a peer message: ${issue?.path.join(".") ?? ""} ${issue?.message ?? ""}`,
            );
        }
        return parsed.data;
    }
}
