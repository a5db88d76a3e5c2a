/** What a new owner makes of the reports of VMs that a previous owner used. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as worlds from './harness.js';

const key = { job: 'job', occurrence: 0, step: 0, index: 0 };

/** A successor whose store says that run 7 of the task is on VM a. */
function createSuccessor(step: Partial<core.workloads.StepSpec> = {}) {
  const world = worlds.createWorld({ firstRun: 1_000 });
  const job: core.workloads.Job = {
    id: 'job',
    queue: 'queue',
    payload: 'work',
    steps: [worlds.createStep(step)],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs: 0,
    policy: worlds.createPolicy(),
  };
  const progress = JSON.stringify({
    occurrences: [
      { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
    ],
  });
  world.scheduler.restoreJob(job, progress, 0, world.readNow(), 0);
  return world;
}

vitest.describe('a new owner', () => {
  vitest.it(
    'adopts a later run than the recorded one (guards against a second run beside one that was started without a record)',
    () => {
      const world = createSuccessor();
      world.addVm('b');
      world.vms.get('b')!.running.set('9/job.0.0.0', {
        task: key,
        run: 9,
        percent: 10,
        load: 0,
      });
      world.report('b');
      world.advance(10);
      world.addVm('a');
      world.vms.get('a')!.ended.push({
        number: 1,
        task: key,
        run: 7,
        how: 'stopped',
        saved: '',
      });
      for (let round = 0; round < 10; round += 1) world.advance(50);
      vitest
        .expect(world.listRuns())
        .toEqual([{ vm: 'b', task: 'job.0.0.0', run: 9 }]);
      vitest.expect(world.commands).toEqual([]);
    },
  );

  vitest.it(
    'waits for a run that it has stopped before it starts the task again (guards against two runs at a time)',
    () => {
      const world = createSuccessor();
      world.addVm('b');
      world.vms.get('b')!.running.set('5/job.0.0.0', {
        task: key,
        run: 5,
        percent: 10,
        load: 0,
      });
      // An order that isn't carried out yet: the run goes on at the VM.
      world.scheduler.applyReport(
        'b',
        {
          life: 1,
          running: [{ task: key, run: 5, saved: '', percent: 1, load: 0 }],
          ended: [],
          askedMs: world.readNow(),
        },
        world.readNow(),
      );
      world.addVm('a');
      const decision = world.scheduler.tick(world.readNow(), 0);
      vitest
        .expect(decision.commands.map(({ command }) => command))
        .not.toContain('start');
      vitest
        .expect(decision.batch?.progress.get('job') ?? '')
        .not.toContain('1000');
    },
  );

  vitest.it('starts the task at once when its VM does not list it', () => {
    const world = createSuccessor();
    world.addVm('a');
    world.advance(10);
    vitest
      .expect(world.listRuns())
      .toEqual([{ vm: 'a', task: 'job.0.0.0', run: 1_000 }]);
  });

  vitest.it(
    'waits for a silent VM until its leases are over (guards against a second run)',
    () => {
      const world = createSuccessor();
      world.addVm('b');
      for (let round = 0; round < 150; round += 1) world.advance(100);
      vitest.expect(world.listRuns()).toEqual([]);
      for (let round = 0; round < 20; round += 1) world.advance(100);
      vitest.expect(world.listRuns()).toHaveLength(1);
    },
  );
});

vitest.describe('starts that went out while the store was away', () => {
  vitest.it(
    'are known as unrecorded until a batch with them is durable (guards against a hand-over that tells nothing of them)',
    () => {
      const world = worlds.createWorld();
      world.addVm('a');
      const { scheduler } = world;
      const nowMs = world.readNow();
      world.addJob('first', [worlds.createStep()]);
      scheduler.tick(nowMs, nowMs);
      world.addJob('second', [worlds.createStep()]);
      scheduler.tick(nowMs, nowMs);
      vitest.expect(scheduler.hasUnrecorded()).toBe(false);
      vitest.expect(scheduler.releaseStarts()).toHaveLength(2);
      vitest.expect(scheduler.hasUnrecorded()).toBe(true);
      scheduler.confirmBatch();
      // The second start is in the next batch.
      vitest.expect(scheduler.hasUnrecorded()).toBe(true);
      vitest.expect(scheduler.tick(nowMs, nowMs).batch).toBeDefined();
      scheduler.confirmBatch();
      vitest.expect(scheduler.hasUnrecorded()).toBe(false);
    },
  );
});
