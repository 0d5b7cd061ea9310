/** One process of a machine. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";

import type { Machine } from "./machine.js";
import { bounds } from "./soakSettings.js";

/** Files that a process runs, reads and writes. */
export interface ProcessFiles {
    readonly program: string;
    readonly settings: string;
    /** Receives what the process prints, after what earlier processes printed. */
    readonly log: string;
}

/** Log line of a machine with a disk once it has read the disk and takes turns. */
const journalOpenEvent = "journal is open";

/** A process from its start to its end. */
export class SoakProcess {
    /** Resolves once the process has ended. */
    readonly ended: Promise<void>;
    private readonly child: ChildProcess;
    private isTold = false;
    private isOver = false;
    private isOpen = false;

    /** @param onUnexpectedExit Called with the exit code or the signal if the process ends without having been told to. */
    constructor(role: Machine["role"], files: ProcessFiles, onUnexpectedExit: (outcome: string) => void) {
        this.child = spawn(process.execPath, ["--max-old-space-size=96", files.program, role], {
            env: { ...process.env, MARIGOLDDRIFT_SETTINGS: files.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(files.log, { flags: "a" });
        this.child.stdout?.pipe(log, { end: false });
        this.child.stderr?.pipe(log, { end: false });
        createInterface({ input: this.child.stdout! }).on(
            "line",
            line => this.isOpen ||= line.includes(journalOpenEvent),
        );
        this.ended = new Promise(resolve => {
            this.child.once("exit", (code, signal) => {
                this.isOver = true;
                if (!this.isTold) {
                    onUnexpectedExit(String(code ?? signal));
                }
                resolve();
            });
        });
    }

    /** Whether the process was told to end; true from then on. */
    get isStopping(): boolean {
        return this.isTold;
    }

    /** Undefined if the process could not be started. */
    get pid(): number | undefined {
        return this.child.pid;
    }

    get hasEnded(): boolean {
        return this.isOver;
    }

    /** Whether the process has logged that its journal is open. */
    get isJournalOpen(): boolean {
        return this.isOpen;
    }

    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Tells the process to end, and kills it at the end of its grace. Resolves once it has ended. */
    async stop(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
        this.isTold = true;
        this.child.kill(signal);
        const graceTimer = setTimeout(() => this.child.kill("SIGKILL"), bounds.graceS * 1_000);
        await this.ended;
        clearTimeout(graceTimer);
    }
}
