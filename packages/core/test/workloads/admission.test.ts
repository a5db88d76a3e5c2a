/** Refusals of what no VM could run. */
import * as vitest from 'vitest';
import * as worlds from './harness.js';

function createSettledWorld() {
  const world = worlds.createWorld();
  world.addVm('a');
  world.addVm('b', { labels: ['kind-b'] });
  world.advance(6_000);
  return world;
}

vitest.describe('admission', () => {
  vitest.it.each([
    {
      what: 'a task larger than any VM',
      step: { size: { cores: 9, memoryMb: 1, gpus: 0 } },
    },
    { what: 'a label that no VM has', step: { label: 'kind-z' } },
    {
      what: 'a gang larger than the pool',
      step: {
        gang: true,
        count: 3,
        size: { cores: 1, memoryMb: 1, gpus: 8 },
      },
    },
    {
      what: 'a gang that may not share VMs',
      step: { gang: true, count: 3, maxPerVm: 1 },
    },
  ])(
    'refuses $what (guards against callers that wait for nothing)',
    ({ step }) => {
      const world = createSettledWorld();
      vitest
        .expect(
          world.scheduler.checkAdmission(
            [worlds.createStep(step)],
            'pool',
            world.readNow(),
          ),
        )
        .toBeTypeOf('string');
    },
  );

  vitest.it('takes what must wait', () => {
    const world = createSettledWorld();
    world.addJob('large', [worlds.createStep({ count: 100 })]);
    world.advance(10);
    const steps = [worlds.createStep({ count: 1_000, label: 'kind-b' })];
    vitest
      .expect(world.scheduler.checkAdmission(steps, 'pool', world.readNow()))
      .toBeUndefined();
  });

  vitest.it(
    'refuses nothing before the VMs are known (guards against refusals after a change of the owner)',
    () => {
      const world = worlds.createWorld();
      const steps = [worlds.createStep({ label: 'kind-z' })];
      const { scheduler } = world;
      vitest
        .expect(scheduler.checkAdmission(steps, 'pool', world.readNow()))
        .toBeUndefined();
      world.addVm('a');
      world.advance(10);
      vitest
        .expect(scheduler.checkAdmission(steps, 'pool', world.readNow()))
        .toBeUndefined();
    },
  );
});
