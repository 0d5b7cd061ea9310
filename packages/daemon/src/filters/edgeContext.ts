/** Context of a caller's request in the edge chain, at the instance that received it. */
import type { Bundle, Progress } from "@marigolddrift/common";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { OwnerRequest } from "../calls.js";

/** Kinds of a caller's requests, by path and method. */
export type EdgeRoute =
    | { readonly kind: "open"; }
    | { readonly kind: "chat"; }
    | { readonly kind: "service"; readonly service: string; readonly path: string; }
    | { readonly kind: "inspect" | "end" | "explain"; readonly program: string; };

/** State of a caller's request that the filters of the edge chain share. */
export interface EdgeContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly route: EdgeRoute;
    readonly progress: Progress;
    bundle: Bundle;
    workspace: string;
    body: Buffer;
    /** The request for the owner, once it is parsed. */
    request: OwnerRequest | undefined;
    /** Slot of the request; undefined if any instance may answer. */
    slot: number | undefined;
    /** Whether the caller asked for server-sent events. */
    stream: boolean;
}
