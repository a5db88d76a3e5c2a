/**
 * Compares declared, learned and true run times on busy pools with uneven VMs, in virtual
 * time. The load is that of a deployment whose callers declare times that are off by up to
 * 0.9, with bursts of urgent and of batch jobs.
 */
import * as vitest from 'vitest';
import * as pools from './poolSimulation.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const SIMULATED_MS = 60_000;
/**
 * Twice the standard error of the difference of two averages over these seeds: over 40
 * seeds, single differences have a standard deviation of 0.055.
 */
const SHARE_NOISE = 0.045;
/** Number of batch tasks that an order may lose by chance, as a share. */
const TASKS_NOISE = 0.08;

interface Average {
  readonly urgentInTime: number;
  readonly batchTasksDone: number;
}

function simulate(
  known: pools.Uneven['known'],
  declaredError: number,
  stragglers: number,
): Average {
  const results = SEEDS.map((seed) =>
    new pools.PoolSimulation({
      seed,
      vms: 24,
      helpers: 6,
      bursts: [
        { kind: 'urgent', fromMs: 10_000, toMs: 15_000, factor: 3 },
        { kind: 'batch', fromMs: 20_000, toMs: 26_000, factor: 3 },
      ],
      drainsAtMs: [],
      failureIntervalMs: 60_000,
      load: 1,
      uneven: {
        declaredErrors: { urgent: declaredError, batch: declaredError },
        stragglers,
        speeds: [0.8, 1, 1.25],
        known,
      },
    }).run(SIMULATED_MS),
  );
  const average = (pick: (result: pools.PoolResult) => number): number =>
    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
  return {
    urgentInTime: average((result) => result.urgentInTime),
    batchTasksDone: average((result) => result.batchTasksDone),
  };
}

vitest.describe('jobs on a busy pool with uneven VMs', () => {
  for (const { name, declaredError, stragglers } of [
    { name: 'off by 0.9', declaredError: 0.9, stragglers: 0 },
    {
      name: 'off by 0.9 with stragglers',
      declaredError: 0.9,
      stragglers: 0.03,
    },
    { name: 'right', declaredError: 0, stragglers: 0 },
  ])
    vitest.it(
      `don't end late more often, beyond chance, with learned than with declared times that are ${name} (guards against learning that does harm)`,
      () => {
        const declared = simulate('declared', declaredError, stragglers);
        const learned = simulate('learned', declaredError, stragglers);
        const known = simulate('true', declaredError, stragglers);
        console.log(
          [
            `declared times ${name}`,
            ...Object.entries({ declared, learned, known }).map(
              ([order, { urgentInTime, batchTasksDone }]) =>
                `${order}: ${urgentInTime.toFixed(3)} of the urgent jobs in time, ${batchTasksDone.toFixed(0)} batch tasks`,
            ),
          ].join('; '),
        );
        vitest
          .expect(learned.urgentInTime)
          .toBeGreaterThan(declared.urgentInTime - SHARE_NOISE);
        vitest
          .expect(learned.urgentInTime)
          .toBeGreaterThan(known.urgentInTime - SHARE_NOISE);
        vitest
          .expect(learned.batchTasksDone)
          .toBeGreaterThan(declared.batchTasksDone * (1 - TASKS_NOISE));
      },
      120_000,
    );
});
