/** Temporary directories of tests. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Runs a test with a directory that is removed afterwards. */
export const withDir = async (test: (dir: string) => Promise<void>): Promise<void> => {
    const dir = await mkdtemp(join(tmpdir(), "journal-"));
    try {
        await test(dir);
    }
    finally {
        await rm(dir, { recursive: true });
    }
};
