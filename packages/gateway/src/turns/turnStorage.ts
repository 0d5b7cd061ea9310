/** Where turns are kept: in memory, on machines with disks, and in the platform's store. */
import type { Logger } from "@marigolddrift/common";
import type { VersionedStore } from "@marigolddrift/store";

import { JournalArchive } from "../journal/journalArchive.js";
import type { JournalPlacement } from "../journal/journalArchive.js";
import type { Peers } from "../peers/peers.js";
import { BatchWriter } from "../state/batchWriter.js";
import { StoreArchive } from "./storeArchive.js";
import { TurnStore } from "./turnStore.js";
import type { TurnStoreOptions } from "./turnStore.js";

/** Time for which writes are collected into a batch. */
const batchDelayMs = 3;

/** Puts together the places in which an instance keeps turns. */
export class TurnStorage {
    /** Writes to the platform's store. */
    readonly writer: BatchWriter;
    readonly journalArchive: JournalArchive;
    readonly turns: TurnStore;
    private readonly storeArchive: StoreArchive;

    constructor(
        store: VersionedStore,
        peers: Peers,
        placement: JournalPlacement,
        log: Logger,
        memory?: Pick<TurnStoreOptions, "conversations" | "saves">,
    ) {
        this.writer = new BatchWriter(store, batchDelayMs, log);
        this.storeArchive = new StoreArchive(store, this.writer, log);
        this.journalArchive = new JournalArchive(peers, this.storeArchive, placement, log);
        this.turns = new TurnStore(this.journalArchive, log, memory);
    }

    close(): void {
        this.storeArchive.close();
    }
}
