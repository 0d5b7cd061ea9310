/** Identity of an instance among its peers. */
import { randomBytes } from "node:crypto";

const bootBytes = 6;

/** What peers know of an instance. */
export interface Identity {
    /** Name from the settings and a part that differs at each start. */
    readonly instance: string;
    readonly zone: string;
    readonly region: string;
    /** Address for connections from peers. */
    readonly address: string;
}

/** Identifies one start of the instance with the given name. */
export const createInstanceId = (name: string): string => `${name}~${randomBytes(bootBytes).toString("hex")}`;

/** Name of the instance, which survives a restart. */
export const instanceName = (instance: string): string => instance.split("~")[0] ?? instance;
