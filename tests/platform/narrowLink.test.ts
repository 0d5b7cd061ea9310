import { asError, Progress, silentLogger } from "@marigolddrift/common";
import { createTurn, Gateway, JournalServer } from "@marigolddrift/gateway";
import type { TurnRecord } from "@marigolddrift/gateway";
import { callHeaders, NarrowLink, PlatformStandin, PlatformStore, storeLayout } from "@marigolddrift/platform";
import { expect } from "earl";
import { randomBytes } from "node:crypto";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";

import { conversationOf } from "../gateway/conversations.js";
import { config, waitUntil } from "./deployment.js";

const membersPrefix = "marigolddrift/members/";
const host = "127.0.0.1";

const promptBytes = 15_000;
const turnsPerProgram = 6;
const laterTurnBytes = 2_000;

/** Programs begun a second. */
const calmRate = 4;
const burstRate = 40;

/** Time within which the platform asks for recovery from an overload. */
const recoverMs = 6_000;

/** Time that a turn may wait for its record: two crossings of the link and some queueing. */
const maxSaveMs = 250;

interface Save {
    readonly endedAt: number;
    readonly ms: number;
    readonly error: string | undefined;
}

const delay = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** A region with a front instance and one journal server, behind a narrow link from the store and two other servers. */
class TwoRegions {
    readonly saves: Save[] = [];
    readonly link = new NarrowLink({ bytesPerMs: 1_500, delayMs: 20 });
    savedBytes = 0;
    private readonly store = new PlatformStandin();
    private readonly journals: JournalServer[] = [];
    private readonly dirs: string[] = [];
    private front!: Gateway;
    private nextProgram = 0;

    async start(): Promise<void> {
        await this.store.start();
        this.store.put("op/config", config(1));
        for (const machine of ["near-1", "near-2"]) {
            await this.addJournal(machine, "north", this.store.address);
            await this.listBehindLink(machine);
        }
        const storeAddress = await this.link.open(this.store.address);
        await this.addJournal("far-1", "south", storeAddress);
        this.front = new Gateway({
            instance: "front-1",
            machine: "front",
            zone: "south",
            regionOf: zone => zone,
            host,
            port: 0,
            peerPorts: [0],
            store: new PlatformStore(storeAddress),
            layout: storeLayout,
            protocol: callHeaders,
            toleratedLosses: 1,
            storeSilenceMs: 5_000,
            changeDelayLimitMs: 2_500,
            memory: { replyBytes: 24 * 1024 * 1024 },
            graceMs: 4_000,
            log: silentLogger,
        });
        await this.front.start();
        await delay(1_500); // Connections to the journal servers are opened one after the other.
    }

    /** Runs programs that begin at a steady rate. */
    async run(programsPerSecond: number, ms: number): Promise<void> {
        const endsAt = performance.now() + ms;
        while (performance.now() < endsAt) {
            void this.runProgram();
            await delay(1_000 / programsPerSecond);
        }
    }

    async close(): Promise<void> {
        this.front.close();
        await Promise.all(this.journals.map(journal => journal.close()));
        this.link.close();
        this.store.close();
        await Promise.all(this.dirs.map(dir => rm(dir, { recursive: true })));
    }

    private async runProgram(): Promise<void> {
        const program = `p${this.nextProgram++}`;
        let last: TurnRecord | undefined;
        for (let index = 0; index < turnsPerProgram; index++) {
            const input = randomBytes(index === 0 ? promptBytes : laterTurnBytes / 2);
            const output = randomBytes(laterTurnBytes / 2);
            const content = { id: `${program}-${index}`, input, output, keepMs: 60_000 };
            const turn = createTurn(content, last && conversationOf(last), Date.now());
            this.savedBytes += input.length + laterTurnBytes / 2;
            await this.save(program, turn);
            last = turn;
            await delay(100);
        }
    }

    private async save(program: string, turn: TurnRecord): Promise<void> {
        const startedAt = performance.now();
        const progress = new Progress(4_000);
        let error: string | undefined;
        try {
            await this.front.turns.save({ turn, program, keepMs: 60_000 }, progress);
        }
        catch (err) {
            error = asError(err).message;
        }
        finally {
            progress.dispose();
        }
        const endedAt = performance.now();
        this.saves.push({ endedAt, ms: endedAt - startedAt, error });
    }

    private async addJournal(machine: string, region: string, storeAddress: string): Promise<void> {
        const dir = await mkdtemp(join(tmpdir(), "narrow-link-"));
        const journal = new JournalServer({
            peerAddress: { instance: `${machine}-1`, host, zone: region, region },
            machine,
            peerPort: 0,
            dir,
            firstStart: true,
            isCounted: () => true,
            catchUpMs: 0,
            mayTakeTurns: Promise.resolve(),
            store: new PlatformStore(storeAddress),
            log: silentLogger,
        });
        this.dirs.push(dir);
        this.journals.push(journal);
        await journal.start();
    }

    /** Lists a machine under an address that leads across the link, since only the other region is to reach it. */
    private async listBehindLink(machine: string): Promise<void> {
        const key = `${membersPrefix}${machine}`;
        await waitUntil(() => this.store.state.get(key) !== undefined);
        const listed = JSON.parse(this.store.state.get(key)!.value.toString()) as { port: number; };
        const address = await this.link.open(`${host}:${listed.port}`);
        this.store.put(key, { ...listed, port: Number(address.split(":")[1]) });
    }
}

describe("narrow link between regions", () => {
    it("should carry each turn about once, and save turns as fast as before soon after an overload", async () => {
        const regions = new TwoRegions();
        await regions.start();
        try {
            await regions.run(calmRate, 3_000);
            await delay(2_500); // The journals flush.
            const crossings = regions.link.out.sentBytes / regions.savedBytes;
            await regions.run(burstRate, 2_000);
            await regions.run(calmRate, recoverMs);
            const recoveredAt = performance.now();
            await regions.run(calmRate, 2_000);
            const recovered = regions.saves.filter(({ endedAt }) => endedAt > recoveredAt);
            expect(recovered.length).toSatisfy(count => count > calmRate * turnsPerProgram);
            expect(recovered.filter(({ ms, error }) => ms > maxSaveMs || error !== undefined)).toEqual([]);
            expect(crossings).toSatisfy(count => count < 2);
        }
        finally {
            await regions.close();
        }
    });
});
