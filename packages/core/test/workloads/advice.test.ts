/** Advice under load: who is asked about, when, and that nobody is forgotten. */
import * as vitest from 'vitest';
import * as worlds from './harness.js';

const advice = { fixedMs: 100, perVmMs: 1, validMs: 2_000 };

vitest.describe('advice', () => {
  vitest.it(
    'is asked for a step that has room although better ranked steps have none (guards against jobs that stand still for ever)',
    () => {
      const world = worlds.createWorld({
        isGood: ({ job }) => job === 'small',
      });
      world.addVm('a');
      world.addVm('b');
      const large = worlds.createStep({
        count: 3,
        gang: true,
        size: { cores: 1, memoryMb: 100, gpus: 8 },
      });
      const first = worlds.createPolicy({ name: 'gangs', priority: 0, advice });
      for (const id of ['g1', 'g2', 'g3', 'g4'])
        world.addJob(id, [large], first);
      for (let round = 0; round < 10; round += 1) world.advance(100);
      world.addJob(
        'small',
        [worlds.createStep({ size: { cores: 1, memoryMb: 1, gpus: 1 } })],
        worlds.createPolicy({ priority: 2, advice }),
      );
      for (let round = 0; round < 10; round += 1) world.advance(100);
      vitest
        .expect(world.listRuns().map(({ task }) => task))
        .toContain('small.0.0.0');
    },
  );

  vitest.it(
    'is renewed for good VMs with room once tickets have expired (guards against starts with dead tickets)',
    () => {
      const world = worlds.createWorld({ isGood: (_, vm) => vm === 'b' });
      world.addVm('a');
      world.addVm('b', { capacity: { cores: 1, memoryMb: 8_000, gpus: 0 } });
      const policy = worlds.createPolicy({ advice });
      world.addJob('one', [worlds.createStep({ count: 2 })], policy);
      world.advance(10);
      const [run] = world.listRuns();
      vitest.expect(world.listRuns()).toHaveLength(1);
      world.advance(3_000);
      world.endRun('b', run!.run, 'done');
      world.advance(10);
      world.advance(10);
      vitest
        .expect(world.listRuns())
        .toEqual([{ vm: 'b', task: 'one.0.0.1', run: run!.run + 1 }]);
      vitest.expect(world.listAsked()).toHaveLength(2);
    },
  );

  vitest.it(
    'keeps a VM good whose ticket was refused as expired (guards against jobs that no VM may run any more)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      const policy = worlds.createPolicy({ advice });
      world.addJob('one', [worlds.createStep()], policy);
      const first = world.scheduler.tick(world.readNow(), 0);
      const asked = first.commands[0];
      if (asked?.command !== 'advise') throw new Error('no advice was asked');
      world.scheduler.applyAdvice(
        asked.step,
        asked.vms,
        [{ vm: 'a', ticket: 't' }],
        world.readNow(),
      );
      world.scheduler.tick(world.readNow(), 0);
      const [start] = world.scheduler.confirmBatch();
      if (start?.command !== 'start') throw new Error('nothing was started');
      world.scheduler.applyStart(
        'a',
        start.task,
        start.run,
        'ticket',
        world.readNow(),
      );
      for (let round = 0; round < 5; round += 1) world.advance(100);
      vitest.expect(world.listRuns()).toHaveLength(1);
    },
  );
});
