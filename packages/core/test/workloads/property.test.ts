/**
 * Random interleavings of late orders, crashes, cuts, slow records and takeovers.
 * Guards against tasks that run twice, full VMs, lost jobs and ends noted too early.
 */
import * as vitest from 'vitest';
import * as simulations from './simulation.js';

const calm: simulations.Faults = {
  lateOrders: 0,
  crashes: false,
  cuts: false,
  takeovers: false,
  slowStore: false,
};

const kinds: Readonly<Record<string, Partial<simulations.Faults>>> = {
  calm: {},
  'late orders': { lateOrders: 0.15 },
  crashes: { crashes: true },
  cuts: { cuts: true, lateOrders: 0.05 },
  takeovers: { takeovers: true, slowStore: true },
  'all at once': {
    lateOrders: 0.1,
    crashes: true,
    cuts: true,
    takeovers: true,
    slowStore: true,
  },
};

const SEEDS = 25;
const FAULTY_STEPS = 1_200;
const CALM_STEPS = 3_000;

vitest.describe('the scheduler under random interleavings', () => {
  for (const [name, faults] of Object.entries(kinds))
    vitest.it(`keeps its promises with ${name}`, () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const simulation = new simulations.Simulation(seed, {
          ...calm,
          ...faults,
        });
        for (let step = 0; step < FAULTY_STEPS; step += 1) {
          if (step % 40 === 0) simulation.addJob();
          simulation.step(true);
        }
        for (let step = 0; step < CALM_STEPS; step += 1) simulation.step(false);
        vitest.expect(simulation.violations, `seed ${seed}`).toEqual([]);
        vitest
          .expect(simulation.listUnfinished(), `seed ${seed}: unfinished`)
          .toEqual([]);
        vitest
          .expect(simulation.listUnwanted(), `seed ${seed}: unwanted`)
          .toEqual([]);
      }
    });
});
