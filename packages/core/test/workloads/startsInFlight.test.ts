/** Starts on their way to one VM. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const TASKS = 400;

/** Decides more starts on one VM than may be on their way to it. */
function decideMany() {
  const { scheduler } = harnesses.createOpenScheduler(1_000);
  const capacity = { cores: TASKS, memoryMb: 1_000_000, gpus: 0 };
  scheduler.setVmEntry('a', harnesses.createEntry('a', { capacity }), 1_000);
  const report = (incarnation: number) =>
    scheduler.applyReport(
      'a',
      { incarnation, running: [], ended: [], requestSentMs: 1_000 },
      1_000,
    );
  report(1);
  const steps = [harnesses.createStep({ count: TASKS })];
  scheduler.acceptJob(harnesses.createJob({ steps }), 0, 1_000, 1_000);
  scheduler.tick(1_000, 1_000);
  return { scheduler, report, sent: scheduler.confirmBatch() };
}

vitest.describe('hundreds of starts on one VM', () => {
  vitest.it(
    'are sent a few at a time until all have been answered (guards against LOST: starts that wait for a connection until their time-outs, all at once and again and again)',
    () => {
      const { scheduler, sent } = decideMany();
      vitest.expect(sent.length).toBeLessThanOrEqual(16);
      const waiting = [...sent];
      let started = 0;
      for (
        let command = waiting.shift();
        command !== undefined;
        command = waiting.shift()
      ) {
        if (command.command !== 'start') continue;
        started += 1;
        const { vm, task, run } = command;
        scheduler.applyStart(vm, task, run, 'started', 1_001);
        const next = scheduler.sendWaitingStarts(vm);
        vitest.expect(next.length).toBeLessThanOrEqual(1);
        waiting.push(...next);
      }
      vitest.expect(started).toBe(TASKS);
    },
  );

  vitest.it(
    'go on after one that got no answer, and none waits for a report',
    () => {
      const { scheduler, sent } = decideMany();
      const [first] = sent.flatMap((command) =>
        command.command === 'start' ? [command] : [],
      );
      const { vm, task, run } = first!;
      scheduler.applyStart(vm, task, run, 'unknown', 1_001, 7_000);
      const next: readonly core.workloads.Command[] =
        scheduler.sendWaitingStarts(vm);
      vitest
        .expect(next.filter(({ command }) => command === 'start'))
        .toHaveLength(1);
    },
  );

  vitest.it(
    'are not sent to a later incarnation of the VM (guards against ROUTE: a start that waited while its VM was restarted as another kind)',
    () => {
      const { scheduler, report } = decideMany();
      report(2);
      const next = scheduler.sendWaitingStarts('a');
      vitest
        .expect(next.filter(({ command }) => command === 'start'))
        .toEqual([]);
    },
  );
});
