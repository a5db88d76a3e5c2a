/** The size of the records of a job's progress, and what a successor restores from them. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as progress from '../../src/workloads/progress.js';
import * as harnesses from './harness.js';

const MAX_RECORD_BYTES = 262_144;
const policy = harnesses.createPolicy({ attempts: 100 });

/** Bytes of the largest record among keys and texts. */
function measureLargest(records: ReadonlyMap<string, string>): number {
  return Math.max(
    ...[...records].map(([key, text]) => key.length + text.length),
  );
}

/** Creates a harness in which all tasks of a job run, with VMs that have room for all. */
function createWideHarness(
  steps: readonly core.workloads.StepSpec[],
  given: {
    readonly maxRecordBytes?: number;
    readonly schedule?: core.workloads.Schedule;
  } = {},
): harnesses.Harness {
  const harness = harnesses.createHarness({
    firstRun: 1_000_001,
    ...(given.maxRecordBytes === undefined
      ? {}
      : { maxRecordBytes: given.maxRecordBytes }),
  });
  for (let at = 0; at < 10; at += 1)
    harness.addVm(`i-2ba37c790${at}`, {
      incarnation: 1_796_000_000_000,
      capacity: { cores: 1_000, memoryMb: 1_000_000, gpus: 0 },
    });
  harness.addJob('b160000000000000', steps, policy, given.schedule);
  harness.settle();
  return harness;
}

function createWideStep(count: number): core.workloads.StepSpec {
  return harnesses.createStep({
    count,
    size: { cores: 0.25, memoryMb: 128, gpus: 0 },
    savesProgress: true,
  });
}

/** Sends the reports of all VMs and lets the scheduler act on them. */
function reportAll(harness: harnesses.Harness): void {
  for (const id of harness.vms.keys()) harness.report(id);
  harness.settle();
}

/** Ends some runs in each way that leaves something in the record. */
function endRuns(harness: harnesses.Harness, every: number): void {
  for (const [at, { vm, run }] of harness.listRuns().entries())
    if (at % every === 0)
      harness.endRun(
        vm,
        run,
        (['done', 'failed', 'stopped'] as const)[at % 3]!,
        `saved-${String(run).padStart(10, '0')}`,
      );
  reportAll(harness);
}

/** Returns what the records tell of a job once a successor has restored it and written it again. */
function restoreRecords(
  harness: harnesses.Harness,
  job: core.workloads.Job,
  records: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const open = harnesses.createOpenScheduler(harness.getNow());
  open.scheduler.restoreJob(
    job,
    core.workloads.splitProgress(records).get(job.id),
    0,
    harness.getNow(),
    harness.getNow(),
  );
  return progress.encodeProgress(
    open.state.jobs.get(job.id)!,
    MAX_RECORD_BYTES,
  );
}

vitest.describe('the progress of a job', () => {
  vitest.it(
    'of 4,000 tasks that save their progress is stored in records that the store takes (guards against LOST: a rejected record that all others wait behind)',
    () => {
      const harness = createWideHarness([createWideStep(4_000)]);
      vitest.expect(harness.listRuns()).toHaveLength(4_000);
      // A task that was stopped and runs again takes the most bytes.
      for (const { vm, run } of harness.listRuns())
        harness.endRun(vm, run, 'stopped', '00000bb87a21d94b');
      reportAll(harness);
      vitest.expect(harness.listRuns()).toHaveLength(4_000);
      for (let round = 0; round < 6; round += 1) endRuns(harness, 2);
      vitest
        .expect(measureLargest(harness.progress))
        .toBeLessThanOrEqual(MAX_RECORD_BYTES);
      vitest.expect(harness.progress.size).toBeGreaterThan(1);
    },
  );

  vitest.it(
    'of a schedule with thousands of occurrences that are due at once is stored in such records too',
    () => {
      const harness = createWideHarness([createWideStep(1)], {
        schedule: { times: 10_000, firstAtMs: 0, intervalMs: 0 },
      });
      vitest.expect(harness.listRuns().length).toBeGreaterThan(1_000);
      endRuns(harness, 1);
      vitest
        .expect(measureLargest(harness.progress))
        .toBeLessThanOrEqual(MAX_RECORD_BYTES);
    },
  );

  vitest.it.each([MAX_RECORD_BYTES, 3_000])(
    'is restored whole from records of at most %d bytes (guards against TWICE: a finished task that a successor does not know of)',
    (maxRecordBytes) => {
      const steps = [
        createWideStep(300),
        { ...createWideStep(500), after: [0] },
        { ...createWideStep(40), gang: true },
      ];
      const harness = createWideHarness(steps, { maxRecordBytes });
      for (let round = 0; round < 8; round += 1) endRuns(harness, 3);
      vitest
        .expect(measureLargest(harness.progress))
        .toBeLessThanOrEqual(maxRecordBytes);
      const job = harnesses.createJob({
        id: 'b160000000000000',
        steps,
        policy,
      });
      const stored = restoreRecords(harness, job, harness.progress);
      const again = restoreRecords(harness, job, stored);
      vitest.expect([...again]).toEqual([...stored]);
      const countDone = (records: ReadonlyMap<string, string>) =>
        [...records.values()]
          .join()
          .match(/"done":"[01]*"/g)!
          .join('')
          .split('1').length;
      vitest.expect(countDone(stored)).toBe(countDone(harness.progress));
      vitest.expect(countDone(stored)).toBeGreaterThan(100);
    },
  );

  vitest.it('is written only as far as it has changed', () => {
    const harness = createWideHarness([createWideStep(4_000)]);
    reportAll(harness);
    const [first, second] = harness.listRuns();
    harness.endRun(first!.vm, first!.run, 'failed');
    reportAll(harness);
    const before = new Map(harness.progress);
    harness.endRun(second!.vm, second!.run, 'failed');
    harness.report(second!.vm);
    const { batch } = harness.scheduler.tick(
      harness.getNow(),
      harness.getNow(),
    );
    vitest.expect(batch?.progress.size).toBeLessThan(before.size / 2);
  });

  vitest.it(
    'leaves no record behind when its job ends, also when a successor ends it',
    () => {
      const harness = createWideHarness([createWideStep(600)]);
      vitest.expect(harness.progress.size).toBeGreaterThan(1);
      for (let round = 0; round < 20 && harness.finals.size === 0; round += 1) {
        for (const { vm, run } of harness.listRuns())
          harness.endRun(vm, run, 'done');
        reportAll(harness);
      }
      harness.settle();
      vitest.expect([...harness.finals.values()]).toEqual(['completed']);
      vitest.expect([...harness.progress.keys()]).toEqual([]);
    },
  );

  vitest.it(
    'does not grow with the failures of a service task (guards against a record that the store rejects after days)',
    () => {
      const step = harnesses.createStep({ lasts: true, count: 1 });
      const harness = createWideHarness([step]);
      for (let failure = 0; failure < 50; failure += 1) {
        for (const { vm, run } of harness.listRuns())
          harness.endRun(vm, run, 'failed');
        for (let round = 0; round < 4; round += 1) harness.advance(1_000);
      }
      vitest
        .expect([...harness.progress.values()].join())
        .not.toContain('failed');
    },
  );

  vitest.it(
    'that the store rejects for good fails its job alone, and no start of it is sent',
    () => {
      const { scheduler } = harnesses.createOpenScheduler(1_000);
      scheduler.setVmEntry('a', harnesses.createEntry('a'), 1_000);
      scheduler.applyReport(
        'a',
        { incarnation: 1, running: [], ended: [], requestSentMs: 1_000 },
        1_000,
      );
      for (const id of ['big', 'small'])
        scheduler.acceptJob(harnesses.createJob({ id }), 0, 1_000, 1_000);
      const { batch } = scheduler.tick(1_000, 1_000);
      vitest
        .expect([...batch!.progress.keys()].sort())
        .toEqual(['big', 'small']);
      vitest
        .expect([...scheduler.failUnrecorded(['big'], 1_001)])
        .toEqual([['big', 'failed']]);
      const starts = scheduler.confirmBatch();
      vitest
        .expect(starts)
        .toMatchObject([{ command: 'start', task: { job: 'small' } }]);
      vitest.expect(scheduler.hasJob('big')).toBe(false);
    },
  );
});
