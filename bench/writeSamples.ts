/** Writes the sample settings of both users into samples/. */
import { FleetFiles } from "./fleetFiles.js";
import { barbeDouce, brazos } from "./sampleBundle.js";

const basePorts = { "barbe-douce": 21_000, "brazos": 22_000 };

new FleetFiles(barbeDouce, "samples/barbe-douce", basePorts["barbe-douce"]).write();
new FleetFiles(brazos, "samples/brazos", basePorts.brazos).write();
