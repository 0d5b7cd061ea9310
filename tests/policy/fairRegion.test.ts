/** Many instances in front of the same upstreams, each with a few calls. */
import { FairQueue, relativeLoad, usualLoad } from "@marigolddrift/policy";
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

/** Multiple of its usual load that the hot workspace sends. */
const excess = 80;

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

/** Share of the calls of usual workspaces that start in time. */
const replayRegion = (isLoadShared: boolean): number => {
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
                relativeLoadOf: (workspace, weight) =>
                    isLoadShared ? relativeLoad(reported[workspace] ?? 0, weight, usual) : 0,
                freeSlots: () => Math.max(0, slots - knownInFlight(instance)),
                instances: () => instances,
            }),
            inFlight: 0,
            inFlightAtReport: 0,
        };
        return instance;
    };
    const all = Array.from({ length: instances }, createInstance);
    const waiting = new Map<FairCall, Instance>();
    const perMs = (0.9 * slots / callMs) * (1 + excess / workspaces);
    let [asked, inTime, due] = [0, 0, 0];
    for (let now = 0; now < endsAt; now++) {
        for (const { call, from } of sent.filter(done => done.endsAt <= now)) {
            from.inFlight -= 1;
            from.queue.onEnded(call, callMs);
        }
        sent = sent.filter(call => call.endsAt > now);
        for (const call of sent.slice(0, slots).filter(starting => starting.endsAt === Infinity)) {
            call.endsAt = now + callMs;
            inTime += isCounted(call.call) && now < call.call.deadline ? 1 : 0;
        }
        if (now % reportMs === 0) {
            reported = {};
            sent.forEach(({ call }) => reported[call.workspace] = (reported[call.workspace] ?? 0) + 1);
            usual = usualLoad(reported);
            inFlightAtReport = sent.length;
            all.forEach(instance => instance.inFlightAtReport = instance.inFlight);
        }
        for (due += perMs; due >= 1; due--) {
            const isHot = random() < excess / (workspaces + excess);
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
    return inTime / asked;
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
        const [alone, shared] = [replayRegion(false), replayRegion(true)];
        // The usual workspaces need nine tenths of the room.
        expect(shared).toBeGreaterThanOrEqual(0.97);
        expect(shared).toBeGreaterThan(alone);
    });
});
