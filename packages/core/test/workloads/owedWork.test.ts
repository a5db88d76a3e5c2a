/** Work that is owed and dropped out of the rounds: one test for each way in which that happened. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as harnesses from './harness.js';

vitest.describe('a run of a previous owner on a VM that left the list', () => {
  function restoreGang(harness: harnesses.Harness): void {
    const job: core.workloads.Job = {
      id: 'job',
      queue: 'queue',
      payload: 'work',
      steps: [harnesses.createStep({ count: 2, gang: true })],
      schedule: undefined,
      configVersion: 1,
      acceptedAtMs: 0,
      policy: harnesses.createPolicy(),
    };
    const runs = [
      [0, 7, 'gone-a', 1],
      [1, 7, 'gone-b', 1],
    ];
    const progress = JSON.stringify({
      occurrences: [{ number: 0, steps: [{ done: '00', runs }] }],
    });
    harness.scheduler.restoreJob(
      job,
      harnesses.createProgress(progress),
      0,
      harness.getNow(),
      0,
    );
  }

  vitest.it(
    'ends with the timeout for inherited runs although it is being stopped (guards against a gang that never starts again after a change of owner)',
    () => {
      const harness = harnesses.createHarness({ firstRun: 1_000 });
      restoreGang(harness);
      harness.addVm('c');
      harness.addVm('d');
      for (let round = 0; round < 20; round += 1) harness.advance(1_000);
      vitest
        .expect(harness.listRuns().map(({ task }) => task))
        .toEqual(['job.0.0.0', 'job.0.0.1']);
    },
  );
});

vitest.describe('a run that an overtaken report brings back', () => {
  vitest.it(
    'ends with the first report after a stop of it can have ended (guards against a service task that counts as running for ever)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep({ lasts: true })]);
      harness.advance(10);
      const overtaken: core.workloads.VmReport = {
        incarnation: 1,
        running: [...harness.vms.get('a')!.running.values()].map((run) => ({
          ...run,
          saved: '',
        })),
        ended: [],
        requestSentMs: harness.getNow(),
      };
      vitest.expect(overtaken.running).toHaveLength(1);
      harness.endRun('a', 1, 'failed');
      harness.report('a');
      harness.scheduler.applyReport('a', overtaken, harness.getNow());
      harness.advance(100);
      harness.advance(harnesses.LONGEST_STOP_MS);
      vitest.expect(harness.listRuns()).toMatchObject([{ run: 2 }]);
    },
  );
});

vitest.describe('a gang whose approved VMs have too few places', () => {
  vitest.it(
    'gets advice about VMs that were added later (guards against a gang that never starts although there is room)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob(
        'job',
        [harnesses.createStep({ count: 2, gang: true, maxPerVm: 1 })],
        harnesses.createPolicy({
          advice: { fixedMs: 10, perVmMs: 1, validMs: 2_000 },
        }),
      );
      for (let round = 0; round < 5; round += 1) harness.advance(100);
      harness.addVm('b');
      for (let round = 0; round < 20; round += 1) harness.advance(100);
      vitest
        .expect(harness.listRuns())
        .toMatchObject([{ vm: 'a' }, { vm: 'b' }]);
    },
  );
});

vitest.describe('a filler task that the previous owner has paused', () => {
  vitest.it(
    'gets its pace from the new owner (guards against a task that stays paused for ever)',
    () => {
      const harness = harnesses.createHarness({ firstRun: 1_000 });
      harness.addJob('job', [harnesses.createStep({ fills: true })]);
      harness.scheduler.applyReport(
        'a',
        {
          incarnation: 1,
          running: [
            {
              task: { job: 'job', occurrence: 0, step: 0, index: 0 },
              run: 7,
              saved: '',
              percent: 10,
              load: 0,
            },
          ],
          ended: [],
          requestSentMs: harness.getNow(),
        },
        harness.getNow(),
      );
      const { commands } = harness.scheduler.tick(harness.getNow(), 0);
      vitest
        .expect(commands)
        .toMatchObject([{ command: 'pace', vm: 'a', run: 7, percent: 100 }]);
      vitest
        .expect(harness.scheduler.tick(harness.getNow(), 0).commands)
        .toEqual([]);
    },
  );
});

vitest.describe(
  'a VM that restarts while advice about it is on its way',
  () => {
    vitest.it(
      'is asked about again (guards against a VM that a step never uses)',
      () => {
        const harness = harnesses.createHarness({ ignoresAdvice: true });
        harness.addVm('a');
        harness.addJob(
          'job',
          [harnesses.createStep({ lasts: true })],
          harnesses.createPolicy({
            advice: { fixedMs: 10, perVmMs: 1, validMs: 2_000 },
          }),
        );
        harness.advance(100);
        const vm = harness.vms.get('a')!;
        vm.entry = { ...vm.entry, incarnation: 2 };
        harness.report('a');
        harness.scheduler.setVmEntry('a', vm.entry, harness.getNow());
        const [step] = harness.listAdvisedSteps();
        harness.scheduler.applyAdvice(step!, ['a'], [], harness.getNow());
        harness.advance(100);
        vitest.expect(harness.listAdvisedSteps()).toHaveLength(2);
      },
    );
  },
);
