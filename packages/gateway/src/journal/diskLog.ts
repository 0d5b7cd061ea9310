/** An append-only log for small disks: segments of checksummed frames, written with group commit. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { mkdir, open, readdir, readFile, unlink, writeFile } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { crc32 } from "node:zlib";

/** Size at which a segment is closed and a new one is created. */
const segmentRolloverBytes = 4 * 1024 * 1024;

/** Size up to which frames are copied together for one write; larger groups are written one after the other. */
const joinedWriteBytes = 256 * 1024;

/** Size of the length and checksum that precede each payload. */
const frameHeaderBytes = 8;

/** Interval at which a directory that cannot be opened is tried again, and after which that is logged again. */
const openRetryMs = 500;
const openLogIntervalMs = 5_000;

/** File that says since when the disk has held all turns that the machine acknowledged. */
const stateFile = "disk-state";

/** File by which earlier versions marked a disk as used, which then counted as complete. */
const legacyMarkerFile = "identity";

const namePattern = /^turns-(\d+)\.log$/;

/** Sequence number of a segment. */
export type SegmentId = number;

/** Where a payload is in the log. */
export interface LogPlace {
    readonly segment: SegmentId;
    /** Offset of the frame that holds the payload. */
    readonly offset: number;
    /** Size of the payload. */
    readonly bytes: number;
}

/**
 * Receives the payloads of a log that is opened, in order. What it keeps of a payload it must copy, which would otherwise keep the memory
 * of its whole segment.
 */
export type PayloadReader = (payload: Buffer, place: LogPlace) => void;

/** What is known of a log when it is opened. */
export interface LogContents {
    /** Number of payloads. */
    readonly payloads: number;
    readonly segments: readonly SegmentId[];
    /** Time for which the log still lacks what an earlier disk of the machine may have held, in milliseconds. */
    readonly incompleteMs: number;
}

interface PendingAppend {
    readonly payload: Buffer;
    readonly resolve: (place: LogPlace) => void;
    readonly reject: (err: Error) => void;
}

/** A log in its own directory. */
export class DiskLog {
    private pending: PendingAppend[] = [];
    private writing = false;
    private written: Promise<void> = Promise.resolve();
    private isClosed = false;
    private current: { readonly segment: SegmentId; readonly file: FileHandle; bytes: number; } | undefined;
    private nextSegment = 0;

    constructor(private readonly dir: string, private readonly log: Logger) {}

    /**
     * Opens the log, and tries again while that fails, as on a disk that is not there yet. A try may pass on payloads again.
     *
     * @param isClosed Whether the log is no longer needed.
     * @throws Error if the log is closed before it could be opened.
     */
    async openWhenPossible(
        newDiskIncompleteMs: number,
        isClosed: () => boolean,
        onPayload: PayloadReader = () => {},
    ): Promise<LogContents> {
        let loggedAt = -Infinity;
        for (;;) {
            try {
                return await this.open(newDiskIncompleteMs, onPayload);
            }
            catch (err) {
                if (isClosed()) {
                    throw err;
                }
                if (performance.now() - loggedAt > openLogIntervalMs) {
                    loggedAt = performance.now();
                    this.log.error("disk not opened", { dir: this.dir, error: asError(err).message });
                }
            }
            await setTimeout(openRetryMs);
        }
    }

    /**
     * Reads the log that earlier processes have written, one segment after the other. An incomplete or corrupt end of a segment is
     * skipped.
     *
     * @param newDiskIncompleteMs Time for which a disk counts as incomplete that has never held a log.
     */
    async open(newDiskIncompleteMs: number, onPayload: PayloadReader = () => {}): Promise<LogContents> {
        await createDirectory(this.dir);
        const names = await readdir(this.dir);
        const segments = names.map(name => namePattern.exec(name)?.[1]).filter(text => text !== undefined).map(Number)
            .sort((a, b) => a - b);
        let payloads = 0;
        for (const segment of segments) {
            const tornBytes = decodeFrames(await readFile(this.segmentPath(segment)), (payload, offset) => {
                payloads += 1;
                onPayload(payload, { segment, offset, bytes: payload.length });
            });
            if (tornBytes > 0) {
                this.log.warn("left out torn end of journal segment", { segment, tornBytes });
            }
        }
        this.nextSegment = (segments.at(-1) ?? -1) + 1;
        const incompleteMs = await this.openState(names, newDiskIncompleteMs);
        return { payloads, segments, incompleteMs };
    }

    /** Resolves with its place once the payload has been synced to disk. */
    append(payload: Buffer): Promise<LogPlace> {
        return new Promise((resolve, reject) => {
            if (this.isClosed) {
                reject(new Error("the log is closed"));
                return;
            }
            this.pending.push({ payload, resolve, reject });
            if (!this.writing) {
                this.writing = true;
                this.written = this.writePending();
            }
        });
    }

    /**
     * Reads a payload again.
     *
     * @throws Error if the segment has been deleted, or the disk has lost the payload.
     */
    async read({ segment, offset, bytes }: LogPlace): Promise<Buffer> {
        const file = await open(this.segmentPath(segment), "r");
        try {
            const frame = Buffer.allocUnsafeSlow(frameHeaderBytes + bytes);
            await file.read(frame, 0, frame.length, offset);
            let payload: Buffer | undefined;
            decodeFrames(frame, whole => payload = whole);
            if (payload === undefined) {
                throw new Error(`segment ${segment} has no whole payload at ${offset}`);
            }
            return payload;
        }
        finally {
            await file.close();
        }
    }

    /** Deletes a segment. Resolves to false without deleting it if it is the active one. */
    async removeSegment(segment: SegmentId): Promise<boolean> {
        if (this.current?.segment === segment) {
            return false;
        }
        await unlink(this.segmentPath(segment));
        return true;
    }

    /** Resolves once nothing is written any more. */
    async close(): Promise<void> {
        this.isClosed = true;
        await this.written;
        await this.current?.file.close();
        this.current = undefined;
    }

    /** Returns the time for which the disk is incomplete; a restart of the process does not shorten it. */
    private async openState(names: readonly string[], newDiskIncompleteMs: number): Promise<number> {
        if (names.includes(stateFile)) {
            const completeAt = parseCompleteAt(await readFile(join(this.dir, stateFile), "utf8"));
            if (completeAt !== undefined) {
                return Math.min(newDiskIncompleteMs, Math.max(0, completeAt - Date.now()));
            }
            this.log.warn("disk state not readable", { dir: this.dir, outcome: "the disk counts as new" });
        }
        else if (names.includes(legacyMarkerFile)) {
            await this.writeState(0);
            return 0;
        }
        await this.writeState(newDiskIncompleteMs);
        return newDiskIncompleteMs;
    }

    private async writeState(incompleteMs: number): Promise<void> {
        const file = await open(join(this.dir, stateFile), "w");
        try {
            await file.writeFile(`complete-at ${Date.now() + incompleteMs}\n`);
            await file.sync();
        }
        finally {
            await file.close();
        }
        await syncDirectory(this.dir);
    }

    private async writePending(): Promise<void> {
        while (this.pending.length > 0) {
            const group = this.pending.splice(0);
            try {
                const places = await this.write(group.map(({ payload }) => payload));
                group.forEach(({ resolve }, index) => resolve(places[index]!));
            }
            catch (err) {
                this.log.error("journal write failed", { error: asError(err).message, payloads: group.length });
                group.forEach(({ reject }) => reject(asError(err)));
                await this.abandonSegment();
            }
        }
        this.writing = false;
    }

    private async write(payloads: readonly Buffer[]): Promise<LogPlace[]> {
        const current = this.current ??= await this.createSegment();
        const { segment } = current;
        let { bytes: end } = current;
        const places = payloads.map(({ length }) => {
            const place: LogPlace = { segment, offset: end, bytes: length };
            end += frameHeaderBytes + length;
            return place;
        });
        const frames = payloads.flatMap(encodeFrame);
        // Writes again what a single write leaves out, as on a disk that is nearly full.
        await writeFile(current.file, end - current.bytes > joinedWriteBytes ? frames : Buffer.concat(frames));
        await current.file.datasync();
        current.bytes = end;
        if (current.bytes >= segmentRolloverBytes) {
            this.current = undefined;
            await current.file.close();
        }
        return places;
    }

    private async createSegment(): Promise<{ segment: SegmentId; file: FileHandle; bytes: number; }> {
        const segment = this.nextSegment++;
        const file = await open(this.segmentPath(segment), "wx");
        await file.sync();
        await syncDirectory(this.dir);
        return { segment, file, bytes: 0 };
    }

    /** Closes the active segment after a failed write, because its end may hold a partial frame. */
    private async abandonSegment(): Promise<void> {
        const abandoned = this.current;
        this.current = undefined;
        await abandoned?.file.close().catch((err: unknown) =>
            this.log.warn("failed to close journal segment", {
                segment: abandoned.segment,
                error: asError(err).message,
            })
        );
    }

    private segmentPath(segment: SegmentId): string {
        return join(this.dir, `turns-${segment}.log`);
    }
}

/** Syncs a directory: not every file system keeps the name of a new file that was only synced itself. */
const syncDirectory = async (dir: string): Promise<void> => {
    const handle = await open(dir, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
};

/** Creates a directory with its parents, and syncs each directory that got a new name. */
const createDirectory = async (dir: string): Promise<void> => {
    const firstCreated = await mkdir(dir, { recursive: true });
    if (firstCreated === undefined) {
        return;
    }
    for (let path = dir; path.length >= firstCreated.length; path = dirname(path)) {
        await syncDirectory(dirname(path));
    }
};

/** Returns the Unix time in milliseconds; undefined if the text was torn by a loss of power. */
const parseCompleteAt = (text: string): number | undefined => {
    const digits = /^complete-at (\d+)\n$/.exec(text)?.[1];
    return digits === undefined ? undefined : Number(digits);
};

const encodeFrame = (payload: Buffer): [Buffer, Buffer] => {
    const header = Buffer.alloc(frameHeaderBytes);
    header.writeUInt32BE(payload.length, 0);
    header.writeUInt32BE(crc32(payload), 4);
    return [header, payload];
};

/** Passes on the whole frames; returns the number of bytes after the last one. */
const decodeFrames = (bytes: Buffer, onPayload: (payload: Buffer, offset: number) => void): number => {
    let offset = 0;
    while (offset + frameHeaderBytes <= bytes.length) {
        const length = bytes.readUInt32BE(offset);
        const end = offset + frameHeaderBytes + length;
        const payload = bytes.subarray(offset + frameHeaderBytes, end);
        // Zeros are what a loss of power may leave of a frame; their checksum is that of an empty payload.
        if (length === 0 || end > bytes.length || crc32(payload) !== bytes.readUInt32BE(offset + 4)) {
            break;
        }
        onPayload(payload, offset);
        offset = end;
    }
    return bytes.length - offset;
};
