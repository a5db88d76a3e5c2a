/** Owed tasks: each cause for which a task that should run doesn't, and contradictions in the tables. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as jobs from '../../src/workloads/jobs.js';
import * as owed from '../../src/workloads/owed.js';
import * as states from '../../src/workloads/state.js';
import * as harnesses from './harness.js';

const POLL_MS = 400;

/** Advances a harness in short steps, so that the VMs report as often as they do in a cluster. */
function advance(harness: harnesses.Harness, byMs: number): void {
  for (let passedMs = 0; passedMs < byMs; passedMs += POLL_MS)
    harness.advance(POLL_MS);
}

/** Advances only the scheduler's clock: no VM reports and no command is carried out. */
function tickAt(harness: harnesses.Harness, nowMs: number) {
  return harness.scheduler.tick(nowMs, nowMs);
}

function findOwed(
  harness: harnesses.Harness,
  nowMs = harness.getNow(),
): readonly core.workloads.OwedTask[] {
  return harness.scheduler.findOwed({
    nowMs,
    nowUnixMs: nowMs,
    hasSession: () => true,
  });
}

const lasting = harnesses.createStep({ lasts: true });
const advised = harnesses.createPolicy({
  advice: { fixedMs: 10, perVmMs: 1, validMs: 2_000 },
});

vitest.describe('a task that runs or whose turn has not come', () => {
  vitest.it('is not owed', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('service', [lasting]);
    harness.addJob('chain', [
      harnesses.createStep(),
      harnesses.createStep({ after: [0] }),
    ]);
    advance(harness, 6_000);
    vitest.expect(findOwed(harness)).toEqual([]);
  });

  vitest.it(
    'is not owed before its bound: 3 s for a service task, its objective for others',
    () => {
      const harness = harnesses.createHarness();
      harness.addJob('service', [lasting]);
      harness.addJob('batch', [harnesses.createStep({ estimateMs: 4_000 })]);
      const startMs = harness.getNow();
      vitest.expect(findOwed(harness, startMs + 2_900)).toEqual([]);
      vitest
        .expect(findOwed(harness, startMs + 3_000).map(({ task }) => task.job))
        .toEqual(['service']);
      vitest
        .expect(findOwed(harness, startMs + 9_000).map(({ task }) => task.job))
        .toEqual(['service']);
      vitest
        .expect(findOwed(harness, startMs + 9_001).map(({ task }) => task.job))
        .toEqual(['service', 'batch']);
    },
  );
});

vitest.describe('the cause of an owed task', () => {
  vitest.it(
    'is a VM without reports, also while it counts as usable (guards against a session that has stopped and whose tasks count as running)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('service', [lasting]);
      advance(harness, 2_000);
      const reportedMs = harness.getNow();
      vitest.expect(findOwed(harness, reportedMs + 2_900)).toEqual([]);
      vitest.expect(findOwed(harness, reportedMs + 3_100)).toMatchObject([
        {
          sinceMs: reportedMs,
          cause: { why: 'vm-silent', silentSinceMs: reportedMs },
        },
      ]);
    },
  );

  vitest.it('is a silent VM, with the time of its last report', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('service', [lasting]);
    advance(harness, 2_000);
    const reportedMs = harness.getNow();
    harness.scheduler.suspendVm('a');
    tickAt(harness, reportedMs + 3_100);
    const [found] = findOwed(harness, reportedMs + 3_100);
    vitest.expect(found).toMatchObject({
      sinceMs: reportedMs,
      lasts: true,
      cause: {
        why: 'vm-silent',
        run: { vm: 'a', run: 1, phase: 'running' },
        silentSinceMs: reportedMs,
      },
    });
    vitest.expect(harness.scheduler.getCounts().get('owed.vm-silent')).toBe(1);
  });

  vitest.it(
    'keeps the time since the task ran when its VM is lost and no other has room',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('service', [lasting]);
      advance(harness, 2_000);
      const reportedMs = harness.getNow();
      harness.scheduler.suspendVm('a');
      harness.scheduler.loseVm('a', reportedMs + 9_000);
      const decision = tickAt(harness, reportedMs + 9_000);
      vitest
        .expect(decision.endedRuns)
        .toMatchObject([{ vm: 'a', run: 1, how: 'lost' }]);
      const [found] = findOwed(harness, reportedMs + 9_000);
      vitest.expect(found).toMatchObject({
        sinceMs: reportedMs,
        cause: { why: 'no-vm', pool: { poolVms: 1, silent: 1, eligible: 0 } },
      });
    },
  );

  vitest.it('is an inherited run whose VM has not reported', () => {
    const harness = harnesses.createHarness({ firstRun: 1_000 });
    const nowMs = harness.getNow();
    const job: core.workloads.Job = {
      id: 'job',
      queue: 'queue',
      payload: 'work',
      steps: [lasting],
      schedule: undefined,
      configVersion: 1,
      acceptedAtMs: 0,
      policy: harnesses.createPolicy(),
    };
    const progress = JSON.stringify({
      occurrences: [
        { number: 0, steps: [{ done: '0', runs: [[0, 7, 'a', 1]] }] },
      ],
    });
    harness.scheduler.restoreJob(
      job,
      harnesses.createProgress(progress),
      60_000,
      nowMs,
      nowMs,
    );
    const [found] = findOwed(harness, nowMs + 3_000);
    vitest.expect(found).toMatchObject({
      sinceMs: nowMs,
      cause: {
        why: 'inherited',
        run: { vm: 'a', run: 7, phase: 'inherited' },
        untilMs: nowMs + 16_000,
      },
    });
  });

  vitest.it('is a start whose record is not durable', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('service', [lasting]);
    const nowMs = harness.getNow();
    tickAt(harness, nowMs);
    vitest
      .expect(findOwed(harness, nowMs + 3_000)[0]?.cause)
      .toMatchObject({ why: 'start-recording', run: { phase: 'recording' } });
  });

  vitest.it('is a start command without an outcome', () => {
    const harness = harnesses.createHarness({ losesFirstStart: true });
    harness.addVm('a');
    harness.addJob('service', [lasting]);
    advance(harness, 4_000);
    vitest.expect(findOwed(harness)[0]?.cause).toMatchObject({
      why: 'start-sent',
      run: { vm: 'a', run: 1, phase: 'sent' },
    });
  });

  vitest.it('is a stop that is not confirmed, with its retries', () => {
    const harness = harnesses.createHarness({ losesFirstStart: true });
    harness.addVm('a');
    const job = harness.addJob('service', [lasting]);
    harness.settle();
    const key = { job: job.id, occurrence: 0, step: 0, index: 0 };
    const nowMs = harness.getNow();
    harness.scheduler.applyStart('a', key, 1, 'unknown', nowMs);
    for (let atMs = nowMs; atMs <= nowMs + 3_200; atMs += POLL_MS)
      tickAt(harness, atMs);
    vitest.expect(findOwed(harness, nowMs + 3_200)[0]?.cause).toMatchObject({
      why: 'stopping',
      run: { vm: 'a', run: 1, phase: 'stopping' },
      stoppingSinceMs: nowMs,
      stopsSent: 5,
      confirmed: false,
    });
  });

  vitest.it('is a stray run', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addVm('b');
    const job = harness.addJob('service', [lasting]);
    advance(harness, 2_000);
    const [run] = harness.listRuns();
    const otherVm = run?.vm === 'a' ? 'b' : 'a';
    const key = { job: job.id, occurrence: 0, step: 0, index: 0 };
    const nowMs = harness.getNow();
    harness.scheduler.applyReport(
      otherVm,
      {
        incarnation: 1,
        running: [{ task: key, run: 99, saved: '', percent: 1, load: 0 }],
        ended: [],
        requestSentMs: nowMs,
      },
      nowMs,
    );
    harness.scheduler.loseVm(run?.vm ?? '', nowMs);
    vitest
      .expect(findOwed(harness, nowMs + 3_000)[0]?.cause)
      .toEqual({ why: 'stray-run', vms: [otherVm] });
  });

  vitest.it('is a wait for reports after a change of owner', () => {
    const harness = harnesses.createHarness({ unrecordedStarts: true });
    const nowMs = harness.getNow();
    harness.addVm('a');
    harness.scheduler.setVmEntry('b', harnesses.createEntry('b'), nowMs);
    harness.addJob('service', [lasting]);
    advance(harness, 4_000);
    vitest
      .expect(findOwed(harness)[0]?.cause)
      .toEqual({ why: 'reports-awaited', vms: ['b'], untilMs: nowMs + 16_000 });
  });

  vitest.it('is the previous attempt of a gang', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addVm('b');
    harness.addJob('gang', [
      harnesses.createStep({ count: 2, gang: true, maxPerVm: 1 }),
    ]);
    advance(harness, 2_000);
    const nowMs = harness.getNow();
    harness.scheduler.suspendVm('b');
    harness.scheduler.loseVm('a', nowMs);
    const found = findOwed(harness, nowMs + 3_500);
    vitest.expect(found.map(({ cause }) => cause)).toMatchObject([
      {
        why: 'gang-ending',
        runs: [{ vm: 'b', phase: 'stopping' }],
      },
      { why: 'vm-silent', run: { vm: 'b', phase: 'stopping' } },
    ]);
  });

  vitest.it('is that no VM of the pool may run it', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a', { draining: true });
    harness.addVm('other', { pool: 'other' });
    harness.addJob('service', [lasting]);
    advance(harness, 4_000);
    vitest.expect(findOwed(harness)[0]?.cause).toMatchObject({
      why: 'no-vm',
      pool: { poolVms: 1, draining: 1, eligible: 0 },
    });
  });

  vitest.it('is that no VM has room', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a', { capacity: { cores: 1, memoryMb: 8_000, gpus: 0 } });
    harness.addJob('first', [lasting]);
    harness.settle();
    harness.addJob('second', [lasting]);
    advance(harness, 4_000);
    vitest.expect(findOwed(harness)).toMatchObject([
      {
        task: { job: 'second' },
        cause: { why: 'no-room', pool: { eligible: 1, withRoom: 0 } },
      },
    ]);
  });

  vitest.it('is that there is no room for all members of a gang', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a');
    harness.addJob('gang', [
      harnesses.createStep({ count: 2, gang: true, maxPerVm: 1 }),
    ]);
    advance(harness, 4_000);
    vitest
      .expect(findOwed(harness).map(({ cause }) => cause.why))
      .toEqual(['no-room-for-gang', 'no-room-for-gang']);
  });

  vitest.it('is that the only room is reserved for another step', () => {
    const harness = harnesses.createHarness();
    const capacity = { cores: 4, memoryMb: 8_000, gpus: 0 };
    harness.addVm('a', { capacity });
    harness.addVm('b', { capacity });
    const size = { cores: 2, memoryMb: 100, gpus: 0 };
    // One task on each VM leaves too little room for a member of the gang.
    harness.addJob('filling', [
      harnesses.createStep({ count: 2, size, maxPerVm: 1, estimateMs: 60_000 }),
    ]);
    // Tasks that have just started could be preempted for the gang.
    advance(harness, 800);
    harness.addJob(
      'gang',
      [
        harnesses.createStep({
          count: 2,
          gang: true,
          size: { cores: 4, memoryMb: 100, gpus: 0 },
        }),
      ],
      harnesses.createPolicy({ priority: 0 }),
    );
    harness.settle();
    // An overdue service may use such room, other steps may not.
    harness.addJob('small', [
      harnesses.createStep({ gang: true, estimateMs: 60_000 }),
    ]);
    advance(harness, 4_000);
    const found = findOwed(harness).find(({ task }) => task.job === 'small');
    vitest.expect(found).toMatchObject({
      cause: {
        why: 'room-reserved',
        reservedFor: [{ job: 'gang', occurrence: 0, step: 0 }],
        pool: { withRoom: 2, reserved: 2 },
      },
    });
  });

  vitest.it('is an advice request in flight', () => {
    const harness = harnesses.createHarness({ ignoresAdvice: true });
    harness.addVm('a');
    const nowMs = harness.getNow();
    harness.addJob('service', [lasting], advised);
    tickAt(harness, nowMs);
    vitest.expect(findOwed(harness, nowMs + 3_000)[0]?.cause).toMatchObject({
      why: 'advice-pending',
      pool: { withRoom: 1, approved: 0 },
    });
  });

  vitest.it('is that all nodes are busy with other advice requests', () => {
    const harness = harnesses.createHarness({ ignoresAdvice: true });
    const nowMs = harness.getNow();
    harness.addVm('a');
    const policy = harnesses.createPolicy({
      advice: { fixedMs: 9_000, perVmMs: 1, validMs: 2_000 },
    });
    harness.addJob('first', [lasting], policy);
    harness.addJob('second', [lasting], policy);
    tickAt(harness, nowMs);
    vitest
      .expect(findOwed(harness, nowMs + 3_000).map(({ cause }) => cause.why))
      .toEqual(['advice-pending', 'no-advice-slot']);
  });

  vitest.it('is that no approved VM has room', () => {
    const harness = harnesses.createHarness({ isApproved: () => false });
    harness.addVm('a');
    harness.addJob('service', [lasting], advised);
    advance(harness, 4_000);
    vitest.expect(findOwed(harness)[0]?.cause).toMatchObject({
      why: 'no-approved-room',
      pool: { withRoom: 1, approved: 0, approvedWithRoom: 0 },
    });
  });

  vitest.it('is an expired ticket', () => {
    const harness = harnesses.createHarness();
    const nowMs = harness.getNow();
    harness.addVm('a');
    const { id } = harness.addJob('service', [lasting], advised);
    const step = { job: id, occurrence: 0, step: 0 };
    harness.scheduler.applyAdvice(
      step,
      ['a'],
      [{ vm: 'a', ticket: 't' }],
      nowMs,
    );
    vitest.expect(findOwed(harness, nowMs + 3_000)[0]?.cause).toMatchObject({
      why: 'ticket-expired',
      pool: { approved: 1, approvedWithRoom: 1 },
    });
  });

  vitest.it('is that no round has placed it although nothing blocks it', () => {
    const harness = harnesses.createHarness();
    const nowMs = harness.getNow();
    harness.addVm('a');
    harness.addJob('plain', [lasting]);
    harness.addJob('advised', [lasting], advised);
    const causes = new Map(
      findOwed(harness, nowMs + 3_000).map(({ task, cause }) => [
        task.job,
        cause.why,
      ]),
    );
    vitest.expect(causes).toEqual(
      new Map([
        ['plain', 'not-placed'],
        ['advised', 'advice-not-requested'],
      ]),
    );
  });

  vitest.it('is left open for all but the first steps that wait', () => {
    const harness = harnesses.createHarness();
    for (let index = 0; index < 60; index += 1)
      harness.addJob(`job-${index}`, [lasting]);
    const whys = findOwed(harness, harness.getNow() + 3_000).map(
      ({ cause }) => cause.why,
    );
    vitest.expect(whys.filter((why) => why === 'no-vm')).toHaveLength(50);
    vitest
      .expect(whys.filter((why) => why === 'not-examined'))
      .toHaveLength(10);
  });
});

/** Creates the tables of a service with two tasks, the first of which runs on VM a. */
function createTables(schedule?: core.workloads.Schedule) {
  const state = states.createState({
    bounds: {
      inheritedRunTimeoutMs: 16_000,
      longestStopMs: harnesses.LONGEST_STOP_MS,
      firstRun: 1,
      maxRecordBytes: 262_144,
    },
    unrecordedStarts: false,
    nowMs: 0,
  });
  const vm = states.ensureVm(state, 'a', 0);
  vm.entry = harnesses.createEntry('a');
  vm.usable = true;
  const job = jobs.addJob(
    state,
    {
      id: 'job',
      queue: 'queue',
      payload: 'work',
      steps: [harnesses.createStep({ lasts: true, count: 2 })],
      schedule,
      configVersion: 1,
      acceptedAtMs: 0,
      policy: harnesses.createPolicy(),
    },
    0,
    0,
    0,
  );
  const occurrence = job.occurrences[0]!;
  const step = occurrence.steps[0]!;
  const run = states.addRun(
    step.tasks[0]!,
    vm,
    { number: 1, phase: 'running' },
    0,
  );
  run.runningSinceMs = 0;
  const listWrong = (hasSession = true) =>
    owed
      .findOwed(state, {
        nowMs: 10_000,
        nowUnixMs: 10_000,
        hasSession: () => hasSession,
      })
      .flatMap(({ task, cause }) =>
        cause.why === 'inconsistent' ? [`${task.index} ${cause.what}`] : [],
      );
  return { state, vm, job, occurrence, step, run, listWrong };
}

vitest.describe('contradictions in the tables', () => {
  vitest.it('are not found in sound tables', () => {
    vitest.expect(createTables().listWrong()).toEqual([]);
  });

  vitest.it('are found in the counts of a step', () => {
    const { step, listWrong } = createTables();
    step.waitingCount = 0;
    vitest.expect(listWrong()).toEqual(['0 waiting-count']);
    step.waitingCount = 1;
    step.doneCount = 1;
    vitest.expect(listWrong()).toEqual(['0 done-count']);
  });

  vitest.it('are found in an active task without a run', () => {
    const { step, vm, run, listWrong } = createTables();
    step.tasks[0]!.run = undefined;
    vitest.expect(listWrong()).toEqual(['0 run-missing']);
    vm.runs.delete(run);
    vitest.expect(listWrong()).toContain('0 run-missing');
  });

  vitest.it('are found in a waiting task with a run', () => {
    const { step, vm, listWrong } = createTables();
    vm.usable = false;
    step.tasks[0]!.state = 'waiting';
    step.waitingCount = 2;
    vitest.expect(listWrong()).toEqual(['0 run-of-waiting-task']);
  });

  vitest.it('are found in a run that its VM does not have', () => {
    const { vm, run, listWrong } = createTables();
    vm.runs.delete(run);
    vitest.expect(listWrong()).toContain('0 run-not-at-vm');
  });

  vitest.it('are found in a run on a VM that is not in the table', () => {
    const { state, vm, listWrong } = createTables();
    vm.usable = false;
    state.vms.delete('a');
    vitest.expect(listWrong()).toEqual(['0 vm-missing']);
  });

  vitest.it('are found in a run on a VM that nothing asks for reports', () => {
    const { vm, listWrong } = createTables();
    vm.usable = false;
    vm.entry = undefined;
    vitest.expect(listWrong(false)).toEqual(['0 vm-without-session']);
    vitest.expect(listWrong(true)).toEqual([]);
  });

  vitest.it('are found in the used resources of a VM', () => {
    const { vm, listWrong } = createTables();
    vm.used.cores = 8;
    vitest.expect(listWrong()).toEqual(['1 vm-used']);
  });

  vitest.it('are found in an occurrence that is marked as done', () => {
    const { occurrence, listWrong } = createTables();
    occurrence.done = true;
    vitest.expect(listWrong()).toEqual(['0 occurrence-done']);
  });

  vitest.it('are found in a due occurrence without a row', () => {
    const { listWrong } = createTables({
      times: 3,
      firstAtMs: 0,
      intervalMs: 6_000,
    });
    vitest.expect(listWrong()).toEqual(['0 occurrence-missing']);
  });
});
