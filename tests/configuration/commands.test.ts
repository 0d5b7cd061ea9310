import { BundleCommands, diffIni, UsageError } from "@marigolddrift/cli";
import { createKeyPair } from "@marigolddrift/common";
import { StoreStandin } from "@marigolddrift/standins";
import { BundleConflictError } from "@marigolddrift/store";
import { expect } from "earl";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";

import { barbeDouce, renderBundle } from "../../bench/sampleBundle.js";

describe("bundle commands", () => {
    const store = new StoreStandin();
    const folder = mkdtempSync(join(tmpdir(), "marigolddrift-"));
    const keyPairs = { amira: createKeyPair(), basil: createKeyPair() };
    let address = "";

    before(async () => {
        address = `127.0.0.1:${await store.server.listen(0)}`;
        writeFileSync(join(folder, "amira.key"), keyPairs.amira.privateKey);
        writeFileSync(join(folder, "basil.key"), keyPairs.basil.privateKey);
    });
    after(() => store.close());

    const commandsFor = (operator: "amira" | "basil", options: object = {}): BundleCommands =>
        new BundleCommands({ store: address, operator, keyFile: join(folder, `${operator}.key`), ...options });
    const writeBundle = (version: number): string => {
        const keys = { amira: keyPairs.amira.publicKey, basil: keyPairs.basil.publicKey };
        const file = join(folder, `bundle-${version}.ini`);
        writeFileSync(
            file,
            renderBundle(barbeDouce, { engines: ["tunis-a=h:1"], services: ["tunis-a=h:2"] }, keys, { version }),
        );
        return file;
    };

    it("should take a version from draft to in force, region by region", async () => {
        await commandsFor("amira").propose(writeBundle(1));
        expect(await commandsFor("amira").status()).toEqual({ newest: 1, state: "draft", rolledOut: 0, regions: [] });
        await expect(commandsFor("basil").signOff()).toBeRejectedWith(
            BundleConflictError,
            "Version 1 has no review yet. Run \"bundle review\" first.",
        );
        await commandsFor("basil").review();
        await expect(commandsFor("amira").signOff()).toBeRejectedWith(BundleConflictError);
        await expect(commandsFor("amira", { region: "tunis-north" }).rollout()).toBeRejectedWith(BundleConflictError);
        await commandsFor("basil").signOff();
        await commandsFor("amira", { region: "tunis-north" }).rollout();
        expect((await commandsFor("amira").status() as { state: string; }).state).toEqual("rolling out");
        await commandsFor("amira", { region: "sfax-south" }).rollout();
        expect((await commandsFor("amira").status() as { state: string; }).state).toEqual("in force");
    });

    it("should accept only one proposal when two operators name the same version concurrently", async () => {
        const results = await Promise.allSettled([
            commandsFor("amira").propose(writeBundle(2)),
            commandsFor("basil").propose(writeBundle(2)),
        ]);
        const rejected = results.filter(result => result.status === "rejected").map(result => result.reason as Error);
        expect(rejected.length).toEqual(1);
        expect(rejected[0]).toBeA(BundleConflictError);
    });

    it("should not leave an operator unsure of the outcome when the store's reply is lost", async () => {
        const versions = ((await commandsFor("amira").history()) as unknown[]).length;
        const file = writeBundle(versions + 1);
        store.server.faults.apply({ fault: "dropReply", on: true, ms: 0, count: 1 });
        const proposed = await commandsFor("amira").propose(file).then(() => true, () => false);
        store.server.faults.apply({ fault: "dropReply", on: false, ms: 0, count: 0 });
        const after = ((await commandsFor("amira").history()) as unknown[]).length;
        expect(after - versions).toEqual(proposed ? 1 : 0);
    });

    it("should undo a change by proposing the older text as a new version", async () => {
        const before = ((await commandsFor("amira").history()) as unknown[]).length;
        const result = await commandsFor("amira", { version: 1 }).rollForward();
        expect(result).toEqual({ proposed: before + 1, textOf: 1, by: "amira" });
    });

    it("should reject a missing option, an unknown version and an unknown region", async () => {
        await expect(new BundleCommands({}).status()).toBeRejectedWith(UsageError);
        await expect(commandsFor("amira", { version: 99 }).rollout()).toBeRejectedWith(UsageError);
        await expect(commandsFor("amira", { version: 1, region: "nowhere" }).rollout()).toBeRejectedWith(UsageError);
    });

    it("should list differences by section and key", () => {
        expect(diffIni("[a]\nx = 1\ny = 2\n", "[a]\nx = 3\n[b]\nz = 1\n")).toEqual([
            "a.x: 1 -> 3",
            "a.y: 2 -> (none)",
            "b.z: (none) -> 1",
        ]);
    });
});
