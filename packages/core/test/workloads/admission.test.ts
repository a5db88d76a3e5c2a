/** Admission: refuses only jobs that no VM of the pool could run. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

function createHarnessWithVms() {
  const harness = harnesses.createHarness();
  harness.addVm('a');
  harness.addVm('b', { labels: ['kind-b'] });
  harness.advance(6_000);
  return harness;
}

vitest.describe('admission of jobs', () => {
  vitest.it.each([
    {
      what: 'a task larger than any VM',
      step: { size: { cores: 9, memoryMb: 1, gpus: 0 } },
    },
    { what: 'a label that no VM has', step: { label: 'kind-z' } },
    {
      what: 'a gang larger than the pool',
      step: {
        gang: true,
        count: 3,
        size: { cores: 1, memoryMb: 1, gpus: 8 },
      },
    },
    {
      what: 'a gang that may not share VMs',
      step: { gang: true, count: 3, maxPerVm: 1 },
    },
  ])(
    'refuses $what (guards against jobs that wait until their caller gives up)',
    ({ step }) => {
      const harness = createHarnessWithVms();
      vitest
        .expect(
          harness.scheduler.checkAdmission(
            [harnesses.createStep(step)],
            'pool',
            harness.getNow(),
          ),
        )
        .toBeTypeOf('string');
    },
  );

  vitest.it('accepts jobs that only have to wait for room on busy VMs', () => {
    const harness = createHarnessWithVms();
    harness.addJob('large', [harnesses.createStep({ count: 100 })]);
    harness.advance(10);
    const steps = [harnesses.createStep({ count: 1_000, label: 'kind-b' })];
    vitest
      .expect(harness.scheduler.checkAdmission(steps, 'pool', harness.getNow()))
      .toBeUndefined();
  });

  vitest.it(
    'refuses nothing while the VM list may be incomplete (guards against wrong refusals after a change of owner)',
    () => {
      const harness = harnesses.createHarness();
      const steps = [harnesses.createStep({ label: 'kind-z' })];
      const { scheduler } = harness;
      vitest
        .expect(scheduler.checkAdmission(steps, 'pool', harness.getNow()))
        .toBeUndefined();
      harness.addVm('a');
      harness.advance(10);
      vitest
        .expect(scheduler.checkAdmission(steps, 'pool', harness.getNow()))
        .toBeUndefined();
    },
  );
});
