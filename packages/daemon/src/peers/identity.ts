/** Identity that an instance announces to its peers. */
import { randomBytes } from "node:crypto";

const startIdBytes = 6;

/** Identity and address of an instance. */
export interface Identity {
    /** Configured name with a random suffix that changes at each start. */
    readonly instance: string;
    readonly zone: string;
    readonly region: string;
    /** Address on which the instance accepts peer connections. */
    readonly address: string;
}

/** Creates an id for one run of the instance with the given name. */
export const createInstanceId = (name: string): string => `${name}~${randomBytes(startIdBytes).toString("hex")}`;

/** Returns the configured name of an instance, which stays the same after a restart. */
export const instanceName = (instance: string): string => instance.split("~")[0] ?? instance;
