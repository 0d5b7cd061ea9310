/** An append-only log for small disks: segments of checksummed frames, written with group commit. */
import { asError } from "@marigolddrift/common";
import type { Logger } from "@marigolddrift/common";
import { mkdir, open, readdir, readFile, unlink } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { crc32 } from "node:zlib";

/** Size at which a segment is closed and a new one is created. */
const segmentRolloverBytes = 4 * 1024 * 1024;

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

/** A payload read from the log, with its segment. */
export interface LoggedPayload {
    readonly segment: SegmentId;
    readonly payload: Buffer;
}

/** Contents of a log when it is opened. */
export interface LogContents {
    readonly payloads: readonly LoggedPayload[];
    readonly segments: readonly SegmentId[];
    /** Time for which the log still lacks what an earlier disk of the machine may have held, in milliseconds. */
    readonly incompleteMs: number;
}

interface PendingAppend {
    readonly payload: Buffer;
    readonly resolve: (segment: SegmentId) => void;
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
     * Opens the log, and tries again while that fails, as on a disk that is not there yet.
     *
     * @param isClosed Whether the log is no longer needed.
     * @throws Error if the log is closed before it could be opened.
     */
    async openWhenPossible(newDiskIncompleteMs: number, isClosed: () => boolean): Promise<LogContents> {
        let loggedAt = -Infinity;
        for (;;) {
            try {
                return await this.open(newDiskIncompleteMs);
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
     * Reads the log that earlier processes have written. An incomplete or corrupt end of a segment is skipped.
     *
     * @param newDiskIncompleteMs Time for which a disk counts as incomplete that has never held a log.
     */
    async open(newDiskIncompleteMs: number): Promise<LogContents> {
        await createDirectory(this.dir);
        const names = await readdir(this.dir);
        const segments = names.map(name => namePattern.exec(name)?.[1]).filter(text => text !== undefined).map(Number)
            .sort((a, b) => a - b);
        const payloadsRead: LoggedPayload[] = [];
        for (const segment of segments) {
            const { payloads, tornBytes } = decodeFrames(await readFile(this.segmentPath(segment)));
            payloads.forEach(payload => payloadsRead.push({ segment, payload }));
            if (tornBytes > 0) {
                this.log.warn("left out torn end of journal segment", { segment, tornBytes });
            }
        }
        this.nextSegment = (segments.at(-1) ?? -1) + 1;
        const incompleteMs = await this.openState(names, newDiskIncompleteMs);
        return { payloads: payloadsRead, segments, incompleteMs };
    }

    /** Resolves with the segment once the payload has been synced to disk. */
    append(payload: Buffer): Promise<SegmentId> {
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
                const segment = await this.write(Buffer.concat(group.flatMap(({ payload }) => encodeFrame(payload))));
                group.forEach(({ resolve }) => resolve(segment));
            }
            catch (err) {
                this.log.error("journal write failed", { error: asError(err).message, payloads: group.length });
                group.forEach(({ reject }) => reject(asError(err)));
                await this.abandonSegment();
            }
        }
        this.writing = false;
    }

    private async write(bytes: Buffer): Promise<SegmentId> {
        const current = this.current ??= await this.createSegment();
        // Writes again what a single write leaves out, as on a disk that is nearly full.
        await current.file.writeFile(bytes);
        await current.file.datasync();
        current.bytes += bytes.length;
        if (current.bytes >= segmentRolloverBytes) {
            this.current = undefined;
            await current.file.close();
        }
        return current.segment;
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

const decodeFrames = (bytes: Buffer): { payloads: Buffer[]; tornBytes: number; } => {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset + frameHeaderBytes <= bytes.length) {
        const length = bytes.readUInt32BE(offset);
        const end = offset + frameHeaderBytes + length;
        const payload = bytes.subarray(offset + frameHeaderBytes, end);
        // Zeros are what a loss of power may leave of a frame; their checksum is that of an empty payload.
        if (length === 0 || end > bytes.length || crc32(payload) !== bytes.readUInt32BE(offset + 4)) {
            break;
        }
        payloads.push(payload);
        offset = end;
    }
    return { payloads, tornBytes: bytes.length - offset };
};
