/**
 * Running and waiting calls by workspace over all instances of a region. Load pattern: a workspace sends its calls through dozens of instances,
 * each of which has one or two of them waiting, about as many as of any other workspace.
 */

/**
 * Number of running and waiting calls by urgency and workspace; see {@link loadKey}. Waiting ones are included, since a workspace
 * without room has no others.
 */
export type WorkspaceLoad = Readonly<Record<string, number>>;

/** Number of calls in a region from which on the share of a workspace can be told from chance. */
const minRunning = 4;

/** Number of workspaces of which an instance knows the load of the others. */
export const maxKnownWorkspaces = 16;

/** Number of workspaces that an instance reports. */
export const maxReportedWorkspaces = 8;

/** Returns the entries with the most calls. */
export const largestLoads = (load: WorkspaceLoad, count: number): Record<string, number> =>
    Object.fromEntries(Object.entries(load).sort(([, a], [, b]) => b - a).slice(0, count));

/** Returns the sum of two loads by workspace. */
export const addLoads = (a: WorkspaceLoad, b: WorkspaceLoad): Record<string, number> => {
    const sum = { ...a };
    Object.entries(b).forEach(([name, calls]) => sum[name] = (sum[name] ?? 0) + calls);
    return sum;
};

/** Returns the key of a workspace in a load. Workspaces are compared with others of their urgency only. */
export const loadKey = (urgency: number, workspace: string): string => `${urgency} ${workspace}`;

/**
 * Returns the calls of a usual workspace of an urgency: the median of the busiest ones; 0 if there are fewer than two.
 *
 * @param load The busiest workspaces of the region.
 * @example
 * usualLoad(1, { "1 north": 40, "1 south": 5, "1 east": 4, "0 west": 90 }) === 5;
 */
export const usualLoad = (urgency: number, load: WorkspaceLoad): number => {
    const calls = Object.entries(load).filter(([key]) => key.startsWith(loadKey(urgency, ""))).map(([, count]) =>
        count
    );
    const busiest = calls.sort((a, b) => a - b).slice(-maxKnownWorkspaces);
    return busiest.length < 2 ? 0 : busiest[Math.floor((busiest.length - 1) / 2)]!;
};

/**
 * Calls of a workspace as a multiple of those of a usual one; 0 if it has too few calls to tell.
 *
 * @example
 * relativeLoad(40, 1, 5) === 8;
 */
export const relativeLoad = (calls: number, weight: number, usual: number): number =>
    calls < minRunning || usual === 0 ? 0 : calls / weight / usual;
