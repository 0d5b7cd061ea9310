/** Encodes and decodes the messages between daemons. */
import { Packr, Unpackr } from "msgpackr";
import VError from "verror";

import { peerMessageSchema } from "./messages.js";
import type { PeerMessage } from "./messages.js";

/** Maximum size of an accepted frame. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** A frame that does not contain a valid protocol message. */
export class FrameError extends VError {
    constructor(detail: string) {
        super({ name: "FrameError" }, "%s", detail);
    }
}

/**
 * Encodes or decodes the frames of one direction of one connection. Field names are sent only once per connection, so
 * frames must be unpacked in the order in which they were packed.
 */
export class FrameCodec {
    private readonly packr = new Packr({ useRecords: true, sequential: true });
    private readonly unpackr = new Unpackr({ useRecords: true, sequential: true, structures: [] });

    pack(message: PeerMessage): Buffer {
        return this.packr.pack(message);
    }

    /**
     * Decodes a frame and validates it.
     *
     * @throws FrameError if it is not a valid protocol message.
     */
    unpack(bytes: Uint8Array): PeerMessage {
        let value: unknown;
        try {
            value = this.unpackr.unpack(bytes);
        }
        catch {
            throw new FrameError(`cannot unpack a frame of ${bytes.length} bytes`);
        }
        const parsed = peerMessageSchema.safeParse(value);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            throw new FrameError(
                `the frame is not a valid peer message: ${issue?.path.join(".") ?? ""} ${issue?.message ?? ""}`,
            );
        }
        return parsed.data;
    }
}
