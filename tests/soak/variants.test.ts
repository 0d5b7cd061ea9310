import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { buildVariant, variants } from "../../bench/soak/variants.js";

describe("broken variants of the program", () => {
    let dir: string;

    before(() => {
        dir = mkdtempSync(join(tmpdir(), "variants-"));
    });

    after(() => rmSync(dir, { recursive: true }));

    // Guards against variants that no longer build since the code that they break has moved (101 and 102 did not for a while).
    for (const variant of variants) {
        it(`should build: ${variant.name}`, async () => {
            const program = join(dir, `${variant.seed}.cjs`);
            await buildVariant(variant, program);
            statSync(program);
        });
    }
});
