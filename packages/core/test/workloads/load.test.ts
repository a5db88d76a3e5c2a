/** Loads that decisions answer, replayed in small. */
import * as vitest from 'vitest';
import * as worlds from './harness.js';

vitest.describe('a burst of large jobs', () => {
  vitest.it(
    'leaves room for the usual urgent work (guards against urgent tasks that wait for a stop)',
    () => {
      const world = worlds.createWorld();
      for (const id of ['a', 'b', 'c', 'd']) world.addVm(id);
      const urgent = worlds.createPolicy({
        name: 'urgent',
        priority: 0,
        stretch: 1.5,
        slackMs: 600,
      });
      const large = worlds.createPolicy({
        name: 'large',
        priority: 2,
        stretch: 4,
      });
      const urgentStep = worlds.createStep({ count: 6, estimateMs: 700 });
      world.addJob('u0', [urgentStep], urgent);
      world.advance(50);
      for (const { vm, run } of world.listRuns()) world.endRun(vm, run, 'done');
      for (let index = 0; index < 10; index += 1)
        world.addJob(
          `l${index}`,
          [
            worlds.createStep({
              count: 5,
              estimateMs: 5_000,
              size: { cores: 2, memoryMb: 10, gpus: 0 },
            }),
          ],
          large,
        );
      world.advance(200);
      world.addJob('u1', [urgentStep], urgent);
      world.advance(10);
      const started = world
        .listRuns()
        .filter(({ task }) => task.startsWith('u1'));
      vitest.expect(started).toHaveLength(6);
      vitest
        .expect(world.commands.some(({ command }) => command === 'stop'))
        .toBe(false);
      // The rest of the pool is used.
      vitest.expect(world.listRuns().length).toBeGreaterThanOrEqual(6 + 10);
    },
  );
});

vitest.describe('a steady flow of small tasks', () => {
  vitest.it(
    'leaves a VM to a gang that needs it whole (guards against gangs that starve)',
    () => {
      const world = worlds.createWorld();
      for (const id of ['a', 'b']) world.addVm(id);
      const small = worlds.createPolicy({ name: 'small', priority: 1 });
      const gang = worlds.createPolicy({
        name: 'gang',
        priority: 1,
        stretch: 8,
      });
      const size = { cores: 0.5, memoryMb: 10, gpus: 2 };
      let jobs = 0;
      const addSmall = () => {
        world.addJob(
          `s${jobs}`,
          [worlds.createStep({ size, estimateMs: 1_000 })],
          small,
        );
        jobs += 1;
      };
      for (let index = 0; index < 8; index += 1) addSmall();
      world.advance(10);
      world.addJob(
        'gang',
        [
          worlds.createStep({
            gang: true,
            estimateMs: 1_000,
            size: { cores: 1, memoryMb: 10, gpus: 8 },
          }),
        ],
        gang,
      );
      // One small task ends and another comes, time and again.
      for (let round = 0; round < 12; round += 1) {
        world.advance(100);
        const [oldest] = world
          .listRuns()
          .filter(({ task }) => task.startsWith('s'))
          .sort((a, b) => a.run - b.run);
        if (oldest !== undefined) world.endRun(oldest.vm, oldest.run, 'done');
        addSmall();
      }
      vitest.expect(world.commands).toContainEqual(
        vitest.expect.objectContaining({
          command: 'start',
          task: { job: 'gang', occurrence: 0, step: 0, index: 0 },
        }),
      );
    },
  );
});

vitest.describe('a VM that turns slow', () => {
  vitest.it(
    'gets no urgent tasks while others have room (guards against urgent tasks that end late on slow VMs)',
    () => {
      const world = worlds.createWorld();
      world.addVm('slow');
      world.addVm('sound');
      const policy = worlds.createPolicy();
      const step = worlds.createStep({ estimateMs: 700, maxPerVm: 2 });
      world.addJob('first', [{ ...step, count: 4 }], policy);
      world.frozen.add('slow');
      world.advance(10);
      for (let round = 0; round < 8; round += 1) {
        for (const run of world.vms.get('sound')!.running.values())
          run.percent = Math.min(99, run.percent + 12);
        world.advance(100);
      }
      world.addJob('second', [{ ...step, count: 2 }], policy);
      world.advance(10);
      vitest
        .expect(
          world
            .listRuns()
            .filter(({ task }) => task.startsWith('second'))
            .map(({ vm }) => vm),
        )
        .toEqual(['sound', 'sound']);
    },
  );
});

vitest.describe('orders that get no answer', () => {
  vitest.it(
    'cost a task no more than the answer to its stop (guards against urgent tasks that wait for the next report of a VM on which nothing ends)',
    () => {
      const world = worlds.createWorld({ losesStarts: true });
      world.addVm('a');
      world.addVm('b');
      world.addJob('urgent', [worlds.createStep()], worlds.createPolicy());
      world.advance(10);
      const [lost] = world.commands;
      if (lost?.command !== 'start') throw new Error('nothing was started');
      world.scheduler.applyStart(
        lost.vm,
        lost.task,
        lost.run,
        'unknown',
        world.readNow(),
      );
      // No VM reports by itself meanwhile.
      world.settle();
      vitest.expect(world.commands).toContainEqual({
        command: 'poll',
        vm: lost.vm,
      });
      const starts = world.commands.filter(
        ({ command }) => command === 'start',
      );
      vitest.expect(starts).toHaveLength(2);
    },
  );
});

vitest.describe('a gang that needs more VMs than are free', () => {
  const small = worlds.createPolicy({ name: 'small', priority: 2, stretch: 8 });
  const large = worlds.createPolicy({ name: 'large', priority: 1 });
  const smallStep = worlds.createStep({
    count: 5,
    savesProgress: true,
    estimateMs: 20_000,
    size: { cores: 0.5, memoryMb: 10, gpus: 1 },
  });

  vitest.it(
    'has only what stands in its way stopped (guards against gangs that wait beside a free VM)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      world.addJob('small', [smallStep], small);
      world.advance(10);
      world.addVm('b');
      world.addJob(
        'gang',
        [
          worlds.createStep({
            count: 2,
            gang: true,
            size: { cores: 1, memoryMb: 10, gpus: 8 },
          }),
        ],
        large,
      );
      for (let round = 0; round < 4; round += 1) world.advance(50);
      vitest
        .expect(world.listRuns().filter(({ task }) => task.startsWith('gang')))
        .toHaveLength(2);
    },
  );

  vitest.it(
    'counts members that share a VM (guards against stops on more VMs than it uses)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      world.addJob('s1', [smallStep], small);
      world.advance(10);
      world.addVm('b');
      world.addJob('s2', [smallStep], small);
      world.advance(10);
      vitest.expect(world.listRuns()).toHaveLength(10);
      world.addJob(
        'gang',
        [
          worlds.createStep({
            count: 2,
            gang: true,
            size: { cores: 1, memoryMb: 10, gpus: 4 },
          }),
        ],
        large,
      );
      for (let round = 0; round < 4; round += 1) world.advance(50);
      const gang = world
        .listRuns()
        .filter(({ task }) => task.startsWith('gang'));
      vitest.expect(gang).toHaveLength(2);
      vitest
        .expect(
          world.commands.filter(({ command }) => command === 'stop').length,
        )
        .toBeLessThanOrEqual(5);
    },
  );
});

vitest.describe('a steady load behind which a job became late', () => {
  vitest.it(
    'leaves it a turn while it is worth something (guards against jobs that wait until nobody wants them)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      const step = worlds.createStep({
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      // The objective is 3 s after arrival, and nothing is worth anything after 9 s.
      const policy = worlds.createPolicy({ stretch: 2, slackMs: 1_000 });
      world.addJob('first', [step], policy);
      world.advance(10);
      world.addJob('late', [step], policy);
      for (let round = 0; round < 4; round += 1) world.advance(1_000);
      for (let index = 0; index < 4; index += 1) {
        world.addJob(`next${index}`, [step], policy);
        for (const { vm, run } of world.listRuns())
          world.endRun(vm, run, 'done');
        world.advance(1_000);
      }
      const order = world.commands.flatMap((command) =>
        command.command === 'start' ? [command.task.job] : [],
      );
      vitest.expect(order.indexOf('late')).toBe(1);
      vitest.expect(order).toHaveLength(5);
    },
  );

  vitest.it(
    'serves no more than one late job of a pool before the others (guards against a load that makes every job late)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      world.addVm('b');
      const step = worlds.createStep({
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      const policy = worlds.createPolicy({ stretch: 2, slackMs: 1_000 });
      for (const id of ['first', 'second']) world.addJob(id, [step], policy);
      world.advance(10);
      for (const id of ['late1', 'late2']) world.addJob(id, [step], policy);
      for (let round = 0; round < 4; round += 1) world.advance(1_000);
      for (const id of ['next1', 'next2']) world.addJob(id, [step], policy);
      for (const { vm, run } of world.listRuns()) world.endRun(vm, run, 'done');
      world.advance(10);
      vitest
        .expect(world.listRuns().map(({ task }) => task.split('.')[0]))
        .toEqual(vitest.expect.arrayContaining(['late1', 'next1']));
    },
  );
});
