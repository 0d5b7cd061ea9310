import { silentLogger } from "@marigolddrift/common";
import { ActiveConfig, StallMonitor } from "@marigolddrift/gateway";
import { storeLayout } from "@marigolddrift/platform";
import { expect } from "earl";
import { describe, it, mock } from "node:test";

import { config } from "../platform/deployment.js";

const stored = (value: unknown, revision = 1, key = "op/config") => ({
    key,
    value: Buffer.from(JSON.stringify(value)),
    revision,
});

describe("active configuration", () => {
    it("should take newer versions only, whatever the order in which they are read", () => {
        const applied: number[] = [];
        const active = new ActiveConfig(storeLayout, ({ version }) => applied.push(version), silentLogger);
        active.apply(stored(config(5), 10), "store");
        active.apply(stored(config(9), 12), "10.0.0.1:7380");
        active.apply(stored(config(5), 10), "10.0.0.2:7380");
        active.apply(stored(config(9), 13), "store");
        expect([applied, active.table?.config.version]).toEqual([[5, 9], 9]);
    });

    it("should keep the version in force when a value is invalid or belongs to another key", () => {
        const active = new ActiveConfig(storeLayout, () => {}, silentLogger);
        active.apply(stored(config(5)), "store");
        active.apply(stored({ ...config(7), routes: "none" }), "store");
        active.apply(stored(config(8), 2, "op/config-draft"), "store");
        expect(active.table?.config.version).toEqual(5);
    });
});

describe("stall monitor", () => {
    it("should log a timer that fires late", async () => {
        const warn = mock.fn();
        const monitor = new StallMonitor({ ...silentLogger, warn });
        await new Promise(resolve => setTimeout(resolve, 100));
        const blockedUntil = performance.now() + 800;
        while (performance.now() < blockedUntil) {
            // Blocks the event loop.
        }
        await new Promise(resolve => setTimeout(resolve, 10));
        monitor.close();
        expect(warn.mock.callCount()).toEqual(1);
        expect(monitor.lastStallMs).toSatisfy(ms => ms >= 250);
    });
});
