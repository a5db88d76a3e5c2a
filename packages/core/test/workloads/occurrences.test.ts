/** Occurrences of scheduled jobs that are due together. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

vitest.describe(
  'a scheduled job with thousands of occurrences due at once',
  () => {
    vitest.it(
      'gets rows for a limited number of tasks, and further ones as these end (guards against a job that takes all memory of each owner)',
      () => {
        const { state, scheduler } = harnesses.createOpenScheduler(1_000);
        scheduler.acceptJob(
          harnesses.createJob({
            steps: [harnesses.createStep({ count: 1_000 })],
            schedule: { times: 10_000, firstAtMs: 0, intervalMs: 0 },
          }),
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
