/** Occurrences of scheduled jobs that are due together. */
import * as vitest from 'vitest';
import * as schedulers from '../../src/workloads/scheduler.js';
import * as states from '../../src/workloads/state.js';
import * as harnesses from './harness.js';

vitest.describe(
  'a scheduled job with thousands of occurrences due at once',
  () => {
    vitest.it(
      'gets rows for a limited number of tasks, and further ones as these end (guards against a job that takes all memory of each owner)',
      () => {
        const options = {
          bounds: { inheritedRunTimeoutMs: 16_000, firstRun: 1 },
          unrecordedStarts: false,
          nowMs: 1_000,
        };
        const state = states.createState(options);
        const scheduler = schedulers.createWorkloadScheduler(options, state);
        scheduler.acceptJob(
          {
            id: 'job',
            queue: 'queue',
            payload: '',
            steps: [harnesses.createStep({ count: 1_000 })],
            schedule: { times: 10_000, firstAtMs: 0, intervalMs: 0 },
            configVersion: 1,
            acceptedAtMs: 0,
            policy: harnesses.createPolicy(),
          },
          0,
          1_000,
          1_000,
        );
        const job = state.jobs.get('job')!;
        scheduler.tick(1_000, 1_000);
        vitest.expect(job.occurrences).toHaveLength(5);
        job.occurrences[0]!.done = true;
        scheduler.tick(1_010, 1_010);
        vitest
          .expect(job.occurrences.map(({ number }) => number))
          .toEqual([0, 1, 2, 3, 4, 5]);
      },
    );
  },
);
