/** Decisions of the scheduler under particular loads, each reproduced with a few VMs. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as harnesses from './harness.js';

vitest.describe('a burst of large jobs', () => {
  vitest.it(
    'leaves headroom for the recent peak of urgent tasks (guards against urgent tasks that wait for the stop of other runs)',
    () => {
      const harness = harnesses.createHarness();
      for (const id of ['a', 'b', 'c', 'd']) harness.addVm(id);
      const urgent = harnesses.createPolicy({
        name: 'urgent',
        priority: 0,
        stretch: 1.5,
        slackMs: 600,
      });
      const large = harnesses.createPolicy({
        name: 'large',
        priority: 2,
        stretch: 4,
      });
      const urgentStep = harnesses.createStep({ count: 6, estimateMs: 700 });
      harness.addJob('u0', [urgentStep], urgent);
      harness.advance(50);
      for (const { vm, run } of harness.listRuns())
        harness.endRun(vm, run, 'done');
      for (let index = 0; index < 10; index += 1)
        harness.addJob(
          `l${index}`,
          [
            harnesses.createStep({
              count: 5,
              estimateMs: 5_000,
              size: { cores: 2, memoryMb: 10, gpus: 0 },
            }),
          ],
          large,
        );
      harness.advance(200);
      harness.addJob('u1', [urgentStep], urgent);
      harness.advance(10);
      const started = harness
        .listRuns()
        .filter(({ task }) => task.startsWith('u1'));
      vitest.expect(started).toHaveLength(6);
      vitest
        .expect(harness.commands.some(({ command }) => command === 'stop'))
        .toBe(false);
      // The large jobs use the rest of the pool.
      vitest.expect(harness.listRuns().length).toBeGreaterThanOrEqual(6 + 10);
    },
  );
});

vitest.describe('a steady flow of small tasks', () => {
  vitest.it(
    'leaves a VM reserved for a gang that needs a whole one (guards against gangs that starve)',
    () => {
      const harness = harnesses.createHarness();
      for (const id of ['a', 'b']) harness.addVm(id);
      const small = harnesses.createPolicy({ name: 'small', priority: 1 });
      const gang = harnesses.createPolicy({
        name: 'gang',
        priority: 1,
        stretch: 8,
      });
      const size = { cores: 0.5, memoryMb: 10, gpus: 2 };
      let jobs = 0;
      const addSmall = () => {
        harness.addJob(
          `s${jobs}`,
          [harnesses.createStep({ size, estimateMs: 1_000 })],
          small,
        );
        jobs += 1;
      };
      for (let index = 0; index < 8; index += 1) addSmall();
      harness.advance(10);
      harness.addJob(
        'gang',
        [
          harnesses.createStep({
            gang: true,
            estimateMs: 1_000,
            size: { cores: 1, memoryMb: 10, gpus: 8 },
          }),
        ],
        gang,
      );
      // In each round one small task ends and another arrives.
      for (let round = 0; round < 12; round += 1) {
        harness.advance(100);
        const [oldest] = harness
          .listRuns()
          .filter(({ task }) => task.startsWith('s'))
          .sort((a, b) => a.run - b.run);
        if (oldest !== undefined) harness.endRun(oldest.vm, oldest.run, 'done');
        addSmall();
      }
      vitest.expect(harness.commands).toContainEqual(
        vitest.expect.objectContaining({
          command: 'start',
          task: { job: 'gang', occurrence: 0, step: 0, index: 0 },
        }),
      );
    },
  );
});

vitest.describe('a VM that becomes slow', () => {
  vitest.it(
    'gets no new tasks while other VMs have room (guards against urgent tasks that end late on slow VMs)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('slow');
      harness.addVm('healthy');
      const policy = harnesses.createPolicy();
      const step = harnesses.createStep({ estimateMs: 700, maxPerVm: 2 });
      harness.addJob('first', [{ ...step, count: 4 }], policy);
      harness.stalledVms.add('slow');
      harness.advance(10);
      for (let round = 0; round < 8; round += 1) {
        for (const run of harness.vms.get('healthy')!.running.values())
          run.percent = Math.min(99, run.percent + 12);
        harness.advance(100);
      }
      harness.addJob('second', [{ ...step, count: 2 }], policy);
      harness.advance(10);
      vitest
        .expect(
          harness
            .listRuns()
            .filter(({ task }) => task.startsWith('second'))
            .map(({ vm }) => vm),
        )
        .toEqual(['healthy', 'healthy']);
    },
  );
});

vitest.describe('a start command without an answer', () => {
  vitest.it(
    'is followed by a stop and a poll, after which the task starts again (guards against urgent tasks that wait for the next regular report)',
    () => {
      const harness = harnesses.createHarness({ losesFirstStart: true });
      harness.addVm('a');
      harness.addVm('b');
      harness.addJob(
        'urgent',
        [harnesses.createStep()],
        harnesses.createPolicy(),
      );
      harness.advance(10);
      const [lost] = harness.commands;
      if (lost?.command !== 'start')
        throw new Error('no start command was sent');
      harness.scheduler.applyStart(
        lost.vm,
        lost.task,
        lost.run,
        'unknown',
        harness.getNow(),
      );
      // No VM sends a regular report meanwhile.
      harness.settle();
      const countCommands = (name: core.workloads.Command['command']) =>
        harness.commands.filter(({ command }) => command === name).length;
      vitest.expect(countCommands('stop')).toBe(1);
      // The run may have begun and be neither running nor ended while it is stopped.
      harness.wait(harnesses.LONGEST_STOP_MS - 2);
      harness.settle();
      vitest.expect(countCommands('poll')).toBe(0);
      vitest.expect(countCommands('start')).toBe(1);
      harness.settle();
      vitest.expect(harness.commands).toContainEqual({
        command: 'poll',
        vm: lost.vm,
      });
      vitest.expect(countCommands('poll')).toBe(1);
      vitest.expect(countCommands('start')).toBe(2);
    },
  );
});

vitest.describe('a gang that needs more VMs than are free', () => {
  const small = harnesses.createPolicy({
    name: 'small',
    priority: 2,
    stretch: 8,
  });
  const large = harnesses.createPolicy({ name: 'large', priority: 1 });
  const smallStep = harnesses.createStep({
    count: 5,
    savesProgress: true,
    estimateMs: 20_000,
    size: { cores: 0.5, memoryMb: 10, gpus: 1 },
  });

  vitest.it(
    'uses the free VM and preempts runs only on the other (guards against gangs that wait although one VM is free)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('small', [smallStep], small);
      harness.advance(10);
      harness.addVm('b');
      harness.addJob(
        'gang',
        [
          harnesses.createStep({
            count: 2,
            gang: true,
            size: { cores: 1, memoryMb: 10, gpus: 8 },
          }),
        ],
        large,
      );
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest
        .expect(
          harness.listRuns().filter(({ task }) => task.startsWith('gang')),
        )
        .toHaveLength(2);
    },
  );

  vitest.it(
    'preempts runs only on the VM that its members share (guards against preemption on more VMs than the gang uses)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('s1', [smallStep], small);
      harness.advance(10);
      harness.addVm('b');
      harness.addJob('s2', [smallStep], small);
      harness.advance(10);
      vitest.expect(harness.listRuns()).toHaveLength(10);
      harness.addJob(
        'gang',
        [
          harnesses.createStep({
            count: 2,
            gang: true,
            size: { cores: 1, memoryMb: 10, gpus: 4 },
          }),
        ],
        large,
      );
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      const gang = harness
        .listRuns()
        .filter(({ task }) => task.startsWith('gang'));
      vitest.expect(gang).toHaveLength(2);
      vitest
        .expect(
          harness.commands.filter(({ command }) => command === 'stop').length,
        )
        .toBeLessThanOrEqual(5);
    },
  );
});

vitest.describe('a steady load that made a job overdue', () => {
  vitest.it(
    'lets the overdue job start before it expires (guards against jobs that wait until their result is worthless)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      const step = harnesses.createStep({
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      // The objective is 3 s after arrival, and the job expires 9 s after arrival.
      const policy = harnesses.createPolicy({ stretch: 2, slackMs: 1_000 });
      harness.addJob('first', [step], policy);
      harness.advance(10);
      harness.addJob('overdue', [step], policy);
      for (let round = 0; round < 4; round += 1) harness.advance(1_000);
      for (let index = 0; index < 4; index += 1) {
        harness.addJob(`next${index}`, [step], policy);
        for (const { vm, run } of harness.listRuns())
          harness.endRun(vm, run, 'done');
        harness.advance(1_000);
      }
      const order = harness.commands.flatMap((command) =>
        command.command === 'start' ? [command.task.job] : [],
      );
      vitest.expect(order.indexOf('overdue')).toBe(1);
      vitest.expect(order).toHaveLength(5);
    },
  );

  vitest.it(
    'starts at most one overdue job per pool before the others (guards against a load that makes every job overdue)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addVm('b');
      const step = harnesses.createStep({
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      const policy = harnesses.createPolicy({ stretch: 2, slackMs: 1_000 });
      for (const id of ['first', 'second']) harness.addJob(id, [step], policy);
      harness.advance(10);
      for (const id of ['overdue1', 'overdue2'])
        harness.addJob(id, [step], policy);
      for (let round = 0; round < 4; round += 1) harness.advance(1_000);
      for (const id of ['next1', 'next2']) harness.addJob(id, [step], policy);
      for (const { vm, run } of harness.listRuns())
        harness.endRun(vm, run, 'done');
      harness.advance(10);
      vitest
        .expect(harness.listRuns().map(({ task }) => task.split('.')[0]))
        .toEqual(vitest.expect.arrayContaining(['overdue1', 'next1']));
    },
  );
});
