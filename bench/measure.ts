/** Measures the slopes behind docs/CAPACITY.md, and keeps the page's tables as this script computes them. */

import { readFileSync, writeFileSync } from "node:fs";

import { countedRows } from "./capacityCounted.js";

import type { Row } from "./capacityModel.js";
import { timedRows } from "./capacityTimed.js";

const page = "docs/CAPACITY.md";

const render = (rows: readonly Row[]): string =>
    [
        "| what | measured points | slope | at the target | mechanism |",
        "| --- | --- | --- | --- | --- |",
        ...rows.map(({ atTarget, mechanism, points, slope, what }) =>
            `| ${what} | ${points} | ${slope} | ${atTarget} | ${mechanism} |`
        ),
    ].join("\n");

/** Replaces what stands between two markers of the page. */
const replaceBlock = (text: string, name: string, block: string): string => {
    const pattern = new RegExp(`(<!-- ${name} -->\\n)[\\s\\S]*?(\\n<!-- /${name} -->)`);
    return text.replace(pattern, (_, start: string, end: string) => start + block + end);
};

const counted = render(countedRows());
const text = readFileSync(page, "utf8");
if (process.argv.includes("--check")) {
    const isSame = replaceBlock(text, "counted", counted) === text;
    console.log(
        isSame ? `${page} shows the counted figures as they are.` : `${page} is stale. Run: npm run measure -- --write`,
    );
    process.exit(isSame ? 0 : 1);
}
const timed = render(timedRows());
console.log(`${counted}\n\n${timed}`);
if (process.argv.includes("--write")) {
    writeFileSync(page, replaceBlock(replaceBlock(text, "counted", counted), "timed", timed));
}
