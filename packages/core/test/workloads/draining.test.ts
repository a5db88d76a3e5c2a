/** Service tasks on VMs that are about to leave. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

function createDrainingHarness(lasts: boolean) {
  const harness = harnesses.createHarness();
  harness.addVm('a');
  harness.addJob('job', [harnesses.createStep({ lasts })]);
  harness.settle();
  vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  return harness;
}

function drain(harness: harnesses.Harness, id: string): void {
  harness.scheduler.setVmEntry(
    id,
    harnesses.createEntry(id, { draining: true }),
    harness.getNow(),
  );
}

vitest.describe('a draining VM', () => {
  vitest.it(
    'has its service tasks moved before it leaves (guards against LOST: the task of a VM that has left is missing until its lease has expired)',
    () => {
      const harness = createDrainingHarness(true);
      harness.addVm('b');
      drain(harness, 'a');
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it('keeps a service task that no other VM has room for', () => {
    const harness = createDrainingHarness(true);
    harness.addVm('b', { capacity: { cores: 0.5, memoryMb: 10, gpus: 0 } });
    drain(harness, 'a');
    for (let round = 0; round < 4; round += 1) harness.advance(50);
    vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  });

  vitest.it('keeps tasks that end by themselves', () => {
    const harness = createDrainingHarness(false);
    harness.addVm('b');
    drain(harness, 'a');
    for (let round = 0; round < 4; round += 1) harness.advance(50);
    vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  });
});
