/** Parses a caller's HTTP request into a request for an owner. */
import { digest, ProblemError, slotOf } from "@marigolddrift/common";
import type { Filter, ProgramClaims } from "@marigolddrift/common";
import type { IncomingMessage } from "node:http";

import type { ChatRequest, OpenRequest, OwnerRequest, ServiceRequest } from "../calls.js";
import type { Programs } from "../controllers/programs.js";
import { chatBodySchema, engineOptionNames, openBodySchema } from "../http/callerSchemas.js";
import type { ChatBody } from "../http/callerSchemas.js";
import { parseJson } from "../http/requestBody.js";
import type { EdgeContext, EdgeRoute } from "./edgeContext.js";
import { defaultIdempotencyKey } from "./serviceDispatchFilter.js";

const defaultMaxTokens = 256;
const maxKeyLength = 255;

/** Parses headers and body. */
export class ParseFilter implements Filter<EdgeContext> {
    /** @param anyOwnedSlot Returns a slot that this instance owns, for calls that any instance may answer. */
    constructor(private readonly programs: Programs, private readonly anyOwnedSlot: () => number | undefined) {}

    async handle(ctx: EdgeContext, next: () => Promise<void>): Promise<void> {
        ctx.request = this.parse(ctx, ctx.route);
        await next();
    }

    private parse(ctx: EdgeContext, route: EdgeRoute): OwnerRequest {
        if (route.kind === "open") {
            return this.parseOpen(ctx);
        }
        if (route.kind === "chat") {
            return this.parseChat(ctx);
        }
        if (route.kind === "service") {
            return this.parseService(ctx, route);
        }
        ctx.slot = this.programs.authorizeId(route.program, ctx.workspace).slot;
        return { kind: route.kind, workspace: ctx.workspace, program: route.program };
    }

    private parseOpen(ctx: EdgeContext): OpenRequest {
        const body = parseJson(openBodySchema, ctx.body);
        if (body.workspace !== undefined && body.workspace !== ctx.workspace) {
            throw new ProblemError("forbidden", "notRun", `The key is not that of workspace "${body.workspace}".`);
        }
        const agent = ctx.bundle.agent[body.agent];
        if (agent === undefined) {
            const known = Object.keys(ctx.bundle.agent).join(", ");
            throw new ProblemError(
                "invalid_request",
                "notRun",
                `Agent "${body.agent}" does not exist; there are ${known}.`,
            );
        }
        const deadlineMs = Math.ceil((body.deadline_seconds ?? agent.deadlineSeconds) * 1000);
        return {
            kind: "open",
            workspace: ctx.workspace,
            agent: body.agent,
            budget: body.budget ?? agent.budget,
            deadlineMs,
        };
    }

    private parseChat(ctx: EdgeContext): ChatRequest {
        const body = parseJson(chatBodySchema, ctx.body);
        const { headers } = ctx.req;
        const program = firstValue(headers["program-id"]) ?? body.metadata.program;
        if (program === undefined) {
            throw new ProblemError(
                "invalid_request",
                "notRun",
                "The header Program-Id is missing; open a program first.",
            );
        }
        const claims = this.resolveProgram(ctx, program);
        this.checkModel(ctx, claims, body);
        const call = parseCall(ctx.req) ?? body.metadata.call;
        const extendsDigest = firstValue(headers["program-extends"]) ?? body.metadata.extends;
        ctx.stream = body.stream;
        return {
            kind: "chat",
            workspace: ctx.workspace,
            program,
            ...(call === undefined ? {} : { call }),
            ...(extendsDigest === undefined ? {} : { extends: extendsDigest }),
            messages: body.messages,
            maxTokens: this.maxTokens(ctx, claims, body),
            resumeText: "",
            resumeTokens: 0,
            ...(body.metadata.next_tool === undefined ? {} : { nextTool: body.metadata.next_tool }),
            options: engineOptions(body),
        };
    }

    private resolveProgram(ctx: EdgeContext, program: string): ProgramClaims {
        const claims = this.programs.authorizeId(program, ctx.workspace);
        ctx.slot = claims.slot;
        return claims;
    }

    private checkModel(ctx: EdgeContext, claims: ProgramClaims, body: ChatBody): void {
        const model = ctx.bundle.agent[claims.agent]?.model;
        if (body.model !== undefined && body.model !== model && body.model !== claims.agent) {
            throw new ProblemError(
                "invalid_request",
                "notRun",
                `Agent "${claims.agent}" uses model "${model}", not "${body.model}".`,
            );
        }
    }

    private maxTokens(ctx: EdgeContext, claims: ProgramClaims, body: ChatBody): number {
        const limit = ctx.bundle.agent[claims.agent]?.maxTokensPerCall ?? defaultMaxTokens;
        return Math.min(limit, body.max_completion_tokens ?? body.max_tokens ?? defaultMaxTokens);
    }

    private parseService(ctx: EdgeContext, route: EdgeRoute & { kind: "service"; }): ServiceRequest {
        const service = ctx.bundle.service[route.service];
        if (service === undefined) {
            throw new ProblemError("unknown_service", "notRun", `Service "${route.service}" does not exist.`);
        }
        const { headers, method } = ctx.req;
        const program = firstValue(headers["program-id"]);
        const call = program === undefined ? undefined : parseCall(ctx.req);
        const callerKey = firstValue(headers["idempotency-key"]);
        if (callerKey !== undefined && callerKey.length > maxKeyLength) {
            throw new ProblemError(
                "invalid_request",
                "notRun",
                `The Idempotency-Key exceeds ${maxKeyLength} characters.`,
            );
        }
        const request: ServiceRequest = {
            kind: "service",
            workspace: ctx.workspace,
            slot: 0,
            ...(program === undefined ? {} : { program }),
            ...(call === undefined ? {} : { call }),
            service: route.service,
            method: method ?? "POST",
            path: route.path,
            contentType: headers["content-type"] ?? "",
            body: ctx.body,
        };
        const key = callerKey ?? defaultIdempotencyKey(request);
        if (key === undefined && !service.idempotent) {
            const detail = `Calls of service "${route.service}" must not be repeated, so they need a key.`;
            throw new ProblemError("idempotency_key_required", "notRun", detail);
        }
        ctx.slot = this.serviceSlot(ctx, route.service, program, key);
        return { ...request, slot: ctx.slot, ...(key === undefined ? {} : { key }) };
    }

    /** Slot of a service call: that of its program, else that of its key, else one that this instance owns, if any. */
    private serviceSlot(
        ctx: EdgeContext,
        service: string,
        program: string | undefined,
        key: string | undefined,
    ): number {
        if (program !== undefined) {
            return this.resolveProgram(ctx, program).slot;
        }
        const anySlot = key === undefined ? this.anyOwnedSlot() : undefined;
        return anySlot ?? slotOf(digest(ctx.workspace, service, key ?? ""), ctx.bundle.limits.slots);
    }
}

const firstValue = (header: string | string[] | undefined): string | undefined => {
    const value = Array.isArray(header) ? header[0] : header;
    return value === "" ? undefined : value;
};

const parseCall = (req: IncomingMessage): number | undefined => {
    const text = firstValue(req.headers["program-call"]);
    if (text === undefined) {
        return undefined;
    }
    const call = Number(text);
    if (!Number.isSafeInteger(call) || call < 1) {
        throw new ProblemError(
            "invalid_request",
            "notRun",
            `The header Program-Call must be a whole number from 1, not "${text}".`,
        );
    }
    return call;
};

const engineOptions = (body: ChatBody): Record<string, unknown> =>
    Object.fromEntries(
        Object.entries(body).filter(([name, value]) => engineOptionNames.includes(name) && value !== undefined),
    );
