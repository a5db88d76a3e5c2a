/** VMs that crash: what is recorded about the runs on them. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

type Harness = harnesses.Harness;

/** Crashes a VM and starts it again as a new incarnation, without telling the scheduler. */
function restartVm(harness: Harness, id: string): void {
  const vm = harness.vms.get(id)!;
  const incarnation = (vm.entry.incarnation ?? 0) + 1;
  harness.vms.set(id, {
    entry: { ...vm.entry, incarnation },
    running: new Map(),
    ended: [],
    nextEnd: 1,
  });
}

function takeCrashes(harness: Harness): readonly core.workloads.CrashedRun[] {
  const nowMs = harness.getNow();
  return harness.scheduler.tick(nowMs, nowMs).crashedRuns;
}

function startTask(): Harness {
  const harness = harnesses.createHarness();
  harness.addVm('a');
  harness.addJob('job', [harnesses.createStep()]);
  harness.settle();
  harness.advance(400);
  return harness;
}

vitest.describe('the crash of a VM', () => {
  vitest.it('names the runs that were lost when a VM reports anew', () => {
    const harness = startTask();
    restartVm(harness, 'a');
    harness.report('a');
    vitest.expect(takeCrashes(harness)).toEqual([
      {
        task: { job: 'job', occurrence: 0, step: 0, index: 0 },
        run: 1,
        vm: 'a',
        evidence: 'restarted',
        aliveMs: 400,
        settled: false,
      },
    ]);
  });

  vitest.it(
    'is known from connections refused until the lease has expired, once',
    () => {
      const harness = startTask();
      harness.scheduler.loseVm('a', harness.getNow(), 'terminated');
      harness.scheduler.loseVm('a', harness.getNow(), 'terminated');
      vitest
        .expect(takeCrashes(harness).map(({ evidence }) => evidence))
        .toEqual(['terminated']);
      restartVm(harness, 'a');
      harness.report('a');
      vitest.expect(takeCrashes(harness)).toEqual([]);
    },
  );

  vitest.it('is recorded late when the lease has expired in silence', () => {
    const harness = startTask();
    harness.scheduler.loseVm('a', harness.getNow());
    vitest.expect(takeCrashes(harness)).toEqual([]);
    restartVm(harness, 'a');
    harness.report('a');
    vitest.expect(takeCrashes(harness).map(({ run }) => run)).toEqual([1]);
  });

  vitest.it("isn't recorded for a silent VM that reports again", () => {
    const harness = startTask();
    harness.scheduler.loseVm('a', harness.getNow());
    harness.vms.get('a')!.running.clear();
    harness.report('a');
    vitest.expect(takeCrashes(harness)).toEqual([]);
  });

  vitest.it("isn't recorded for a VM that drained and restarted", () => {
    const harness = startTask();
    const { entry } = harness.vms.get('a')!;
    const nowMs = harness.getNow();
    harness.scheduler.setVmEntry('a', { ...entry, draining: true }, nowMs);
    restartVm(harness, 'a');
    harness.scheduler.setVmEntry('a', harness.vms.get('a')!.entry, nowMs);
    harness.report('a');
    vitest.expect(takeCrashes(harness)).toEqual([]);
  });
});

const STEP_MS = 50;

/** Advances a harness whose VMs crash as soon as they run a task of the job `guilty`. */
function runGuilty(
  harness: Harness,
  options: { readonly forMs: number; readonly downMs?: number },
): { readonly crashes: readonly string[] } {
  const { forMs, downMs = 300 } = options;
  const crashes: string[] = [];
  const backAtMs = new Map<string, number>();
  const untilMs = harness.getNow() + forMs;
  const down = new Map<string, harnesses.HarnessVm>();
  while (harness.getNow() < untilMs) {
    harness.advance(STEP_MS);
    for (const [id, vm] of [...harness.vms]) {
      if (![...vm.running.values()].some(({ task }) => task.job === 'guilty'))
        continue;
      crashes.push(id);
      restartVm(harness, id);
      down.set(id, harness.vms.get(id)!);
      harness.vms.delete(id);
      backAtMs.set(id, harness.getNow() + downMs);
      harness.scheduler.suspendVm(id);
    }
    for (const [id, vm] of [...down]) {
      if (harness.getNow() < backAtMs.get(id)!) continue;
      down.delete(id);
      harness.vms.set(id, vm);
      harness.scheduler.setVmEntry(id, vm.entry, harness.getNow());
    }
  }
  return { crashes };
}

vitest.describe('a task that crashes the VMs that start it', () => {
  for (const [name, step] of Object.entries({
    'a batch task': {},
    'a service task': { lasts: true },
    'a gang': { gang: true, count: 2 },
  }))
    vitest.it(
      `is given up at the latest after five crashes: ${name} (guards against a task that crashes one VM after another)`,
      () => {
        const harness = harnesses.createHarness();
        for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) harness.addVm(id);
        harness.addJob('guilty', [
          harnesses.createStep({ maxPerVm: 1, ...step }),
        ]);
        harness.addJob('healthy', [
          harnesses.createStep({ count: 12, estimateMs: 60_000 }),
        ]);
        const { crashes } = runGuilty(harness, { forMs: 20_000 });
        const runs = new Set(
          harness.commands.flatMap((command) =>
            command.command === 'start' && command.task.job === 'guilty'
              ? [command.run]
              : [],
          ),
        );
        vitest.expect(crashes.length).toBeGreaterThanOrEqual(2);
        vitest.expect(runs.size).toBeLessThanOrEqual(5);
        vitest
          .expect(harness.scheduler.getCounts().get('task.given-up'))
          .toBe(1);
        vitest.expect([...harness.finals]).toEqual([['guilty', 'failed']]);
        vitest
          .expect(
            harness.listRuns().filter(({ task }) => task.startsWith('healthy')),
          )
          .toHaveLength(12);
      },
    );

  vitest.it(
    'is given up across changes of owner (guards against crashes that a new owner forgets)',
    () => {
      let stored: string | undefined;
      let starts = 0;
      let final: core.workloads.FinalState | undefined;
      for (let owner = 1; owner <= 8 && final === undefined; owner += 1) {
        const harness = harnesses.createHarness({ firstRun: owner * 1_000 });
        const job = harnesses.createJob({ id: 'guilty' });
        const nowMs = harness.getNow();
        harness.scheduler.restoreJob(
          job,
          harnesses.createProgress(stored, 'guilty'),
          0,
          nowMs,
          nowMs,
        );
        // All VMs have restarted since the last owner, which learned nothing of it.
        for (const id of ['a', 'b', 'c'])
          harness.addVm(id, { incarnation: owner });
        harness.settle();
        harness.settle();
        starts += harness.commands.filter(
          ({ command }) => command === 'start',
        ).length;
        stored = harness.progress.get('guilty');
        final = harness.finals.get('guilty');
      }
      vitest.expect(final).toBe('failed');
      vitest.expect(starts).toBeLessThanOrEqual(5);
    },
  );

  vitest.it(
    "isn't given up for starts without an answer (guards against crashes under runs that never began)",
    () => {
      const harness = harnesses.createHarness();
      const vms = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
      for (const id of vms) harness.addVm(id);
      harness.addJob('job', [harnesses.createStep()]);
      for (let crash = 0; crash < 6; crash += 1) {
        harness.scheduler.tick(harness.getNow(), harness.getNow());
        const start = harness.scheduler
          .confirmBatch()
          .find(({ command }) => command === 'start');
        if (start?.command !== 'start') throw new Error('no start');
        const { vm, task, run } = start;
        harness.scheduler.applyStart(
          vm,
          task,
          run,
          'unknown',
          harness.getNow(),
        );
        harness.scheduler.loseVm(vm, harness.getNow(), 'terminated');
        restartVm(harness, vm);
        harness.report(vm);
      }
      vitest
        .expect(harness.scheduler.getJobState('job', harness.getNow()))
        .not.toBe('failed');
    },
  );

  vitest.it(
    "isn't given up for recorded starts that no owner sent (guards against crashes under runs that never began)",
    () => {
      let stored: string | undefined;
      const job = harnesses.createJob();
      for (let owner = 1; owner <= 8; owner += 1) {
        const harness = harnesses.createHarness({ firstRun: owner * 1_000 });
        const nowMs = harness.getNow();
        harness.scheduler.restoreJob(
          job,
          harnesses.createProgress(stored),
          0,
          nowMs,
          nowMs,
        );
        // All VMs have restarted since the last owner, which stopped before it sent the start.
        for (const id of ['a', 'b', 'c'])
          harness.addVm(id, { incarnation: owner });
        const { batch, givenUpTasks } = harness.scheduler.tick(nowMs, nowMs);
        vitest.expect(givenUpTasks).toEqual([]);
        stored = batch?.progress.get('job');
      }
    },
  );

  vitest.it(
    "isn't given up for VMs that report again in the same incarnation (guards against LOST: a job that fails because its VMs were cut off)",
    () => {
      const harness = harnesses.createHarness();
      for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) harness.addVm(id);
      harness.addJob('job', [harnesses.createStep({ estimateMs: 60_000 })]);
      for (let cut = 0; cut < 6; cut += 1) {
        while (harness.listRuns().length === 0 && harness.getNow() < 60_000)
          harness.advance(100);
        harness.advance(100);
        const [run] = harness.listRuns();
        if (run === undefined) break;
        harness.scheduler.loseVm(run.vm, harness.getNow(), 'terminated');
        // The lease of the VM has ended its runs, but not its process.
        harness.endRun(run.vm, run.run, 'lapsed');
        harness.report(run.vm);
      }
      vitest.expect([...harness.finals]).toEqual([]);
    },
  );

  vitest.it('is cleared by a run that goes on', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('job', [harnesses.createStep({ lasts: true })]);
    for (let crash = 0; crash < 10; crash += 1) {
      for (let step = 0; step < 80; step += 1) harness.advance(STEP_MS);
      restartVm(harness, 'a');
      harness.report('a');
    }
    vitest.expect([...harness.finals]).toEqual([]);
  });
});
