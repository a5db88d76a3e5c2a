/** Advice under load: which steps get advice requests, which VMs these name, and when tickets are renewed. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

const advice = { fixedMs: 100, perVmMs: 1, validMs: 2_000 };

vitest.describe('advice requests', () => {
  vitest.it(
    'are sent for a step that has room although higher ranked steps have none (guards against jobs that never start)',
    () => {
      const harness = harnesses.createHarness({
        isApproved: ({ job }) => job === 'small',
      });
      harness.addVm('a');
      harness.addVm('b');
      const large = harnesses.createStep({
        count: 3,
        gang: true,
        size: { cores: 1, memoryMb: 100, gpus: 8 },
      });
      const first = harnesses.createPolicy({
        name: 'gangs',
        priority: 0,
        advice,
      });
      for (const id of ['g1', 'g2', 'g3', 'g4'])
        harness.addJob(id, [large], first);
      for (let round = 0; round < 10; round += 1) harness.advance(100);
      harness.addJob(
        'small',
        [harnesses.createStep({ size: { cores: 1, memoryMb: 1, gpus: 1 } })],
        harnesses.createPolicy({ priority: 2, advice }),
      );
      for (let round = 0; round < 10; round += 1) harness.advance(100);
      vitest
        .expect(harness.listRuns().map(({ task }) => task))
        .toContain('small.0.0.0');
    },
  );

  vitest.it(
    'are repeated for approved VMs with room once their tickets have expired (guards against starts with expired tickets)',
    () => {
      const harness = harnesses.createHarness({
        isApproved: (_, vm) => vm === 'b',
      });
      harness.addVm('a');
      harness.addVm('b', { capacity: { cores: 1, memoryMb: 8_000, gpus: 0 } });
      const policy = harnesses.createPolicy({ advice });
      harness.addJob('one', [harnesses.createStep({ count: 2 })], policy);
      harness.advance(10);
      const [run] = harness.listRuns();
      vitest.expect(harness.listRuns()).toHaveLength(1);
      harness.advance(3_000);
      harness.endRun('b', run!.run, 'done');
      harness.advance(10);
      harness.advance(10);
      vitest
        .expect(harness.listRuns())
        .toEqual([{ vm: 'b', task: 'one.0.0.1', run: run!.run + 1 }]);
      vitest.expect(harness.listAdvisedSteps()).toHaveLength(2);
    },
  );

  vitest.it(
    'renew the ticket of a VM that refused it as expired (guards against jobs without any approved VM)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      const policy = harnesses.createPolicy({ advice });
      harness.addJob('one', [harnesses.createStep()], policy);
      const first = harness.scheduler.tick(harness.getNow(), 0);
      const asked = first.commands[0];
      if (asked?.command !== 'advise')
        throw new Error('no advice request was sent');
      harness.scheduler.applyAdvice(
        asked.step,
        asked.vms,
        [{ vm: 'a', ticket: 't' }],
        harness.getNow(),
      );
      harness.scheduler.tick(harness.getNow(), 0);
      const [start] = harness.scheduler.confirmBatch();
      if (start?.command !== 'start')
        throw new Error('no start command was sent');
      harness.scheduler.applyStart(
        'a',
        start.task,
        start.run,
        'ticket',
        harness.getNow(),
      );
      for (let round = 0; round < 5; round += 1) harness.advance(100);
      vitest.expect(harness.listRuns()).toHaveLength(1);
    },
  );
});
