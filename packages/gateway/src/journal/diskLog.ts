/** An append-only log on a small disk: segments of checked frames, synced in groups. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { mkdir, open, readdir, readFile, unlink } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { crc32 } from "node:zlib";

/** Size from which on a new segment is begun, in bytes. */
const segmentBytes = 4 * 1024 * 1024;

/** Length and checksum before each payload, in bytes. */
const headBytes = 8;

/** File that tells a disk which was used before from an empty one. */
const identityFile = "identity";

const namePattern = /^turns-(\d+)\.log$/;

/** Number of a segment. */
export type Segment = number;

/** A payload that was read back, with the segment in which it stands. */
export interface LoggedPayload {
    readonly segment: Segment;
    readonly payload: Buffer;
}

/** What a log holds when it is opened. */
export interface LogContent {
    readonly payloads: readonly LoggedPayload[];
    readonly segments: readonly Segment[];
    /** Whether the disk was empty. */
    readonly isNew: boolean;
}

interface Pending {
    readonly payload: Buffer;
    readonly resolve: (segment: Segment) => void;
    readonly reject: (err: Error) => void;
}

/** One log in a folder of its own. */
export class DiskLog {
    private pending: Pending[] = [];
    private writing = false;
    private current: { readonly segment: Segment; readonly file: FileHandle; bytes: number; } | undefined;
    private nextSegment = 0;

    constructor(private readonly dir: string, private readonly log: Logger) {}

    /** Reads what earlier processes have written; a torn end of a segment is left out. */
    async open(): Promise<LogContent> {
        await mkdir(this.dir, { recursive: true });
        const names = await readdir(this.dir);
        const segments = names.map(name => namePattern.exec(name)?.[1]).filter(text => text !== undefined).map(Number)
            .sort((a, b) => a - b);
        const found: LoggedPayload[] = [];
        for (const segment of segments) {
            const { payloads, tornBytes } = readFrames(await readFile(this.path(segment)));
            payloads.forEach(payload => found.push({ segment, payload }));
            if (tornBytes > 0) {
                this.log.warn("torn end of the journal left out", { segment, tornBytes });
            }
        }
        this.nextSegment = (segments.at(-1) ?? -1) + 1;
        const isNew = !names.includes(identityFile);
        if (isNew) {
            await this.markUsed();
        }
        return { payloads: found, segments, isNew };
    }

    /** Resolves with the segment once the payload is on the disk. */
    append(payload: Buffer): Promise<Segment> {
        return new Promise((resolve, reject) => {
            this.pending.push({ payload, resolve, reject });
            if (!this.writing) {
                this.writing = true;
                void this.writePending();
            }
        });
    }

    /** Removes a segment that nothing needs any more; the one that is being written stays. */
    async drop(segment: Segment): Promise<boolean> {
        if (this.current?.segment === segment) {
            return false;
        }
        await unlink(this.path(segment));
        return true;
    }

    async close(): Promise<void> {
        await this.current?.file.close();
        this.current = undefined;
    }

    private async markUsed(): Promise<void> {
        const file = await open(join(this.dir, identityFile), "w");
        await file.sync();
        await file.close();
    }

    private async writePending(): Promise<void> {
        while (this.pending.length > 0) {
            const group = this.pending.splice(0);
            try {
                const segment = await this.write(Buffer.concat(group.flatMap(({ payload }) => frame(payload))));
                group.forEach(({ resolve }) => resolve(segment));
            }
            catch (err) {
                this.log.error("journal not written", { error: asError(err).message, payloads: group.length });
                group.forEach(({ reject }) => reject(asError(err)));
                await this.abandonSegment();
            }
        }
        this.writing = false;
    }

    private async write(bytes: Buffer): Promise<Segment> {
        const current = this.current ??= await this.beginSegment();
        await current.file.write(bytes);
        await current.file.datasync();
        current.bytes += bytes.length;
        if (current.bytes >= segmentBytes) {
            this.current = undefined;
            await current.file.close();
        }
        return current.segment;
    }

    private async beginSegment(): Promise<{ segment: Segment; file: FileHandle; bytes: number; }> {
        const segment = this.nextSegment++;
        const file = await open(this.path(segment), "wx");
        await file.sync();
        return { segment, file, bytes: 0 };
    }

    /** After a failed write nobody knows what a segment holds at its end. */
    private async abandonSegment(): Promise<void> {
        const abandoned = this.current;
        this.current = undefined;
        await abandoned?.file.close().catch((err: unknown) =>
            this.log.warn("journal segment not closed", { segment: abandoned.segment, error: asError(err).message })
        );
    }

    private path(segment: Segment): string {
        return join(this.dir, `turns-${segment}.log`);
    }
}

const frame = (payload: Buffer): [Buffer, Buffer] => {
    const head = Buffer.alloc(headBytes);
    head.writeUInt32BE(payload.length, 0);
    head.writeUInt32BE(crc32(payload), 4);
    return [head, payload];
};

const readFrames = (bytes: Buffer): { payloads: Buffer[]; tornBytes: number; } => {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset + headBytes <= bytes.length) {
        const end = offset + headBytes + bytes.readUInt32BE(offset);
        const payload = bytes.subarray(offset + headBytes, end);
        if (end > bytes.length || crc32(payload) !== bytes.readUInt32BE(offset + 4)) {
            break;
        }
        payloads.push(payload);
        offset = end;
    }
    return { payloads, tornBytes: bytes.length - offset };
};
