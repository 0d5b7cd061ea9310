// Import boundaries: which of the project's own packages and folders each folder may import. The linter rejects others.

/** Packages of this workspace that code in a folder may import. */
const allowedPackages = {
    "packages/common/src": [],
    "packages/policy/src": ["common"],
    "packages/dispatch/src": ["common", "policy"],
    "packages/gateway/src": ["common", "policy", "dispatch", "store"],
    "packages/ledger/src": ["common"],
    "packages/store/src": ["common"],
    "packages/standins/src": ["common"],
    "packages/workload/src": ["common"],
    "packages/cli/src": ["common", "store", "workload"],
    "packages/daemon/src": ["common", "policy", "dispatch", "ledger", "store"],
    "platform/src": ["common", "gateway", "standins", "store"],
    "spec": ["common", "ledger", "policy"],
    "bench": ["common", "policy", "dispatch", "ledger", "store", "daemon", "standins", "workload", "platform"],
    "tests": ["common", "policy", "dispatch", "ledger", "store", "daemon", "standins", "workload", "cli", "gateway", "platform"],
};

/** Folders of the daemon that each of its layers must not import. */
const deniedFolders = {
    "packages/daemon/src/lifecycles": ["controllers", "filters", "http", "peers", "programs", "upstreams"],
    "packages/daemon/src/peers": ["controllers", "filters", "http", "programs", "upstreams"],
    "packages/daemon/src/programs": ["controllers", "filters", "http", "peers", "upstreams"],
    "packages/daemon/src/upstreams": ["controllers", "filters", "http", "peers", "programs"],
};

/** Node.js modules that must not be used in servers or in code without side effects. */
const deniedModules = {
    "packages/daemon/src": ["node:child_process", "node:cluster", "node:worker_threads"],
    "packages/gateway/src": ["node:child_process", "node:cluster", "node:worker_threads"],
    "platform/src": ["node:child_process", "node:cluster", "node:worker_threads"],
    "packages/policy/src": ["node:fs", "node:http", "node:net", "node:timers", "node:child_process"],
    "packages/ledger/src": ["node:fs", "node:http", "node:net", "node:timers", "node:child_process"],
};

const packages = ["common", "policy", "dispatch", "ledger", "store", "standins", "cli", "workload", "daemon", "gateway", "platform"];

const restrict = (folder, allowed) => ({
    files: [`${folder}/**/*.ts`],
    rules: {
        "no-restricted-imports": ["error", {
            paths: [
                ...packages.filter(name => !allowed.includes(name)).map(name => ({
                    name: `@marigolddrift/${name}`,
                    message: `${folder} may import ${allowed.join(", ") || "no other package"}; see tools/imports.js.`,
                })),
                ...Object.entries(deniedModules).filter(([prefix]) => folder.startsWith(prefix)).flatMap(([prefix, names]) =>
                    names.map(name => ({ name, message: `${prefix} must not use ${name}.` }))
                ),
            ],
            patterns: Object.entries(deniedFolders).filter(([prefix]) => folder === prefix).flatMap(([prefix, names]) =>
                names.map(name => ({ group: [`../${name}/*`], message: `${prefix} must not import ${name}; see tools/imports.js.` }))
            ),
        }],
    },
});

export const boundaryConfigs = [
    ...Object.entries(allowedPackages).map(([folder, allowed]) => restrict(folder, allowed)),
    ...Object.keys(deniedFolders).map(folder => restrict(folder, allowedPackages["packages/daemon/src"])),
];
