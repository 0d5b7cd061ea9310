/** Many instances in front of the same upstreams, each with a few calls. */
import { FairQueue, loadKey, relativeLoad, usualLoad } from "@marigolddrift/policy";
import type { FairCall } from "@marigolddrift/policy";
import { createRandom } from "@marigolddrift/workload";
import { expect } from "earl";
import { describe, it } from "node:test";

const instances = 60;
const workspaces = 300;
const slots = 60;
const callMs = 200;
const limitMs = 2_000;
const endsAt = 12_000;

/** Calls that may be in flight, as a multiple of the slots; those beyond the slots wait at the upstream. */
const inFlightPerSlot = 1.5;

/** Age of what an instance knows of the calls in flight elsewhere. */
const reportMs = 200;

interface Sent {
    readonly call: FairCall;
    readonly from: Instance;
    endsAt: number;
}

interface Instance {
    readonly queue: FairQueue;
    inFlight: number;
    inFlightAtReport: number;
}

/** Demand of all usual workspaces together and of the hot one, as a share of the capacity. */
interface Demand {
    readonly usual: number;
    readonly hot: number;
}

/** Share of the calls of usual workspaces that start in time, and the part of the slot time that is used. */
export const replayRegion = (isLoadShared: boolean, demand: Demand): { served: number; used: number; } => {
    const random = createRandom(4);
    /** The upstream's calls in order of arrival; the first ones run. */
    let sent: Sent[] = [];
    let reported: Record<string, number> = {};
    let usual = 0;
    let inFlightAtReport = 0;
    // Each instance knows its own calls, and those of the others as of the last report.
    const knownInFlight = (of: Instance): number => inFlightAtReport - of.inFlightAtReport + of.inFlight;
    const createInstance = (): Instance => {
        const instance: Instance = {
            queue: new FairQueue({
                relativeLoadOf: (urgency, workspace, weight) =>
                    isLoadShared ? relativeLoad(reported[loadKey(urgency, workspace)] ?? 0, weight, usual) : 0,
                slots: () => ({ slots, inFlight: knownInFlight(instance), instances }),
            }),
            inFlight: 0,
            inFlightAtReport: 0,
        };
        return instance;
    };
    const all = Array.from({ length: instances }, createInstance);
    const waiting = new Map<FairCall, Instance>();
    const perMs = (demand.usual + demand.hot) * slots / callMs;
    let [asked, inTime, due, started] = [0, 0, 0, 0];
    for (let now = 0; now < endsAt; now++) {
        for (const { call, from } of sent.filter(done => done.endsAt <= now)) {
            from.inFlight -= 1;
            from.queue.onEnded(call, callMs, now);
        }
        sent = sent.filter(call => call.endsAt > now);
        for (const call of sent.slice(0, slots).filter(starting => starting.endsAt === Infinity)) {
            call.endsAt = now + callMs;
            started += 1;
            inTime += isCounted(call.call) && now < call.call.deadline ? 1 : 0;
        }
        if (now % reportMs === 0) {
            reported = {};
            all.forEach(({ queue }) => queue.addCalls(reported));
            usual = usualLoad(1, reported);
            inFlightAtReport = sent.length;
            all.forEach(instance => instance.inFlightAtReport = instance.inFlight);
        }
        for (due += perMs; due >= 1; due--) {
            const isHot = random() < demand.hot / (demand.usual + demand.hot);
            const call = createCall(isHot ? "hot" : `workspace-${Math.floor(random() * workspaces)}`, now);
            const instance = all[Math.floor(random() * instances)]!;
            instance.queue.countOffered(call, now);
            instance.queue.add(call, now);
            waiting.set(call, instance);
            asked += isCounted(call) ? 1 : 0;
        }
        for (const [call, { queue }] of waiting) {
            if (now >= call.deadline) {
                waiting.delete(call);
                queue.remove(call, now);
            }
        }
        for (const instance of all) {
            while (instance.queue.size > 0 && knownInFlight(instance) < slots * inFlightPerSlot) {
                const call = instance.queue.next(now);
                if (call === undefined) {
                    break;
                }
                instance.queue.onSent(call, now);
                waiting.delete(call);
                instance.inFlight += 1;
                sent.push({ call, from: instance, endsAt: Infinity });
            }
        }
    }
    return { served: inTime / asked, used: started * callMs / (slots * endsAt) };
};

/** Usual workspaces are counted, as far as their calls can start before the end. */
const isCounted = ({ workspace, deadline }: FairCall): boolean => workspace !== "hot" && deadline <= endsAt;

const createCall = (workspace: string, now: number): FairCall => ({
    program: "p",
    workspace,
    attainedMs: 0,
    priority: 1,
    enqueuedAt: now,
    deadline: now + limitMs,
    expectedMs: callMs,
    workspaceLoad: 0,
    cost: callMs,
    isContinuation: false,
    weight: 1,
    firstArrivedAt: now,
    isReturning: false,
    startBy: now + limitMs,
});

describe("fair queues of many instances", () => {
    // Guards against a workspace taking the room of others by coming through all instances with a call or two at each.
    it("should serve the usual workspaces although each instance has few calls of the hot one", () => {
        // One at 80 times its usual load. The others need nine tenths of the room.
        const demand = { usual: 0.9, hot: 0.9 * 80 / workspaces };
        const [alone, shared] = [false, true].map(isLoadShared => replayRegion(isLoadShared, demand).served);
        expect(shared!).toBeGreaterThanOrEqual(0.97);
        expect(shared!).toBeGreaterThan(alone!);
    });

    // Guards against slots that stay empty while a workspace that is held back has calls waiting.
    it("should let the hot workspace use what the usual ones leave", () => {
        for (const usual of [0.1, 0.5]) {
            const { served, used } = replayRegion(true, { usual, hot: 2 });
            expect(served).toBeGreaterThanOrEqual(0.97);
            expect(used).toBeGreaterThanOrEqual(0.9);
        }
    });
});
