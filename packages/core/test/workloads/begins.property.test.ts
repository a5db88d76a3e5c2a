/**
 * Property test: in random walks with many changes of owner and cold starts, a job counts
 * as begun only when a VM has begun one of its tasks, no begin that a reachable VM or a
 * record shows is missed, and the counts of the queues agree with that at every step.
 */
import * as vitest from 'vitest';
import * as clusters from './disturbedCluster.js';

const FIRST_SEED = Number(process.env.WALK_SEED ?? 1);
const SEEDS = Number(process.env.WALK_SEEDS ?? 40);
const STEPS = 400;
const DISTURBANCE_SHARE = 0.2;
/** Steps between two cold starts. */
const COLD_START_INTERVAL = 130;

vitest.describe('the jobs that count as begun', () => {
  vitest.it(
    'are those of which a VM has begun a task, also over cold starts (guards against decided starts that count as begun)',
    { timeout: 600_000 },
    () => {
      const failed: string[] = [];
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const cluster = new clusters.DisturbedCluster(seed);
        for (let step = 1; step <= STEPS; step += 1) {
          cluster.step(DISTURBANCE_SHARE);
          if (step % COLD_START_INTERVAL === 0)
            cluster.startCold(step % (2 * COLD_START_INTERVAL) === 0);
        }
        for (const what of cluster.violations)
          failed.push(`seed ${seed}: ${what}`);
      }
      vitest.expect(failed).toEqual([]);
    },
  );
});
