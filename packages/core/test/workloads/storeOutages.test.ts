/** Outages of the store: nothing is stopped to make room for what can't start. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

/** Advances a harness whose store takes no records until its open batch is overdue. */
function createOutage(harness: harnesses.Harness): void {
  harness.setStoreAvailable(false);
  harness.addJob('opens-batch', [harnesses.createStep()]);
  for (let round = 0; round < 30; round += 1) harness.advance(50);
}

function listStops(harness: harnesses.Harness): readonly string[] {
  return harness.commands.flatMap((command) =>
    command.command === 'stop' ? [command.why] : [],
  );
}

vitest.describe('an outage of the store', () => {
  vitest.it(
    'preempts no run for a step that cannot start (guards against work that is stopped for starts that wait for their record)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      const small = harnesses.createPolicy({ name: 'small', priority: 2 });
      const steps = [
        harnesses.createStep({
          count: 5,
          savesProgress: true,
          estimateMs: 20_000,
          size: { cores: 0.5, memoryMb: 10, gpus: 1 },
        }),
      ];
      harness.addJob('small', steps, small);
      harness.settle();
      createOutage(harness);
      const urgent = harnesses.createPolicy({ name: 'urgent', priority: 0 });
      const whole = { cores: 1, memoryMb: 10, gpus: 8 };
      harness.addJob('urgent', [harnesses.createStep({ size: whole })], urgent);
      for (let round = 0; round < 40; round += 1) harness.advance(50);
      vitest.expect(listStops(harness)).toEqual([]);
      harness.setStoreAvailable(true);
      for (let round = 0; round < 40; round += 1) harness.advance(50);
      vitest.expect(listStops(harness)).toContain('preempted');
      vitest
        .expect(harness.listRuns().map(({ task }) => task))
        .toContain('urgent.0.0.0');
    },
  );

  vitest.it(
    'leaves service tasks on a draining VM until they can start elsewhere (guards against LOST: they are stopped and no start of theirs has a record)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('service', [harnesses.createStep({ lasts: true })]);
      harness.settle();
      harness.addVm('b');
      createOutage(harness);
      harness.scheduler.setVmEntry(
        'a',
        harnesses.createEntry('a', { draining: true }),
        harness.getNow(),
      );
      for (let round = 0; round < 40; round += 1) harness.advance(50);
      vitest.expect(listStops(harness)).toEqual([]);
      harness.setStoreAvailable(true);
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest
        .expect(harness.listRuns())
        .toContainEqual(
          vitest.expect.objectContaining({ vm: 'b', task: 'service.0.0.0' }),
        );
    },
  );
});
