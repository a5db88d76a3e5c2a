/** Memory of the scheduler: removal of jobs that have ended. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

vitest.describe('an ended job', () => {
  vitest.it(
    'is removed from the tables once its end is durable (guards against memory that grows with every job)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      for (let index = 0; index < 20; index += 1) {
        const id = `job${index}`;
        harness.addJob(id, [harnesses.createStep({ count: 2 })]);
        harness.advance(10);
        if (index % 2 === 0)
          for (const { vm, run } of harness.listRuns())
            harness.endRun(vm, run, 'done');
        else harness.scheduler.cancelJob(id, harness.getNow());
        harness.advance(10);
        harness.advance(10);
      }
      vitest.expect(harness.finals.size).toBe(10);
      vitest.expect(harness.progress.size).toBe(0);
      vitest.expect(harness.scheduler.getJobState('job0', 0)).toBeUndefined();
      vitest.expect(harness.scheduler.getJobState('job1', 0)).toBeUndefined();
    },
  );
});
