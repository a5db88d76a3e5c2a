/** Service guarantees that limits and shares of workspaces must not break. */
import * as vitest from 'vitest';
import * as advice from '../../src/workloads/advice.js';
import * as harnesses from './harness.js';

vitest.describe('a service of an excess job', () => {
  vitest.it(
    'asks for advice like any service (guards against one that waits for the slots of excess jobs once its VM is silent)',
    () => {
      const { state, scheduler } = harnesses.createOpenScheduler(1_000);
      scheduler.acceptJob(
        harnesses.createJob({ steps: [harnesses.createStep({ lasts: true })] }),
        0,
        1_000,
        1_000,
      );
      const job = state.jobs.get('job')!;
      job.excess = true;
      job.yields = true;
      const step = job.occurrences[0]!.steps[0]!;
      vitest
        .expect(advice.chooseSlotUse(step, 1_500, 1))
        .toBe('overdue-service');
    },
  );
});
