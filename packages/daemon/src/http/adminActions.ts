/** Status views and commands for operators of one instance. */
import { z } from "zod";

import type { Daemon } from "../daemon.js";
import type { AdminActions } from "./adminServer.js";

const drainUpstreamSchema = z.strictObject({ address: z.string(), leaving: z.boolean().default(true) });
const cancelProgramSchema = z.strictObject({ program: z.string() });

/** Finds a program by its id, or by its nonce, which log lines show. */
const findProgram = (daemon: Daemon, name: string) =>
    daemon.programs.get(name) ?? daemon.programs.all().find(program => program.claims.nonce === name);

const status = (daemon: Daemon) => ({
    instance: daemon.identity.instance,
    zone: daemon.identity.zone,
    region: daemon.identity.region,
    ready: daemon.isReady,
    leaving: daemon.membership.leaving,
    bundle: daemon.bundles.version,
    leaseProven: daemon.slots.lease.isValid(),
    slots: daemon.slots.all().length,
    programs: daemon.programs.size,
    calls: daemon.owner.active,
    waiting: daemon.dispatcher.waitingCalls,
    memoryBytes: process.memoryUsage().rss,
    controlBytesSent: daemon.membership.all().reduce((sum, peer) => sum + peer.link.controlBytes, 0),
    peers: daemon.membership.all().map(peer => ({
        instance: peer.instance ?? peer.address,
        zone: peer.zone,
        region: peer.region,
        state: peer.lifecycle.state,
        bundle: peer.bundle,
    })),
});

const programs = (daemon: Daemon) =>
    daemon.programs.all().map(program => ({
        program: program.claims.nonce,
        workspace: program.claims.workspace,
        agent: program.claims.agent,
        slot: program.claims.slot,
        state: program.lifecycle.state,
        turns: program.turns,
        spent: program.account.spent,
        budget: program.account.budget,
        deadline: new Date(program.claims.deadline).toISOString(),
    }));

const upstreams = (daemon: Daemon) =>
    daemon.upstreams.all().map(upstream => ({
        address: upstream.address,
        zone: upstream.zone,
        state: upstream.lifecycle.state,
        inFlight: upstream.inFlight,
        slowdown: Number(upstream.slowdown.toFixed(2)),
        reported: upstream.reported?.load,
    }));

const slots = (daemon: Daemon) =>
    daemon.slots.all().map(slot => ({
        slot: slot.slot,
        epoch: slot.epoch,
        provisional: slot.provisional,
        active: slot.active,
        programs: Object.keys(slot.record.programs).length,
        intents: Object.keys(slot.record.intents).length,
    }));

/** Builds the views and commands of a daemon's admin server. */
export const createAdminActions = (daemon: Daemon): AdminActions => ({
    isReady: () => daemon.isReady,
    views: {
        status: () => status(daemon),
        programs: () => programs(daemon),
        slots: () => slots(daemon),
        upstreams: () => upstreams(daemon),
        pools: () => daemon.orders.status(),
        explain: query => {
            const program = findProgram(daemon, query.get("program") ?? "");
            return program === undefined ? { found: false } : { found: true, decisions: program.decisions };
        },
    },
    orders: {
        drain: () => {
            void daemon.drain.run();
            return { draining: true };
        },
        "upstreams/drain": body => {
            const { address, leaving } = drainUpstreamSchema.parse(body);
            daemon.upstreams.publishNotices([{ address, leaving, source: "operator" }]);
            return { address, leaving, known: daemon.upstreams.get(address) !== undefined };
        },
        "programs/cancel": body => {
            const program = findProgram(daemon, cancelProgramSchema.parse(body).program);
            if (program !== undefined) {
                daemon.owner.cancel(program);
            }
            return { found: program !== undefined };
        },
    },
});
