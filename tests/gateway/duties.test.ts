import { Duties } from "@marigolddrift/gateway";
import { expect } from "earl";
import { describe, it } from "node:test";

/** Sizes of a fleet: a small one, two that users run, and that of their target. */
const fleetSizes = [7, 67, 171, 370];

/** Peers that an instance may need connections to, whatever the size of the fleet. */
const maxPartners = 32;

const configKey = "config";

const namesOf = (size: number): string[] => Array.from({ length: size }, (_, index) => `10.1.0.${index}:7380`);

const dutiesOf = (localName: string, names: readonly string[], lost: ReadonlySet<string> = new Set()): Duties => {
    const localInstance = { instance: localName, region: "r", address: () => localName };
    const members = {
        version: 1,
        namesInRegion: () => names.filter(name => name !== localName),
        getByName: (name: string) => ({ name, isUsable: !lost.has(name) }),
    };
    return new Duties(localInstance, members as never);
};

const programs = Array.from({ length: 2_000 }, (_, index) => `program-${index}`);

describe("duties of a fleet", () => {
    for (const size of fleetSizes) {
        it(`should need a bounded number of peers of ${size} instances`, () => {
            const duties = dutiesOf("10.1.0.0:7380", namesOf(size));
            const partners = new Set([...duties.likelyCarriers([configKey]), ...duties.partners()]);
            expect(partners.size).toSatisfy(count => count <= Math.min(size, maxPartners));
            const needed = new Set(programs.map(program => duties.coordinatorOf(program)?.name ?? "10.1.0.0:7380"));
            expect([...needed].filter(name => !partners.has(name))).toEqual([]);
        });

        it(`should name the same instances at all of ${size}, and spread the programs over them`, () => {
            const names = namesOf(size);
            const counts = new Map<string, number>();
            const views = names.slice(0, 7).map(name => dutiesOf(name, names));
            for (const program of programs) {
                const coordinators = new Set(
                    views.map((duties, index) => duties.coordinatorOf(program)?.name ?? names[index]!),
                );
                expect(coordinators.size).toEqual(1);
                const [coordinator] = coordinators;
                counts.set(coordinator!, (counts.get(coordinator!) ?? 0) + 1);
            }
            const mean = programs.length / counts.size;
            expect(Math.max(...counts.values())).toSatisfy(most => most < 1.5 * mean);
            expect(new Set(views.map(duties => duties.order(configKey).join())).size).toEqual(1);
        });
    }

    it("should move only the programs of a lost coordinator, and the duties of a lost carrier to its successor", () => {
        const names = namesOf(67);
        const before = dutiesOf(names[0]!, names);
        const lost = before.coordinatorOf(programs.find(program => before.coordinatorOf(program) !== undefined)!)!.name;
        const after = dutiesOf(names[0]!, names, new Set([lost]));
        for (const program of programs) {
            const earlier = before.coordinatorOf(program)?.name;
            const later = after.coordinatorOf(program)?.name;
            expect(later === earlier || (earlier === lost && later !== lost)).toEqual(true);
        }
        const [first, second] = before.order(configKey);
        expect(before.carriers(configKey, 1, name => name !== first)).toEqual([second!]);
    });
});
