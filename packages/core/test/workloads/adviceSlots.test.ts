/** Which node asks for advice, when cheap and dear questions come together. */
import * as vitest from 'vitest';
import * as lanes from '../../src/workloads/adviceSlots.js';
import * as worlds from './harness.js';

const DEAR_MS = 640;
const CHEAP_MS = 23;

vitest.describe('nodes that ask for advice', () => {
  vitest.it(
    'never take a cheap question behind a dear one (guards against urgent steps that wait for the advice of large ones)',
    () => {
      const table = lanes.createLanes();
      table.setHelpers(['a', 'b', 'c', 'd', 'e']);
      table.choose(CHEAP_MS, 0);
      let dear = 0;
      while (table.choose(DEAR_MS, 0) !== undefined) dear += 1;
      vitest.expect(dear).toBe(4);
      for (let index = 0; index < 4; index += 1)
        vitest
          .expect(table.choose(CHEAP_MS, 0)?.expectedMs)
          .toBeLessThanOrEqual(3 * CHEAP_MS);
    },
  );

  vitest.it(
    'all take dear questions while there are no cheap ones (guards against nodes that stand idle)',
    () => {
      const table = lanes.createLanes();
      table.setHelpers(['a', 'b', 'c']);
      for (let index = 0; index < 4; index += 1)
        vitest.expect(table.choose(DEAR_MS, 0)).toBeDefined();
      vitest.expect(table.choose(DEAR_MS, 0)).toBeUndefined();
    },
  );

  vitest.it(
    'are passed over for a while after a question without an answer (guards against questions that are lost at a node that is cut off)',
    () => {
      const table = lanes.createLanes();
      table.setHelpers(['a']);
      const first = table.choose(DEAR_MS, 0);
      first?.release(false, 700);
      vitest.expect(table.choose(DEAR_MS, 800)?.helper).not.toBe(first?.helper);
      vitest.expect(table.choose(DEAR_MS, 800)).toBeUndefined();
      vitest.expect(table.choose(DEAR_MS, 3_000)?.helper).toBe(first?.helper);
    },
  );
});

vitest.describe('a queue of large steps on full VMs', () => {
  const advice = { fixedMs: 170, perVmMs: 2.4, validMs: 2_000 };

  vitest.it(
    'renews the tickets of a step together (guards against one question for every task that ends)',
    () => {
      const world = worlds.createWorld();
      for (const id of ['a', 'b', 'c', 'd']) world.addVm(id);
      const policy = worlds.createPolicy({ advice, slackMs: 60_000 });
      const step = worlds.createStep({
        count: 40,
        estimateMs: 4_000,
        size: { cores: 4, memoryMb: 10, gpus: 0 },
      });
      world.addJob('large', [step], policy);
      world.advance(100);
      vitest.expect(world.listRuns()).toHaveLength(8);
      world.advance(2_500);
      const before = world.listAsked().length;
      for (let round = 0; round < 15; round += 1) {
        const [oldest] = [...world.listRuns()].sort((a, b) => a.run - b.run);
        world.endRun(oldest!.vm, oldest!.run, 'done');
        world.advance(100);
        vitest.expect(world.listRuns()).toHaveLength(8);
      }
      vitest.expect(world.listAsked().length - before).toBeLessThanOrEqual(1);
    },
  );

  vitest.it(
    'has the tickets of a gang when its VM becomes free (guards against GPUs that stand idle for the time of an answer)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      const whole = { cores: 1, memoryMb: 10, gpus: 8 };
      const dear = { fixedMs: 560, perVmMs: 8, validMs: 2_000 };
      const policy = worlds.createPolicy({ advice: dear, slackMs: 60_000 });
      const gang = worlds.createStep({
        gang: true,
        size: whole,
        estimateMs: 5_000,
      });
      world.addJob('first', [gang], policy);
      world.advance(10);
      world.addJob('second', [gang], policy);
      // The runs of the world gain one percent a round.
      for (let round = 0; round < 95; round += 1) world.advance(50);
      const [run] = world.listRuns();
      const before = world.listAsked().length;
      world.endRun('a', run!.run, 'done');
      world.advance(10);
      vitest
        .expect(world.listRuns().map(({ task }) => task))
        .toEqual(['second.0.0.0']);
      vitest.expect(world.listAsked().length).toBe(before);
    },
  );

  vitest.it(
    'asks ahead for more steps the more VMs may become free (guards against VMs of a large pool that wait for answers)',
    () => {
      const world = worlds.createWorld();
      for (let index = 0; index < 60; index += 1) world.addVm(`vm${index}`);
      const policy = worlds.createPolicy({ advice, slackMs: 60_000 });
      const step = worlds.createStep({
        count: 60,
        estimateMs: 4_000,
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      world.addJob('first', [step], policy);
      world.advance(10);
      for (let index = 0; index < 8; index += 1)
        world.addJob(`next${index}`, [{ ...step, count: 1 }], policy);
      for (let round = 0; round < 6; round += 1) world.advance(10);
      const asked = new Set(world.listAsked().map(({ job }) => job));
      vitest.expect(asked.size).toBeGreaterThanOrEqual(9);
    },
  );
});
