/** Reports of VMs that have more ends than they list at a time. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const POLICY = harnesses.createPolicy({ attempts: 1 });
const TIMEOUT_MS = 16_000;

/** A VM that lists one end at a time, and the scheduler of its owner. */
class ListingVm {
  nowMs = 1_000;
  running: core.workloads.ReportedRun[] = [];
  ended: core.workloads.ReportedEnd[] = [];
  readonly started: string[] = [];
  readonly stopped: string[] = [];
  private batch: core.workloads.RecordBatch | undefined;

  constructor(
    readonly scheduler: core.workloads.WorkloadScheduler = harnesses.createOpenScheduler(
      1_000,
    ).scheduler,
  ) {
    scheduler.setVmEntry('a', harnesses.createEntry('a'), this.nowMs);
  }

  report(): void {
    const durableEnd = this.scheduler.getDurableEnd('a');
    this.ended = this.ended.filter(({ number }) => number > durableEnd);
    this.scheduler.applyReport(
      'a',
      {
        incarnation: 1,
        running: this.running,
        ended: this.ended.slice(0, 1),
        mayHaveMoreEnds: this.ended.length >= 1,
        requestSentMs: this.nowMs,
        clockMs: this.nowMs,
      },
      this.nowMs,
    );
  }

  /** Runs a round; its records stay unconfirmed. */
  tick(): void {
    const decision = this.scheduler.tick(this.nowMs, this.nowMs);
    this.batch ??= decision.batch;
    this.execute(decision.commands);
  }

  confirm(): void {
    if (this.batch === undefined) return;
    this.batch = undefined;
    this.execute(this.scheduler.confirmBatch());
  }

  private execute(commands: readonly core.workloads.Command[]): void {
    for (const command of commands) {
      if (command.command !== 'start' && command.command !== 'stop') continue;
      const { task, run } = command;
      const name = core.workloads.formatTask(task);
      if (command.command === 'stop') {
        this.stopped.push(name);
        continue;
      }
      this.started.push(name);
      this.running.push({ task, run, saved: '', percent: 10, load: 0 });
      this.scheduler.applyStart('a', task, run, 'started', this.nowMs);
    }
  }

  /** Ends all runs in the order of their starts: the first one `done`, the others as given. */
  endAll(how: core.workloads.RunEnd): void {
    for (const { task, run } of this.running) {
      const number = this.ended.length + 1;
      this.ended.push({
        number,
        task,
        run,
        how: number === 1 ? 'done' : how,
        saved: '',
      });
    }
    this.running = [];
  }

  /** Lets time pass with regular reports; with a store that answers, records become durable. */
  pass(forMs: number, confirms: boolean): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
      this.nowMs += 100;
      this.report();
      this.tick();
      if (confirms) this.confirm();
    }
  }
}

function createRunningVm(count: number): ListingVm {
  const vm = new ListingVm();
  vm.report();
  const steps = [harnesses.createStep({ count })];
  vm.scheduler.acceptJob(
    harnesses.createJob({ steps, policy: POLICY }),
    0,
    vm.nowMs,
    vm.nowMs,
  );
  vm.tick();
  vm.confirm();
  vm.pass(200, true);
  return vm;
}

vitest.describe('runs whose ends are not listed yet', () => {
  vitest.it(
    'are not started again while the store takes no records (guards against TWICE: finished tasks that count as lost)',
    () => {
      const vm = createRunningVm(4);
      vitest.expect(vm.started).toHaveLength(4);
      vm.endAll('done');
      vm.pass(6_000, false);
      vitest.expect(vm.started).toHaveLength(4);
      // They don't count as stalled either.
      vitest.expect(vm.stopped).toEqual([]);
      vm.pass(1_000, true);
      vitest.expect(vm.started).toHaveLength(4);
      vitest.expect(vm.scheduler.hasJob('job')).toBe(false);
    },
  );

  vitest.it(
    'spend an attempt if they have failed (guards against BUDGET: a start after the last attempt)',
    () => {
      const vm = createRunningVm(2);
      vm.endAll('failed');
      vm.pass(3_000, false);
      vm.pass(1_000, true);
      vitest.expect(vm.started).toHaveLength(2);
    },
  );

  vitest.it.each(['recorded', 'unrecorded'] as const)(
    'are not started again by a new owner, though all leases of its predecessors have ended (%s starts)',
    (how) => {
      const open = harnesses.createOpenScheduler(1_000, how === 'unrecorded');
      const steps = [harnesses.createStep({ count: 3 })];
      const job = harnesses.createJob({ steps, policy: POLICY });
      const runs = [0, 1, 2].map((index) => [index, 7 + index, 'a', 1]);
      const progress = JSON.stringify({
        occurrences: [
          {
            number: 0,
            steps: [{ done: '000', runs: how === 'recorded' ? runs : [] }],
          },
        ],
      });
      open.scheduler.restoreJob(
        job,
        harnesses.createProgress(progress),
        0,
        1_000,
        1_000,
      );
      const vm = new ListingVm(open.scheduler);
      vm.running = [0, 1, 2].map((index) => ({
        task: { job: 'job', occurrence: 0, step: 0, index },
        run: 7 + index,
        saved: '',
        percent: 10,
        load: 0,
      }));
      vm.endAll('done');
      vm.pass(TIMEOUT_MS + 2_000, false);
      vitest.expect(vm.started).toEqual([]);
      vm.pass(1_000, true);
      vitest.expect(vm.started).toEqual([]);
      vitest.expect(vm.scheduler.hasJob('job')).toBe(false);
    },
  );
});
