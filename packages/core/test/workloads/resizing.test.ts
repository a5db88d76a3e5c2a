/** VMs whose capacity shrinks and grows while they run. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const half = { cores: 4, memoryMb: 4_000, gpus: 4 };

function resize(
  harness: harnesses.Harness,
  id: string,
  capacity: core.resources.Resources,
): void {
  const entry = harnesses.createEntry(id, { capacity });
  harness.scheduler.setVmEntry(id, entry, harness.getNow());
}

function createLargeStep(
  given: Partial<core.workloads.StepSpec> = {},
): core.workloads.StepSpec {
  const size = { cores: 3, memoryMb: 100, gpus: 0 };
  return harnesses.createStep({ size, ...given });
}

/** Decides the starts that are due, and returns them once the store has confirmed their records. */
function decideStarts(harness: harnesses.Harness) {
  const { scheduler } = harness;
  const now = harness.getNow();
  const decision = scheduler.tick(now, now);
  vitest.expect(decision.batch).toBeDefined();
  return {
    confirm: () =>
      scheduler
        .confirmBatch()
        .flatMap((command) =>
          command.command === 'start'
            ? [`${core.workloads.formatTask(command.task)} ${command.vm}`]
            : [],
        ),
  };
}

vitest.describe('a VM whose capacity has shrunk', () => {
  vitest.it(
    'gets no start whose record became durable only after that (guards against LIMIT: a start that was decided for the larger capacity)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('job', [createLargeStep({ count: 2 })]);
      const starts = decideStarts(harness);
      resize(harness, 'a', half);
      vitest.expect(starts.confirm()).toEqual(['job.0.0.0 a']);
    },
  );

  vitest.it(
    'gets no member of a gang that does not fit any more, and neither do the VMs of the others',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addVm('b');
      const gang = createLargeStep({ count: 2, gang: true, maxPerVm: 1 });
      harness.addJob('gang', [gang]);
      const starts = decideStarts(harness);
      resize(harness, 'a', { ...half, cores: 2 });
      vitest.expect(starts.confirm()).toEqual([]);
      resize(harness, 'a', half);
      harness.settle();
      vitest.expect(harness.listRuns()).toHaveLength(2);
    },
  );

  vitest.it(
    'keeps what runs there, gets nothing until it fits, and is used again once it has grown',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('first', [createLargeStep({ count: 2 })]);
      harness.settle();
      resize(harness, 'a', half);
      harness.addJob('second', [harnesses.createStep()]);
      harness.addJob('filler', [createLargeStep({ fills: true })]);
      harness.advance(500);
      const names = () => harness.listRuns().map(({ task }) => task);
      vitest.expect(names()).toEqual(['first.0.0.0', 'first.0.0.1']);
      harness.endRun('a', harness.listRuns()[0]!.run, 'done');
      harness.advance(500);
      vitest
        .expect(names().sort())
        .toEqual(['filler.0.0.0', 'first.0.0.1', 'second.0.0.0']);
      harness.addJob('third', [createLargeStep()]);
      harness.advance(500);
      vitest.expect(names()).not.toContain('third.0.0.0');
      resize(harness, 'a', { ...half, cores: 8 });
      harness.advance(500);
      vitest.expect(names()).toContain('third.0.0.0');
    },
  );

  vitest.it('counts what is being stopped there until its end is known', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('first', [createLargeStep()]);
    harness.settle();
    const now = harness.getNow();
    harness.scheduler.cancelJob('first', now);
    // The stop is taken but not carried out.
    vitest
      .expect(harness.scheduler.tick(now, now).commands)
      .toMatchObject([{ command: 'stop' }]);
    harness.scheduler.confirmBatch();
    resize(harness, 'a', half);
    harness.addJob('second', [createLargeStep()]);
    harness.settle();
    vitest.expect(harness.listRuns()).toHaveLength(1);
    harness.endRun('a', harness.listRuns()[0]!.run, 'stopped');
    harness.advance(50);
    vitest
      .expect(harness.listRuns())
      .toMatchObject([{ vm: 'a', task: 'second.0.0.0' }]);
  });
});
