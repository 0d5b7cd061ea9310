/** Connections of a front to the machine with a disk that a test runs as `disk-1`. */
import { Progress } from "@marigolddrift/common";
import { packTurn, PeerClient } from "@marigolddrift/gateway";
import type { PeerAddress } from "@marigolddrift/gateway";
import type { PlatformStandin } from "@marigolddrift/platform";

import { turnOf } from "../gateway/journalNode.js";

const answerTimeoutMs = 1_000;
const turnRetentionMs = 60_000;

/** Key under which the machine registers in the store. */
export const memberKey = "marigolddrift/members/disk-1";

/** Connects to the machine as it has registered in the store. */
export const connectToDisk = (platform: PlatformStandin): PeerClient => {
    const address = JSON.parse(platform.state.get(memberKey)!.value.toString()) as PeerAddress;
    const key = platform.state.get("marigolddrift/peer-key")!.value.toString();
    return new PeerClient(address, () => key);
};

/** Sends a copy of a turn and returns what the machine says about it. */
export const keepTurn = async (client: PeerClient, id: string, copy: number): Promise<unknown> => {
    const progress = new Progress(answerTimeoutMs);
    try {
        const turn = { id, record: packTurn(turnOf(id)), keepMs: turnRetentionMs, copy, holders: [] };
        return await client.ask({ kind: "keepTurn", turn }, progress);
    }
    finally {
        progress.dispose();
    }
};
