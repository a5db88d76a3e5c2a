/**
 * Property test: after a random walk of disturbances, all work that is owed runs again
 * within a bound, and the tables are sound after every round. Guards against tasks, gangs,
 * occurrences and jobs that drop out of what a scheduling round looks at.
 */
import * as vitest from 'vitest';
import * as clusters from './disturbedCluster.js';

const FIRST_SEED = Number(process.env.WALK_SEED ?? 1);
const SEEDS = Number(process.env.WALK_SEEDS ?? 100);
const DISTURBED_STEPS = 300;
/** 9 s: a service task must run again 6 s after its last run, and at most 3 s later. */
const CALM_STEPS = 450;
const DISTURBANCE_SHARE = 0.2;
/** About a quarter of the cores of the VMs. */
const LIMIT_CORES = 8;

vitest.describe('work that is owed', () => {
  vitest.it.each([
    { what: 'without limits', limitCores: Infinity },
    { what: 'with the limit of a workspace', limitCores: LIMIT_CORES },
  ])(
    'runs within its bound once the disturbances have ended $what (guards against work that drops out of the rounds, and against use beyond the limit)',
    { timeout: 600_000 },
    ({ limitCores }) => {
      const failed: string[] = [];
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const cluster = new clusters.DisturbedCluster(seed, limitCores);
        for (let step = 0; step < DISTURBED_STEPS; step += 1)
          cluster.step(DISTURBANCE_SHARE);
        cluster.calm();
        for (let step = 0; step < CALM_STEPS; step += 1) cluster.step(0);
        for (const what of [...cluster.violations, ...cluster.listLeft()])
          failed.push(`seed ${seed}: ${what}`);
      }
      vitest.expect(failed).toEqual([]);
    },
  );
});
