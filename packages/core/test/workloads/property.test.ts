/**
 * Property test: the scheduler's invariants hold under random interleavings of late
 * commands, VM crashes, network partitions, slow writes, changes of owner and of VMs'
 * capacities. Guards
 * against tasks that run twice, overloaded VMs, lost jobs and ends that are acknowledged
 * before they are durable.
 */
import * as vitest from 'vitest';
import * as simulations from './simulation.js';

const noFaults: simulations.Faults = {
  lateCommandShare: 0,
  crashes: false,
  partitions: false,
  takeovers: false,
  slowStore: false,
  resizes: false,
};

const faultKinds: Readonly<Record<string, Partial<simulations.Faults>>> = {
  'no faults': {},
  'late commands': { lateCommandShare: 0.15 },
  crashes: { crashes: true },
  partitions: { partitions: true, lateCommandShare: 0.05 },
  'changes of owner': { takeovers: true, slowStore: true },
  'limits of workspaces': { workspaces: true },
  'VMs that shrink and grow': { resizes: true, slowStore: true },
  'all faults at once': {
    lateCommandShare: 0.1,
    crashes: true,
    partitions: true,
    takeovers: true,
    slowStore: true,
  },
  'all faults and limits of workspaces': {
    lateCommandShare: 0.15,
    crashes: true,
    partitions: true,
    takeovers: true,
    slowStore: true,
    workspaces: true,
  },
  'all faults and VMs that shrink and grow': {
    lateCommandShare: 0.1,
    crashes: true,
    partitions: true,
    takeovers: true,
    slowStore: true,
    resizes: true,
  },
};

const SEEDS = 25;
const FAULTY_STEPS = 1_200;
const RECOVERY_STEPS = 3_000;

vitest.describe('the scheduler under random interleavings', () => {
  for (const [name, faults] of Object.entries(faultKinds))
    vitest.it(
      `starts every task at most once at a time, within all limits, and ends every job, with ${name}`,
      () => {
        let largestUse = 0;
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          const simulation = new simulations.Simulation(seed, {
            ...noFaults,
            ...faults,
          });
          for (let step = 0; step < FAULTY_STEPS; step += 1) {
            if (step % 40 === 0) simulation.addJob();
            simulation.step(true);
          }
          for (let step = 0; step < RECOVERY_STEPS; step += 1)
            simulation.step(false);
          vitest.expect(simulation.violations, `seed ${seed}`).toEqual([]);
          vitest
            .expect(simulation.listUnfinished(), `seed ${seed}: unfinished`)
            .toEqual([]);
          vitest
            .expect(
              simulation.listCancelledRuns(),
              `seed ${seed}: runs of cancelled jobs`,
            )
            .toEqual([]);
          largestUse = Math.max(largestUse, simulation.largestUse);
        }
        // Without it, the limits would be too high to be tested.
        if (faults.workspaces === true)
          vitest.expect(largestUse).toBeCloseTo(1, 6);
      },
    );
});
