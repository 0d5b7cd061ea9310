/** Authenticates callers by the keys of their workspaces. */
import { ProblemError } from "@marigolddrift/common";
import type { Bundle, Filter } from "@marigolddrift/common";
import { createHash } from "node:crypto";

import type { EdgeContext } from "./edgeContext.js";

/** Checks the bearer token and sets the workspace that it belongs to. */
export class AuthenticateFilter implements Filter<EdgeContext> {
    private workspaceByKeyHash = new Map<string, string>();
    private bundle: Bundle | undefined;

    async handle(ctx: EdgeContext, next: () => Promise<void>): Promise<void> {
        const [scheme, token] = (ctx.req.headers.authorization ?? "").split(" ");
        const hash = createHash("sha256").update(token ?? "").digest("hex");
        const workspace = scheme?.toLowerCase() === "bearer" ? this.workspacesOf(ctx.bundle).get(hash) : undefined;
        if (workspace === undefined) {
            throw new ProblemError(
                "unauthorized",
                "notRun",
                "The Authorization header holds no key of a workspace.",
            );
        }
        ctx.workspace = workspace;
        await next();
    }

    private workspacesOf(bundle: Bundle): Map<string, string> {
        if (this.bundle !== bundle) {
            const entries = Object.entries(bundle.workspace);
            this.workspaceByKeyHash = new Map(
                entries.flatMap(([name, { keySha256 }]) => keySha256.map(key => [key, name] as const)),
            );
            this.bundle = bundle;
        }
        return this.workspaceByKeyHash;
    }
}
