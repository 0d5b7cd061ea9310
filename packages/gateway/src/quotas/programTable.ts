/** Programs that have started, by id. */

/** Most programs that are remembered; the one that was used longest ago is dropped first. */
const maxPrograms = 16_384;

/** Remembers programs for a time after their last request. */
export class ProgramTable {
    /** Time of the last request, in the order of these times. */
    private readonly usedAt = new Map<string, number>();

    constructor(private readonly ttlMs: number) {}

    has(program: string, now: number): boolean {
        const at = this.usedAt.get(program);
        return at !== undefined && now - at < this.ttlMs;
    }

    /** Records a request of a program. */
    use(program: string, now: number): void {
        this.usedAt.delete(program);
        this.usedAt.set(program, now);
        for (const [oldest, at] of this.usedAt) {
            if (now - at < this.ttlMs && this.usedAt.size <= maxPrograms) {
                return;
            }
            this.usedAt.delete(oldest);
        }
    }
}
