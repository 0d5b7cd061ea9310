/** The program as a process that a test has started. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";

/** Characters of the output that tell why a process did not start. */
const lastOutputLength = 2_000;

/** A process with its output, and how it ended. */
export class ChildProgram {
    /** Code or signal with which the process ended; undefined while it runs. */
    exit: string | undefined;
    private log = "";
    private errors = "";
    private readonly child: ChildProcess;

    /** @param args Arguments of the runtime: its options, the program and the program's arguments. */
    constructor(args: readonly string[], settingsFile: string) {
        this.child = spawn(process.execPath, args, {
            env: { ...process.env, MARIGOLDDRIFT_SETTINGS: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout!.on("data", (data: Buffer) => this.log += String(data));
        this.child.stderr!.on("data", (data: Buffer) => this.errors += String(data));
        this.child.once("exit", (code, signal) => this.exit = signal ?? String(code));
    }

    get pid(): number {
        return this.child.pid!;
    }

    /** The end of what the process has written, errors last. */
    get lastOutput(): string {
        return `${this.log}${this.errors}`.slice(-lastOutputLength);
    }

    /** Lines of the log with an event. */
    logLines(event: string): string[] {
        return this.log.split("\n").filter(line => line.includes(`"event":"${event}"`));
    }

    /** Reads no more of the log, as a reader that hangs. */
    stopReading(): void {
        this.child.stdout!.pause();
    }

    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Resolves when the process has ended. */
    async kill(): Promise<void> {
        if (this.exit === undefined) {
            const ended = new Promise(resolve => this.child.once("exit", resolve));
            this.signal("SIGKILL");
            await ended;
        }
    }
}
