/** Runs the sample fleet of one user as separate processes until it is interrupted. */
import { FleetFiles } from "./fleetFiles.js";
import { ProcessFleet } from "./processFleet.js";
import { barbeDouce, brazos } from "./sampleBundle.js";

const layouts = { "barbe-douce": barbeDouce, brazos };
const basePorts = { "barbe-douce": 21_000, "brazos": 22_000 };

const user = process.argv[2];
if (user !== "barbe-douce" && user !== "brazos") {
    process.stderr.write("Usage: npm run sample -- barbe-douce|brazos\n");
    process.exit(2);
}
const fleet = new ProcessFleet(new FleetFiles(layouts[user], `data/${user}`, basePorts[user]));
await fleet.start();
console.log(`Ready. Callers: ${fleet.files.daemons.map((_, index) => fleet.url(index)).join(" ")}`);
console.log(`Bearer key: ${layouts[user].callerKey}. Logs and settings: ${fleet.files.folder}`);
console.log(`Admin: 127.0.0.1:${fleet.files.daemons[0]!.admin} with the key in ${fleet.files.daemons[0]!.file}`);
process.on("SIGINT", () => void fleet.stop().then(() => process.exit(0)));
setInterval(() => {}, 60_000);
