import { emptyHistoryDigest, extendHistoryDigest } from "@marigolddrift/common";
import type { Message, ProblemError } from "@marigolddrift/common";
import { ProgramHistory } from "@marigolddrift/daemon";
import { expect } from "earl";
import { describe, it } from "node:test";

const user = (content: string): Message => ({ role: "user", content });
const answer = (content: string): Message => ({ role: "assistant", content });

const oneTurn = (): ProgramHistory => {
    const history = new ProgramHistory("p1", false);
    history.commit([user("a")], [user("a")], answer("b"));
    return history;
};

const codeOf = (action: () => unknown): string => {
    try {
        action();
        return "none";
    }
    catch (err) {
        return (err as ProblemError).code;
    }
};

describe("program history", () => {
    it("should accept the whole conversation and return the new messages", () => {
        const { newMessages } = oneTurn().resolve([user("a"), answer("b"), user("c")], undefined);
        expect(newMessages).toEqual([user("c")]);
    });

    it("should reject a conversation that does not extend the history", () => {
        expect(codeOf(() => oneTurn().resolve([user("a"), answer("changed"), user("c")], undefined))).toEqual(
            "history_mismatch",
        );
        expect(codeOf(() => oneTurn().resolve([user("a")], undefined))).toEqual("history_mismatch");
    });

    it("should accept only the new messages when the digest matches", () => {
        const history = oneTurn();
        const { conversation } = history.resolve([user("c")], history.digest);
        expect(conversation).toEqual([user("a"), answer("b"), user("c")]);
    });

    it("should reject the digest of another program", () => {
        const other = extendHistoryDigest(emptyHistoryDigest("p2"), [user("a"), answer("b")]);
        expect(codeOf(() => oneTurn().resolve([user("c")], other))).toEqual("history_mismatch");
    });

    it("should ask for the whole conversation when no messages are held", () => {
        const history = oneTurn();
        const { digest } = history;
        history.dropMessages();
        expect(codeOf(() => history.resolve([user("c")], digest))).toEqual("send_in_full");
        expect(codeOf(() => new ProgramHistory("p1", true).resolve([user("c")], digest))).toEqual("send_in_full");
    });

    it("should build on the digest that a previous owner handed over", () => {
        const { digest } = oneTurn();
        const history = ProgramHistory.fromHandover("p1", digest, 2);
        expect(codeOf(() => history.resolve([user("x"), answer("b"), user("c")], undefined))).toEqual(
            "history_mismatch",
        );
        expect(history.resolve([user("a"), answer("b"), user("c")], undefined).newMessages).toEqual([user("c")]);
    });
});
