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

  vitest.it('is known from refused connections, once', () => {
    const harness = startTask();
    harness.scheduler.failVm('a', harness.getNow());
    harness.scheduler.failVm('a', harness.getNow());
    vitest
      .expect(takeCrashes(harness).map(({ evidence }) => evidence))
      .toEqual(['terminated']);
    restartVm(harness, 'a');
    harness.report('a');
    vitest.expect(takeCrashes(harness)).toEqual([]);
  });

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
