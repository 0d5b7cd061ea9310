import type { Message, Problem } from "@marigolddrift/common";
import { Client } from "@marigolddrift/workload";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { LocalFleet } from "../../bench/localFleet.js";
import { barbeDouce } from "../../bench/sampleBundle.js";

const user = (content: string): Message => ({ role: "user", content });

describe("a program on a fleet of seven daemons in two regions", () => {
    const fleet = new LocalFleet({ layout: barbeDouce });
    const client = new Client(barbeDouce.callerKey);
    let nextDaemon = 0;
    const url = (): string => fleet.url(nextDaemon++);
    const open = async (body: object = {}): Promise<string> =>
        (await client.open(url(), { agent: "restock-planner", ...body })).id;

    before(() => fleet.start());
    after(async () => {
        await client.close();
        await fleet.stop();
    });

    const executions = (): Map<string, number> =>
        new Map([...fleet.standins.services.values()].flatMap(service => [...service.executionsByKey()]));

    it("should answer calls at any daemon, streamed or not, with the same text", async () => {
        const [first, second] = await Promise.all([open(), open()]);
        const messages = [user("plan sugar [[tokens=20]]")];
        const unstreamed = await client.chat(url(), first, messages, { call: 1 });
        const streamed = await client.chat(url(), second, messages, { call: 1, stream: true });
        expect([unstreamed.status, streamed.status]).toEqual([200, 200]);
        expect(unstreamed.text).toEqual(streamed.text);
        expect(unstreamed.text.length).toEqual(80);
    });

    it("should run calls in order, and only once if they are sent several times at once", async () => {
        const id = await open();
        const answers = await Promise.all([
            client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1 }),
            client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1 }),
            client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1, stream: true }),
        ]);
        expect(new Set(answers.map(answer => answer.text)).size).toEqual(1);
        const state = await client.inspect(url(), id);
        expect(state.value as object).toHaveSubset({ turns: 1, nextCall: 2 });
    });

    it("should make a call wait for the preceding call", async () => {
        const id = await open();
        const first = await client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1 });
        const history = [
            user("a [[tokens=5]]"),
            { role: "assistant" as const, content: first.text },
            user("b [[tokens=5]]"),
        ];
        const second = await client.chat(url(), id, history, { call: 2 });
        const extendedHistory = [
            ...history,
            { role: "assistant" as const, content: second.text },
            user("c [[tokens=5]]"),
        ];
        const early = client.chat(url(), id, [
            ...extendedHistory,
            { role: "assistant" as const, content: "" },
            user("d"),
        ], {
            call: 4,
            timeoutSeconds: 1,
        });
        const third = await client.chat(url(), id, extendedHistory, { call: 3 });
        expect([second.status, third.status]).toEqual([200, 200]);
        expect((await early).problem?.code).toEqual("history_mismatch");
    });

    it("should accept new messages only with the digest of the last answer", async () => {
        const id = await open();
        const first = await client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1 });
        const second = await client.chat(url(), id, [user("b [[tokens=5]]")], { call: 2, extends: first.digest });
        expect(second.status).toEqual(200);
        const wrong = await client.chat(url(), id, [user("c")], { call: 3, extends: first.digest });
        expect(wrong.problem!).toHaveSubset({ code: "history_mismatch", verdict: "notRun" });
    });

    it("should execute a call once that is sent to different daemons at the same time", async () => {
        const headers = { "idempotency-key": "order-1" };
        const replies = await Promise.all(
            Array.from({ length: 14 }, () => client.service(url(), "cart-ops/orders", headers, { kg: 5 })),
        );
        expect(replies.map(reply => reply.status)).toEqual(replies.map(() => 200));
        expect(executions().get("order-1")).toEqual(1);
    });

    it("should refuse a different request with the same idempotency key", async () => {
        await client.service(url(), "cart-ops/orders", { "idempotency-key": "order-2" }, { kg: 1 });
        const conflicting = await client.service(url(), "cart-ops/orders", { "idempotency-key": "order-2" }, { kg: 2 });
        expect(conflicting.value as Problem).toHaveSubset({ code: "idempotency_conflict", verdict: "notRun" });
    });

    it("should never spend more than the budget", async () => {
        const id = await open({ budget: 300 });
        let messages: Message[] = [];
        let spent = 0;
        let code = "";
        for (let call = 1; code === "" && call < 50; call++) {
            messages = [...messages, user(`go on ${call} [[tokens=10]]`)];
            const answer = await client.chat(url(), id, messages, { call, maxTokens: 10 });
            spent += answer.promptTokens + answer.completionTokens;
            code = answer.problem?.code ?? "";
            messages = [...messages, { role: "assistant", content: answer.text }];
        }
        expect(code).toEqual("budget_exhausted");
        expect(spent > 0 && spent <= 300).toEqual(true);
    });

    it("should end a program that repeats itself, and refuse further calls", async () => {
        const id = await open();
        let answer = await client.chat(url(), id, [user("same [[tokens=5]]")], { call: 1 });
        for (let call = 2; answer.status === 200 && call < 10; call++) {
            const report: Message = { role: "tool", content: "same [[tokens=5]]" };
            answer = await client.chat(url(), id, [report], { call, extends: answer.digest });
        }
        expect(answer.problem?.code).toEqual("loop_detected");
        const ended = await client.chat(url(), id, [user("again")], { call: 9 });
        expect(ended.problem!).toHaveSubset({ code: "program_ended", verdict: "notRun" });
    });

    it("should not take a user who repeats a request for a loop", async () => {
        const id = await open();
        let answer = await client.chat(url(), id, [user("go on [[tokens=5]]")], { call: 1 });
        for (let call = 2; call <= 8; call++) {
            answer = await client.chat(url(), id, [user("go on [[tokens=5]]")], { call, extends: answer.digest });
        }
        expect(answer.status).toEqual(200);
    });

    it("should release the engine memory of a program that ended", async () => {
        const id = await open();
        await client.chat(url(), id, [user("a [[tokens=5]]")], { call: 1 });
        await client.end(url(), id);
        const isHeld = (): boolean =>
            [...fleet.standins.engines.values()].some(engine => engine.core.cache.heldKeys().includes(id));
        for (let tries = 0; isHeld() && tries < 100; tries++) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        expect(isHeld()).toEqual(false);
    });

    it("should refuse forged program ids and keys that belong to no workspace", async () => {
        const id = await open();
        const wrongKeyClient = new Client("not-a-key");
        expect((await wrongKeyClient.inspect(url(), id)).status).toEqual(401);
        const [prefix, payload] = id.split(".");
        const forged = `${prefix}.${payload}.AAAAAAAAAAAAAAAA`;
        expect((await client.inspect(url(), forged)).value as Problem).toHaveSubset({ code: "unknown_program" });
        await wrongKeyClient.close();
    });

    it("should complete a stream when its engine dies midway", async () => {
        const engines = [...fleet.standins.engines.values()];
        engines.forEach(engine => engine.server.faults.apply({ fault: "dieMidStream", on: true, ms: 250, count: 1 }));
        const id = await open();
        const answer = await client.chat(url(), id, [user("long [[tokens=40]]")], { call: 1, stream: true });
        engines.forEach(engine => engine.server.faults.apply({ fault: "dieMidStream", on: false, ms: 0, count: 0 }));
        expect([answer.status, answer.text.length]).toEqual([200, 160]);
        const reference = await client.chat(url(), await open(), [user("long [[tokens=40]]")], { call: 1 });
        expect(answer.text).toEqual(reference.text);
    });

    it("should report that a call may have run when its service dropped the reply after it ran", async () => {
        const services = [...fleet.standins.services.values()];
        services.forEach(service => service.server.faults.apply({ fault: "dropReply", on: true, ms: 0, count: 1 }));
        const headers = { "idempotency-key": "order-cut" };
        const first = await client.service(url(), "cart-ops/orders", headers, { kg: 5 });
        services.forEach(service => service.server.faults.apply({ fault: "dropReply", on: false, ms: 0, count: 0 }));
        expect(first.value as Problem).toHaveSubset({ verdict: "mayHaveRun", code: "upstream_failed" });
        const again = await client.service(url(), "cart-ops/orders", headers, { kg: 5 });
        expect(again.value as Problem).toHaveSubset({ verdict: "mayHaveRun", code: "outcome_unknown" });
        expect(executions().get("order-cut")).toEqual(1);
    });

    it("should not interrupt a request when a daemon is drained", async () => {
        const index = 2;
        const id = await open();
        const slow = client.chat(fleet.url(index), id, [user("slow [[tokens=60]]")], { call: 1, stream: true });
        await new Promise(resolve => setTimeout(resolve, 100));
        await fleet.daemons[index]!.drain.run();
        const answer = await slow;
        expect([answer.status, answer.text.length]).toEqual([200, 240]);
        expect(fleet.daemons[index]!.slots.all().length).toEqual(0);
    });
});
