/** Limits of workspaces: what counts, what waits, and what is refused. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';
import * as tableChecks from './tableChecks.js';

const NO_LIMIT = { cores: Infinity, memoryMb: Infinity, gpus: Infinity };

function createWorkspaces(
  limits: Readonly<Record<string, Partial<core.resources.Resources>>>,
): ReadonlyMap<string, core.workloads.WorkspacePolicy> {
  return new Map(
    Object.entries(limits).map(([name, limit]) => [
      name,
      { name, weight: 1, priority: 1, limit: { ...NO_LIMIT, ...limit } },
    ]),
  );
}

function createLimited(
  limits: Readonly<Record<string, Partial<core.resources.Resources>>>,
  options: harnesses.HarnessOptions = {},
): harnesses.Harness {
  const harness = harnesses.createHarness(options);
  harness.scheduler.setWorkspaces(createWorkspaces(limits));
  return harness;
}

function addJob(
  harness: harnesses.Harness,
  id: string,
  step: Partial<core.workloads.StepSpec>,
  given: {
    readonly workspace?: string;
    readonly policy?: Partial<core.workloads.QueuePolicy>;
  } = {},
): void {
  harness.addJob(
    id,
    [harnesses.createStep(step)],
    harnesses.createPolicy(given.policy),
    undefined,
    given.workspace ?? 'small',
  );
}

/** Counts the runs on all VMs of jobs whose id begins with a text. */
function countRuns(harness: harnesses.Harness, prefix = ''): number {
  return harness.listRuns().filter(({ task }) => task.startsWith(prefix))
    .length;
}

function findReasons(harness: harnesses.Harness): readonly string[] {
  return harness.scheduler
    .findOwed({
      nowMs: harness.getNow(),
      nowUnixMs: harness.getNow(),
      hasSession: () => true,
    })
    .map(({ cause }) => cause.why);
}

function getUse(harness: harnesses.Harness, name = 'small') {
  return harness.scheduler.listWorkspaceUse().find((use) => use.name === name)!;
}

vitest.describe('the limit of a workspace', () => {
  vitest.it.each([
    { what: 'cores', limit: { cores: 3 }, step: {} },
    { what: 'memory', limit: { memoryMb: 350 }, step: {} },
    {
      what: 'GPUs',
      limit: { gpus: 3 },
      step: { size: { cores: 1, memoryMb: 100, gpus: 1 } },
    },
    {
      what: 'cores of filler tasks',
      limit: { cores: 3 },
      step: { fills: true },
    },
    { what: 'service tasks', limit: { cores: 3 }, step: { lasts: true } },
  ])(
    'counts $what over the VMs of all pools (guards against a limit for each pool or VM)',
    ({ limit, step }) => {
      const harness = createLimited({ small: limit });
      harness.addVm('a');
      harness.addVm('b', { pool: 'other' });
      addJob(harness, 'first', { ...step, count: 2 });
      harness.advance(20);
      addJob(
        harness,
        'second',
        { ...step, count: 8 },
        { policy: { pool: 'other' } },
      );
      addJob(harness, 'free', { count: 2 }, { workspace: 'large' });
      harness.advance(20);
      vitest.expect(countRuns(harness, 'first')).toBe(2);
      vitest.expect(countRuns(harness, 'second')).toBe(1);
      vitest.expect(countRuns(harness, 'free')).toBe(2);
      harness.advance(4_000);
      vitest.expect(getUse(harness).waitingSteps).toBe(1);
    },
  );

  vitest.it(
    'counts a start without an answer until its VM shows that it is over (guards against a start that a VM carries out late)',
    () => {
      const harness = createLimited(
        { small: { cores: 1 } },
        { losesFirstStart: true },
      );
      harness.addVm('a');
      harness.addVm('b');
      addJob(harness, 'first', {});
      harness.advance(20);
      addJob(harness, 'second', {});
      harness.advance(20);
      const start = harness.commands.find(({ command }) => command === 'start');
      vitest.assert(start?.command === 'start');
      harness.scheduler.applyStart(
        start.vm,
        start.task,
        start.run,
        'unknown',
        harness.getNow(),
      );
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(0);
      vitest.expect(getUse(harness).used.cores).toBe(1);
    },
  );

  vitest.it(
    'counts a stray run of a known task until it is over (guards against use that the tables leave out)',
    () => {
      const { state, scheduler } = harnesses.createOpenScheduler(1_000);
      scheduler.setWorkspaces(createWorkspaces({ small: { cores: 1 } }));
      const job = harnesses.createJob({ workspace: 'small' });
      scheduler.acceptJob(job, 0, 1_000, 1_000);
      scheduler.cancelJob('job', 1_000);
      const report = (running: boolean, nowMs: number): void => {
        scheduler.applyReport(
          'a',
          {
            incarnation: 1,
            running: running
              ? [
                  {
                    task: { job: 'job', occurrence: 0, step: 0, index: 0 },
                    run: 5,
                    saved: '',
                    percent: 1,
                    load: 0,
                  },
                ]
              : [],
            ended: [],
            requestSentMs: nowMs,
          },
          nowMs,
        );
      };
      const check = (): readonly string[] =>
        tableChecks.checkTables(state, {
          nowMs: 1_000,
          tickMs: 10,
          hasSession: () => true,
          isStartOpen: () => true,
        });
      scheduler.setVmEntry('a', harnesses.createEntry('a'), 1_000);
      report(true, 1_010);
      report(true, 1_020);
      vitest.expect(scheduler.listWorkspaceUse()[0]?.used.cores).toBe(1);
      vitest.expect(check()).toEqual([]);
      report(false, 1_030);
      vitest.expect(scheduler.listWorkspaceUse()[0]?.used.cores).toBe(1);
      report(false, 1_040 + harnesses.LONGEST_STOP_MS);
      vitest.expect(scheduler.listWorkspaceUse()[0]?.used.cores).toBe(0);
      vitest.expect(check()).toEqual([]);
    },
  );

  vitest.it(
    'counts a run that is being stopped (guards against a start beside a task that still runs)',
    () => {
      const harness = createLimited(
        { small: { cores: 1 } },
        { unlistedStopMs: 500 },
      );
      harness.addVm('a');
      addJob(harness, 'first', {});
      harness.advance(20);
      addJob(harness, 'second', {});
      harness.scheduler.cancelJob('first', harness.getNow());
      harness.advance(20);
      harness.advance(20);
      vitest.expect(countRuns(harness, 'second')).toBe(0);
      harness.advance(600);
      harness.advance(20);
      vitest.expect(countRuns(harness, 'second')).toBe(1);
    },
  );

  vitest.it(
    'lets running tasks go on under a lower limit and starts none before use is below it (guards against lost work and against a limit without effect)',
    () => {
      const harness = createLimited({ small: { cores: 4 } });
      harness.addVm('a');
      addJob(harness, 'job', { count: 6 });
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(4);
      harness.scheduler.setWorkspaces(
        createWorkspaces({ small: { cores: 2 } }),
      );
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(4);
      vitest
        .expect(harness.commands.filter(({ command }) => command === 'stop'))
        .toEqual([]);
      for (const run of [1, 2]) harness.endRun('a', run, 'done');
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(2);
      harness.endRun('a', 3, 'done');
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(2);
    },
  );

  vitest.it(
    'keeps the last limit of a workspace that the configuration no longer names (guards against a removal that lifts the limit)',
    () => {
      const harness = createLimited({ small: { cores: 2 } });
      harness.addVm('a');
      addJob(harness, 'job', { count: 4 });
      harness.scheduler.setWorkspaces(new Map());
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(2);
      harness.endRun('a', 1, 'done');
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(2);
    },
  );

  vitest.it(
    'refuses what it can never cover, with the reason (guards against jobs that wait until their caller gives up)',
    () => {
      const harness = createLimited({ small: { cores: 3, gpus: 2 } });
      harness.addVm('a');
      const check = (step: Partial<core.workloads.StepSpec>) =>
        harness.scheduler.checkAdmission(
          [harnesses.createStep(step)],
          'pool',
          harness.getNow(),
          'small',
        );
      vitest
        .expect(check({ size: { cores: 4, memoryMb: 1, gpus: 0 } }))
        .toBe(
          'a task of step 0 needs more than the limit of the workspace small',
        );
      vitest
        .expect(check({ gang: true, count: 4 }))
        .toBe(
          'the limit of the workspace small covers 3 of the 4 tasks of step 0, which start together',
        );
      vitest.expect(check({ count: 4 })).toBeUndefined();
      vitest.expect(check({ gang: true, count: 3 })).toBeUndefined();
    },
  );

  vitest.it(
    'is the cause that an owed task names (guards against a wait that nobody can explain)',
    () => {
      const harness = createLimited({ small: { cores: 1 } });
      harness.addVm('a');
      addJob(harness, 'job', { lasts: true, count: 2 });
      // More steps than those for which the VMs are examined.
      for (let job = 0; job < 60; job += 1)
        addJob(harness, `job${job}`, { lasts: true });
      for (let step = 0; step < 40; step += 1) harness.advance(100);
      vitest
        .expect(findReasons(harness))
        .toEqual(Array.from({ length: 61 }, () => 'workspace-limit'));
    },
  );

  vitest.it(
    'keeps a thousand waiting tasks out of the rounds (guards against work of one workspace that keeps others waiting)',
    () => {
      const harness = createLimited(
        { small: { cores: 1 } },
        { isApproved: () => true },
      );
      harness.addVm('a');
      const policy = {
        priority: 0,
        advice: { fixedMs: 30, perVmMs: 1, validMs: 10_000 },
      };
      for (let job = 0; job < 1_000; job += 1)
        addJob(harness, `small${job}`, {}, { policy });
      harness.advance(20);
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(1);
      const advised = harness.listAdvisedSteps().length;
      harness.addJob(
        'large',
        [harnesses.createStep({ count: 4 })],
        harnesses.createPolicy({ ...policy, priority: 5 }),
        undefined,
        'large',
      );
      harness.advance(20);
      harness.advance(20);
      vitest.expect(countRuns(harness, 'large')).toBe(4);
      vitest
        .expect(
          harness
            .listAdvisedSteps()
            .slice(advised)
            .filter(({ job }) => job !== 'large'),
        )
        .toEqual([]);
      vitest.expect(getUse(harness).waitingSteps).toBe(999);
    },
  );
});

vitest.describe('the limit of a workspace after a change of owner', () => {
  vitest.it(
    'holds its jobs until a configuration is known (guards against an owner that starts restored jobs without a limit)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      addJob(harness, 'job', { count: 4 });
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(0);
      harness.scheduler.setWorkspaces(
        createWorkspaces({ small: { cores: 2 } }),
      );
      harness.advance(20);
      vitest.expect(countRuns(harness)).toBe(2);
    },
  );

  vitest.it(
    'counts recorded runs on VMs that have not reported (guards against a second limit for each owner)',
    () => {
      const before = createLimited({ small: { cores: 2 } });
      before.addVm('silent');
      addJob(before, 'old', { count: 2 });
      before.advance(20);
      vitest.expect(countRuns(before)).toBe(2);
      const { scheduler } = harnesses.createOpenScheduler(2_000);
      scheduler.setWorkspaces(createWorkspaces({ small: { cores: 2 } }));
      scheduler.restoreJob(
        harnesses.createJob({
          id: 'old',
          steps: [harnesses.createStep({ count: 2 })],
          workspace: 'small',
        }),
        harnesses.createProgress(before.progress.get('old'), 'old'),
        1_000,
        2_000,
        2_000,
      );
      expectNoStart(scheduler, 2_000);
    },
  );

  vitest.it(
    'counts tasks that an earlier owner may have started without a record until the VMs have reported (guards against use beyond the limit on silent VMs)',
    () => {
      const { scheduler } = harnesses.createOpenScheduler(2_000, true);
      scheduler.setWorkspaces(createWorkspaces({ small: { cores: 2 } }));
      scheduler.setVmEntry(
        'silent',
        harnesses.createEntry('silent', { pool: 'other' }),
        2_000,
      );
      scheduler.restoreJob(
        harnesses.createJob({
          id: 'old',
          steps: [harnesses.createStep({ count: 2 })],
          policy: harnesses.createPolicy({ pool: 'other' }),
          workspace: 'small',
        }),
        undefined,
        1_000,
        2_000,
        2_000,
      );
      expectNoStart(scheduler, 2_000);
      // The VM reports that it runs nothing, so the limit is free again.
      reportEmpty(scheduler, 'silent', 2_100);
      const { commands } = runRounds(scheduler, 2_100);
      vitest
        .expect(commands.filter(({ command }) => command === 'start').length)
        .toBe(2);
    },
  );

  function reportEmpty(
    scheduler: core.workloads.WorkloadScheduler,
    vm: string,
    nowMs: number,
  ): void {
    scheduler.applyReport(
      vm,
      { incarnation: 1, running: [], ended: [], requestSentMs: nowMs },
      nowMs,
    );
  }

  function runRounds(
    scheduler: core.workloads.WorkloadScheduler,
    nowMs: number,
  ) {
    const commands: core.workloads.Command[] = [];
    for (let round = 1; round <= 4; round += 1) {
      const decision = scheduler.tick(nowMs + round, nowMs + round);
      commands.push(...decision.commands);
      if (decision.batch !== undefined)
        commands.push(...scheduler.confirmBatch());
    }
    return { commands };
  }

  /** Expects that a new job of the workspace doesn't start on an idle VM. */
  function expectNoStart(
    scheduler: core.workloads.WorkloadScheduler,
    nowMs: number,
  ): void {
    scheduler.setVmEntry('idle', harnesses.createEntry('idle'), nowMs);
    reportEmpty(scheduler, 'idle', nowMs + 10);
    scheduler.acceptJob(
      harnesses.createJob({ id: 'new', workspace: 'small' }),
      0,
      nowMs + 10,
      nowMs + 10,
    );
    const { commands } = runRounds(scheduler, nowMs + 10);
    vitest
      .expect(commands.filter(({ command }) => command === 'start'))
      .toEqual([]);
  }
});

vitest.describe('gangs under the limit of a workspace', () => {
  /** Ends the oldest run of a VM every round and adds a small task for it. */
  function runSmallTasks(harness: harnesses.Harness, rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      addJob(harness, `task${round}x`, { estimateMs: 100 });
      const oldest = harness
        .listRuns()
        .filter(({ task }) => task.startsWith('task'))
        .sort((a, b) => a.run - b.run)[0];
      if (oldest !== undefined) harness.endRun(oldest.vm, oldest.run, 'done');
      harness.advance(50);
    }
  }

  vitest.it(
    'start among small tasks of the same workspace (guards against small tasks that take each part of the limit that becomes free)',
    () => {
      const harness = createLimited({ small: { cores: 4 } });
      harness.addVm('a');
      for (let index = 0; index < 8; index += 1)
        addJob(harness, `task-first${index}`, { estimateMs: 100 });
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 4, estimateMs: 100 });
      runSmallTasks(harness, 40);
      vitest.expect(countRuns(harness, 'gang')).toBe(4);
    },
  );

  vitest.it(
    'run one after the other where each fits only alone (guards against gangs that hold half each)',
    () => {
      const harness = createLimited({ small: { cores: 4 } });
      harness.addVm('a');
      harness.addVm('b');
      for (const id of ['gang1', 'gang2'])
        addJob(harness, id, { gang: true, count: 3 });
      harness.advance(20);
      vitest.expect(countRuns(harness, 'gang1')).toBe(3);
      vitest.expect(countRuns(harness, 'gang2')).toBe(0);
      for (const { vm, run } of harness.listRuns())
        harness.endRun(vm, run, 'done');
      harness.advance(20);
      harness.advance(20);
      vitest.expect(countRuns(harness, 'gang1')).toBe(0);
      vitest.expect(countRuns(harness, 'gang2')).toBe(3);
    },
  );

  vitest.it.each([
    { what: 'services', step: { lasts: true }, gang: undefined },
    {
      what: 'long batch tasks',
      step: { estimateMs: 600_000 },
      gang: undefined,
    },
    {
      what: 'a label that no VM has',
      step: undefined,
      gang: { label: 'none' },
    },
  ])(
    'reserve nothing where $what keep them from starting (guards against a limit that stays unused)',
    ({ step, gang }) => {
      const harness = createLimited({ small: { cores: 4 } });
      harness.addVm('a');
      addJob(harness, 'first', step ?? { estimateMs: 100 });
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 4, ...gang });
      addJob(harness, 'task', { count: 2 }, { policy: { priority: 2 } });
      harness.advance(20);
      vitest.expect(countRuns(harness, 'gang')).toBe(0);
      vitest.expect(countRuns(harness, 'task')).toBe(2);
    },
  );

  vitest.it(
    'let tasks go first that end before they can start (guards against a step that waits for long beside idle VMs)',
    () => {
      const harness = createLimited({ small: { cores: 4 } });
      harness.addVm('a');
      addJob(harness, 'first', { estimateMs: 20_000 });
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 4 });
      const policy = { priority: 2 };
      addJob(harness, 'short', {}, { policy });
      addJob(harness, 'long', { estimateMs: 60_000 }, { policy });
      addJob(harness, 'service', { lasts: true }, { policy });
      harness.advance(20);
      vitest.expect(countRuns(harness, 'short')).toBe(1);
      vitest.expect(countRuns(harness, 'long')).toBe(0);
      vitest.expect(countRuns(harness, 'service')).toBe(0);
    },
  );

  vitest.it(
    'leave to others the resources that they do not need (guards against a reservation of the whole limit)',
    () => {
      const harness = createLimited({ small: { cores: 100, gpus: 2 } });
      harness.addVm('a');
      const size = { cores: 1, memoryMb: 100, gpus: 1 };
      addJob(harness, 'first', { size });
      harness.advance(20);
      addJob(harness, 'gang', { gang: true, count: 2, size });
      addJob(harness, 'gpu', { size }, { policy: { priority: 2 } });
      addJob(harness, 'plain', {}, { policy: { priority: 2 } });
      harness.advance(20);
      vitest.expect(countRuns(harness, 'gpu')).toBe(0);
      vitest.expect(countRuns(harness, 'plain')).toBe(1);
    },
  );
});
