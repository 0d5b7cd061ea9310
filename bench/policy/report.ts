/** Plots of the bench's results, by vega-lite. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import * as vega from "vega";
import { compile } from "vega-lite";
import type { TopLevelSpec } from "vega-lite";

import type { BenchLine } from "../policyBench.js";

/** A plot over the loads, a line per policy and a panel per user. */
const plot = (title: string, field: string, values: readonly object[]): TopLevelSpec => ({
    title,
    data: { values: [...values] },
    facet: { field: "panel", title: "" },
    columns: 2,
    spec: {
        width: 360,
        height: 240,
        mark: { type: "line", point: true },
        encoding: {
            x: { field: "load", type: "quantitative", title: "load, share of capacity" },
            y: { field, type: "quantitative", title },
            color: { field: "policy", type: "nominal" },
        },
    },
});

const toValues = (lines: readonly BenchLine[]): object[] =>
    lines.map(({ fault, load, policy, result, user }) => ({
        panel: fault === "none" ? user : `${user}, ${fault}`,
        policy,
        load,
        p95: result.allPrograms.p95 / 1000,
        wasted: result.wastedShare * 100,
        firstToken: result.firstToken.p95,
        goodput: result.goodput,
    }));

const render = async (spec: TopLevelSpec): Promise<string> => {
    const view = new vega.View(vega.parse(compile(spec).spec), { renderer: "none" });
    return await view.toSVG();
};

/** Writes the plots and a page that shows them. */
export const drawReport = async (lines: readonly BenchLine[], folder: string): Promise<void> => {
    const values = toValues(lines);
    const plots = [
        ["program latency, 95th percentile, s", "p95"],
        ["wasted cache, % of memory held", "wasted"],
        ["first token, 95th percentile, ms", "firstToken"],
        ["goodput, share of what capacity allows", "goodput"],
    ] as const;
    const names: string[] = [];
    for (const [title, field] of plots) {
        writeFileSync(join(folder, `${field}.svg`), await render(plot(title, field, values)));
        names.push(`${field}.svg`);
    }
    const images = names.map(name => `<p><img src="${name}" alt="${name}"></p>`).join("\n");
    writeFileSync(join(folder, "index.html"), `<!doctype html>\n<title>Policy bench</title>\n${images}\n`);
};
