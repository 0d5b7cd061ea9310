import { BundleCommands, diffLines, UsageError } from "@marigolddrift/cli";
import { createKeyPair } from "@marigolddrift/common";
import { StoreStandin } from "@marigolddrift/standins";
import { BundleConflictError } from "@marigolddrift/store";
import { expect } from "earl";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { barbeDouce, renderBundle } from "../../bench/sampleBundle.js";

describe("the bundle commands", () => {
    const store = new StoreStandin();
    const folder = mkdtempSync(join(tmpdir(), "marigolddrift-"));
    const pairs = { amira: createKeyPair(), basil: createKeyPair() };
    let address = "";

    before(async () => {
        address = `127.0.0.1:${await store.server.listen(0)}`;
        writeFileSync(join(folder, "amira.key"), pairs.amira.privateKey);
        writeFileSync(join(folder, "basil.key"), pairs.basil.privateKey);
    });
    after(() => store.close());

    const as = (operator: "amira" | "basil", more: object = {}): BundleCommands =>
        new BundleCommands({ store: address, operator, keyFile: join(folder, `${operator}.key`), ...more });
    const write = (version: number): string => {
        const keys = { amira: pairs.amira.publicKey, basil: pairs.basil.publicKey };
        const file = join(folder, `bundle-${version}.ini`);
        writeFileSync(
            file,
            renderBundle(barbeDouce, { engines: ["tunis-a=h:1"], services: ["tunis-a=h:2"] }, keys, { version }),
        );
        return file;
    };

    it("should lead a version from draft to in force, region by region", async () => {
        await as("amira").propose(write(1));
        expect(await as("amira").status()).toEqual({ newest: 1, state: "draft", rolledOut: 0, regions: [] });
        await expect(as("basil").signOff()).toBeRejectedWith(
            BundleConflictError,
            "Version 1 has no review yet. Run \"bundle review\" first.",
        );
        await as("basil").review();
        await expect(as("amira").signOff()).toBeRejectedWith(BundleConflictError);
        await expect(as("amira", { region: "tunis-north" }).rollout()).toBeRejectedWith(BundleConflictError);
        await as("basil").signOff();
        await as("amira", { region: "tunis-north" }).rollout();
        expect((await as("amira").status() as { state: string; }).state).toEqual("rolling out");
        await as("amira", { region: "sfax-south" }).rollout();
        expect((await as("amira").status() as { state: string; }).state).toEqual("in force");
    });

    it("should let one of two racing operators win and name the other's version", async () => {
        const results = await Promise.allSettled([as("amira").propose(write(2)), as("basil").propose(write(2))]);
        const lost = results.filter(result => result.status === "rejected").map(result => result.reason as Error);
        expect(lost.length).toEqual(1);
        expect(lost[0]).toBeA(BundleConflictError);
    });

    it("should not leave an operator in doubt when a reply of the store is lost", async () => {
        const versions = ((await as("amira").history()) as unknown[]).length;
        const file = write(versions + 1);
        store.server.faults.apply({ fault: "dropReply", on: true, ms: 0, count: 1 });
        const proposed = await as("amira").propose(file).then(() => true, () => false);
        store.server.faults.apply({ fault: "dropReply", on: false, ms: 0, count: 0 });
        const after = ((await as("amira").history()) as unknown[]).length;
        expect(after - versions).toEqual(proposed ? 1 : 0);
    });

    it("should undo a change only by a newer version", async () => {
        const before = ((await as("amira").history()) as unknown[]).length;
        const result = await as("amira", { version: 1 }).rollForward();
        expect(result).toEqual({ proposed: before + 1, textOf: 1, by: "amira" });
    });

    it("should say what an option or a region lacks", async () => {
        await expect(new BundleCommands({}).status()).toBeRejectedWith(UsageError);
        await expect(as("amira", { version: 99 }).rollout()).toBeRejectedWith(UsageError);
        await expect(as("amira", { version: 1, region: "nowhere" }).rollout()).toBeRejectedWith(UsageError);
    });

    it("should show differences by section and key", () => {
        expect(diffLines("[a]\nx = 1\ny = 2\n", "[a]\nx = 3\n[b]\nz = 1\n")).toEqual([
            "a.x: 1 -> 3",
            "a.y: 2 -> (none)",
            "b.z: (none) -> 1",
        ]);
    });
});
