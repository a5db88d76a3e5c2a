/** Service tasks on VMs that are about to leave. */
import * as vitest from 'vitest';
import * as harnesses from './harness.js';

function createDrainingHarness(lasts: boolean) {
  const harness = harnesses.createHarness();
  harness.addVm('a');
  harness.addJob('job', [harnesses.createStep({ lasts })]);
  harness.settle();
  vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  return harness;
}

function drain(harness: harnesses.Harness, id: string): void {
  harness.scheduler.setVmEntry(
    id,
    harnesses.createEntry(id, { draining: true }),
    harness.getNow(),
  );
}

vitest.describe('a draining VM', () => {
  vitest.it(
    'has its service tasks moved before it leaves (guards against LOST: the task of a VM that has left is missing until its lease has expired)',
    () => {
      const harness = createDrainingHarness(true);
      harness.addVm('b');
      drain(harness, 'a');
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'has them moved by a new owner too, which has asked for no advice yet (guards against LOST: the task of a VM that was drained about the time of a takeover)',
    () => {
      const policy = harnesses.createPolicy({
        advice: { fixedMs: 100, perVmMs: 1, validMs: 1_500 },
      });
      const harness = harnesses.createHarness({ firstRun: 1_000 });
      const steps = [harnesses.createStep({ lasts: true })];
      harness.scheduler.restoreJob(
        {
          id: 'job',
          queue: policy.name,
          payload: 'work',
          steps,
          schedule: undefined,
          configVersion: 1,
          acceptedAtMs: 0,
          policy,
        },
        harnesses.createProgress(
          JSON.stringify({
            occurrences: [
              { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
            ],
          }),
        ),
        0,
        harness.getNow(),
        0,
      );
      harness.addVm('a', { draining: true });
      harness.vms.get('a')!.running.set('7/job.0.0.0', {
        task: { job: 'job', occurrence: 0, step: 0, index: 0 },
        run: 7,
        percent: 100,
        load: 0,
      });
      harness.report('a');
      harness.addVm('b');
      for (let round = 0; round < 6; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it('keeps a service task that no other VM has room for', () => {
    const harness = createDrainingHarness(true);
    harness.addVm('b', { capacity: { cores: 0.5, memoryMb: 10, gpus: 0 } });
    drain(harness, 'a');
    for (let round = 0; round < 4; round += 1) harness.advance(50);
    vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  });

  vitest.it('keeps tasks that end by themselves', () => {
    const harness = createDrainingHarness(false);
    harness.addVm('b');
    drain(harness, 'a');
    for (let round = 0; round < 4; round += 1) harness.advance(50);
    vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
  });

  vitest.it(
    'has no more tasks moved than there is room for elsewhere (guards against tasks that are stopped for a place which another one takes)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('job-1', [
        harnesses.createStep({ count: 2, lasts: true }),
      ]);
      harness.addJob('job-2', [
        harnesses.createStep({ count: 2, lasts: true }),
      ]);
      harness.settle();
      harness.addVm('b', { capacity: { cores: 1, memoryMb: 100, gpus: 0 } });
      drain(harness, 'a');
      let running = Infinity;
      for (let round = 0; round < 6; round += 1) {
        // Rounds without reports leave the stopped tasks between two VMs.
        harness.settle();
        harness.settle();
        harness.advance(50);
        running = Math.min(running, harness.listRuns().length);
      }
      vitest.expect(running).toBeGreaterThanOrEqual(3);
      const vms = harness.listRuns().map(({ vm }) => vm);
      vitest.expect(vms.sort()).toEqual(['a', 'a', 'a', 'b']);
    },
  );

  vitest.it(
    'has its service tasks moved after it was removed from the list too (guards against LOST: the entry of a draining VM that is cut off from the store expires while its tasks go on)',
    () => {
      const harness = createDrainingHarness(true);
      drain(harness, 'a');
      harness.advance(50);
      harness.scheduler.setVmEntry('a', undefined, harness.getNow());
      harness.addVm('b');
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'keeps the tasks of a VM that was removed from the list while it was not draining',
    () => {
      const harness = createDrainingHarness(true);
      harness.addVm('b');
      harness.scheduler.setVmEntry('a', undefined, harness.getNow());
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'a' }]);
    },
  );

  vitest.it(
    'gets no start whose record is written while the drain becomes known (guards against DRAIN with a slow store: a task that is started on a VM about to leave)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('job', [harnesses.createStep({ lasts: true })]);
      const decision = harness.scheduler.tick(
        harness.getNow(),
        harness.getNow(),
      );
      vitest.expect(decision.batch).toBeDefined();
      drain(harness, 'a');
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      vitest.expect(harness.scheduler.confirmBatch()).toEqual([]);
      harness.addVm('b');
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(harness.listRuns()).toMatchObject([{ vm: 'b' }]);
    },
  );

  vitest.it(
    'gets no start of a gang member either, and the gang starts elsewhere (guards against a gang that waits for a member on a VM about to leave)',
    () => {
      const harness = harnesses.createHarness();
      const capacity = { cores: 1, memoryMb: 100, gpus: 0 };
      harness.addVm('a', { capacity });
      harness.addVm('b', { capacity });
      harness.addJob('job', [harnesses.createStep({ count: 2, gang: true })]);
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      drain(harness, 'a');
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      vitest.expect(harness.scheduler.confirmBatch()).toEqual([]);
      harness.addVm('c', { capacity });
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest
        .expect(
          harness
            .listRuns()
            .map(({ vm }) => vm)
            .sort(),
        )
        .toEqual(['b', 'c']);
    },
  );

  vitest.it(
    'that leaves with a gang member has the whole gang started again (guards against a gang that waits for a member that is gone)',
    () => {
      const harness = harnesses.createHarness();
      const capacity = { cores: 1, memoryMb: 100, gpus: 0 };
      for (const id of ['a', 'b', 'c']) harness.addVm(id, { capacity });
      harness.addJob('job', [harnesses.createStep({ count: 2, gang: true })]);
      harness.settle();
      const leaving = harness.listRuns()[0]!.vm;
      drain(harness, leaving);
      harness.advance(50);
      harness.vms.delete(leaving);
      harness.scheduler.setVmEntry(leaving, undefined, harness.getNow());
      harness.scheduler.suspendVm(leaving);
      harness.scheduler.loseVm(leaving, harness.getNow());
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      const runs = harness.listRuns();
      vitest.expect(runs).toHaveLength(2);
      vitest.expect(runs[0]!.run).toBe(runs[1]!.run);
      vitest.expect(runs.map(({ vm }) => vm)).not.toContain(leaving);
    },
  );
});
