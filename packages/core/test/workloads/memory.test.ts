/** What the scheduler keeps of jobs that have ended. */
import * as vitest from 'vitest';
import * as worlds from './harness.js';

vitest.describe('an ended job', () => {
  vitest.it(
    'leaves the tables once its end is durable (guards against memory that grows with every job)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      for (let index = 0; index < 20; index += 1) {
        const id = `job${index}`;
        world.addJob(id, [worlds.createStep({ count: 2 })]);
        world.advance(10);
        if (index % 2 === 0)
          for (const { vm, run } of world.listRuns())
            world.endRun(vm, run, 'done');
        else world.scheduler.cancelJob(id, world.readNow());
        world.advance(10);
        world.advance(10);
      }
      vitest.expect(world.finals.size).toBe(10);
      vitest.expect(world.progress.size).toBe(0);
      vitest.expect(world.scheduler.readJob('job0')).toBeUndefined();
      vitest.expect(world.scheduler.readJob('job1')).toBeUndefined();
    },
  );
});
