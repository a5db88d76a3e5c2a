/** Shares of workspaces: which jobs are excess, and the order that follows in a full pool. */
import * as crypto from 'node:crypto';
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as adviceSlots from '../../src/workloads/adviceSlots.js';
import * as harnesses from './harness.js';
import * as pools from './poolSimulation.js';

const UNLIMITED = { cores: Infinity, memoryMb: Infinity, gpus: Infinity };

function createWorkspaces(
  weights: Readonly<Record<string, number>>,
  priorities: Readonly<Record<string, number>> = {},
): ReadonlyMap<string, core.workloads.WorkspacePolicy> {
  return new Map(
    Object.entries(weights).map(([name, weight]) => [
      name,
      { name, weight, priority: priorities[name] ?? 0, limit: UNLIMITED },
    ]),
  );
}

/** Step whose tasks fill a VM of the harness. */
const WHOLE_VM = harnesses.createStep({
  size: { cores: 8, memoryMb: 10, gpus: 0 },
  estimateMs: 10_000,
});

/** Returns the ids of the jobs that are excess, of jobs of one workspace of one job a second. */
function listExcess(
  jobs: readonly { readonly id: string; readonly acceptedMs: number }[],
  nowMs: number,
): readonly string[] {
  const { state, scheduler } = harnesses.createOpenScheduler(nowMs);
  scheduler.setWorkspaces(createWorkspaces({ a: 1 }));
  for (const { id, acceptedMs } of jobs)
    scheduler.restoreJob(
      harnesses.createJob({ id, workspace: 'a' }),
      undefined,
      nowMs - acceptedMs,
      nowMs,
      nowMs,
    );
  scheduler.tick(nowMs, nowMs);
  return [...state.jobs.values()]
    .filter(({ excess }) => excess)
    .map(({ job }) => job.id);
}

vitest.describe('the jobs of a workspace', () => {
  const createJobs = (count: number, intervalMs: number) =>
    Array.from({ length: count }, (_, index) => ({
      id: `job${index}`,
      acceptedMs: 1_000 + index * intervalMs,
    }));

  vitest.it(
    'are excess beyond the tokens of a full bucket (guards against a workspace that takes the room of others with a hot spell)',
    () => {
      vitest
        .expect(listExcess(createJobs(13, 0), 2_000))
        .toEqual(['job10', 'job11', 'job12']);
      vitest.expect(listExcess(createJobs(100, 1_000), 200_000)).toEqual([]);
    },
  );

  vitest.it(
    'are classified in the order of their acceptance (guards against a new owner that restores them in another order and takes usual ones for excess)',
    () => {
      const jobs = createJobs(60, 1_000).reverse();
      vitest.expect(listExcess(jobs, 100_000)).toEqual([]);
    },
  );

  vitest.it(
    'are never excess without a workspace of the configuration (guards against jobs of public routes that wait behind others)',
    () => {
      const { state, scheduler } = harnesses.createOpenScheduler(1_000);
      scheduler.setWorkspaces(createWorkspaces({ a: 1 }));
      for (let index = 0; index < 40; index += 1)
        scheduler.acceptJob(
          harnesses.createJob({
            id: `job${index}`,
            ...(index % 2 === 0 ? { workspace: 'removed' } : {}),
          }),
          0,
          1_000,
          1_000,
        );
      scheduler.tick(1_000, 1_000);
      vitest
        .expect([...state.jobs.values()].some(({ excess }) => excess))
        .toBe(false);
    },
  );
});

/** Creates a harness in which the workspace `hot` has no tokens left, with one idle VM for each id. */
function createHotHarness(
  vms: readonly string[],
  options: harnesses.HarnessOptions = {},
) {
  const harness = harnesses.createHarness(options);
  harness.scheduler.setWorkspaces(createWorkspaces({ hot: 0.01, other: 100 }));
  for (let index = 0; index < 10; index += 1) {
    addJob(harness, `spent${index}`, 'hot', [WHOLE_VM]);
    harness.scheduler.cancelJob(`spent${index}`, harness.getNow());
  }
  harness.settle();
  for (const id of vms) harness.addVm(id);
  return harness;
}

function addJob(
  harness: harnesses.Harness,
  id: string,
  workspace: string,
  steps: readonly core.workloads.StepSpec[],
  policy = harnesses.createPolicy(),
): void {
  harness.scheduler.acceptJob(
    harnesses.createJob({
      id,
      workspace,
      steps,
      policy,
      queue: policy.name,
      acceptedAtMs: harness.getNow(),
    }),
    0,
    harness.getNow(),
    harness.getNow(),
  );
}

function listJobs(harness: harnesses.Harness): readonly (string | undefined)[] {
  return harness.listRuns().map(({ task }) => task.split('.')[0]);
}

vitest.describe('an excess job', () => {
  const low = harnesses.createPolicy({ name: 'low', priority: 3 });
  const high = harnesses.createPolicy({ name: 'high', priority: 0 });

  vitest.it(
    'uses idle VMs, and comes after jobs within their rate whatever the priorities (guards against excess that is refused room, or served first)',
    () => {
      const harness = createHotHarness(['a', 'b']);
      addJob(harness, 'idle', 'hot', [WHOLE_VM], high);
      harness.advance(10);
      vitest.expect(listJobs(harness)).toEqual(['idle']);
      addJob(harness, 'excess', 'hot', [WHOLE_VM], high);
      addJob(harness, 'usual', 'other', [WHOLE_VM], low);
      harness.advance(10);
      vitest.expect([...listJobs(harness)].sort()).toEqual(['idle', 'usual']);
    },
  );

  vitest.it(
    'is preempted for a job within its rate of lower priority, never the reverse (guards against a hot workspace that keeps the room that it took)',
    () => {
      const harness = createHotHarness(['a']);
      const saving = { ...WHOLE_VM, savesProgress: true };
      addJob(harness, 'excess', 'hot', [saving], high);
      harness.advance(10);
      // More than the steps for which runs are preempted in a round.
      for (let index = 0; index < 6; index += 1)
        addJob(harness, `waiting${index}`, 'hot', [WHOLE_VM], high);
      addJob(harness, 'usual', 'other', [saving], low);
      for (let round = 0; round < 4; round += 1) harness.advance(50);
      vitest.expect(listJobs(harness)).toEqual(['usual']);
      for (let round = 0; round < 10; round += 1) harness.advance(50);
      vitest.expect(listJobs(harness)).toEqual(['usual']);
    },
  );

  vitest.it(
    'holds no reservation against a job within its rate (guards against an excess gang that keeps VMs from others)',
    () => {
      const harness = createHotHarness(['a', 'b']);
      addJob(harness, 'long', 'other', [WHOLE_VM]);
      harness.advance(10);
      addJob(harness, 'gang', 'hot', [
        { ...WHOLE_VM, count: 2, gang: true, estimateMs: 1_000 },
      ]);
      harness.advance(100);
      addJob(harness, 'usual', 'other', [WHOLE_VM]);
      harness.advance(100);
      vitest.expect([...listJobs(harness)].sort()).toEqual(['long', 'usual']);
    },
  );

  vitest.it(
    'starts under a steady load of jobs within their rate, long after its objective (guards against excess that starves)',
    () => {
      const harness = createHotHarness(['a']);
      addJob(harness, 'first', 'other', [WHOLE_VM]);
      // No VM has its label.
      addJob(harness, 'stuck', 'hot', [{ ...WHOLE_VM, label: 'none' }]);
      addJob(harness, 'excess', 'hot', [WHOLE_VM]);
      harness.advance(10);
      for (let round = 0; round < 90; round += 1) {
        addJob(harness, `next${round}`, 'other', [WHOLE_VM]);
        for (const { vm, run } of harness.listRuns())
          harness.endRun(vm, run, 'done');
        harness.advance(1_000);
      }
      vitest
        .expect(
          harness.commands.some(
            (command) =>
              command.command === 'start' && command.task.job === 'excess',
          ),
        )
        .toBe(true);
    },
  );

  vitest.it(
    'asks for advice after the jobs within their rate (guards against excess that takes the advice slots of others)',
    () => {
      const harness = createHotHarness(['a'], { ignoresAdvice: true });
      const advice = { fixedMs: 300, perVmMs: 1, validMs: 1_000 };
      addJob(
        harness,
        'excess',
        'hot',
        [WHOLE_VM],
        harnesses.createPolicy({ name: 'high', priority: 0, advice }),
      );
      addJob(
        harness,
        'usual',
        'other',
        [WHOLE_VM],
        harnesses.createPolicy({ name: 'low', priority: 3, advice }),
      );
      harness.advance(10);
      vitest
        .expect(harness.listAdvisedSteps().map(({ job }) => job))
        .toEqual(['usual']);
    },
  );
});

vitest.describe('advice requests of excess jobs', () => {
  vitest.it(
    'are in flight at no more than half of the nodes (guards against requests of others that wait behind excess)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['b', 'c', 'd']);
      const reserve = (use: adviceSlots.SlotUse) =>
        slots.reserve(300, 1_000, use);
      const first = reserve('excess');
      vitest.expect(first).toBeDefined();
      vitest.expect(reserve('excess')).toBeDefined();
      vitest.expect(reserve('excess')).toBeUndefined();
      vitest.expect(reserve('usual')).toBeDefined();
      first!.release(true, 1_100);
      vitest.expect(reserve('excess')).toBeDefined();
    },
  );
});

vitest.describe('the workspace of a step that waits', () => {
  vitest.it(
    'is shown with its share and whether its job is excess (guards against waits that an operator can not explain)',
    () => {
      const harness = createHotHarness(['a']);
      addJob(harness, 'first', 'hot', [WHOLE_VM]);
      harness.advance(10);
      addJob(harness, 'next', 'hot', [WHOLE_VM]);
      harness.advance(25_000);
      const nowMs = harness.getNow();
      const owed = harness.scheduler.findOwed({
        nowMs,
        nowUnixMs: nowMs,
        hasSession: () => true,
      });
      const workspace = {
        name: 'hot',
        isExcess: true,
        share: { used: 1, entitled: 1 },
      };
      vitest.expect(owed).toMatchObject([{ cause: { workspace } }]);
      vitest.expect(harness.scheduler.dump(nowMs)).toMatchObject({
        jobs: [
          { id: 'first', workspace },
          { id: 'next', workspace },
        ],
      });
      vitest.expect(harness.scheduler.listWorkspaces()).toEqual([
        {
          workspace: 'hot',
          accepted: 12,
          excess: 2,
          pools: new Map([['pool', { used: 1, entitled: 1 }]]),
        },
        { workspace: 'other', accepted: 0, excess: 0, pools: new Map() },
      ]);
    },
  );
});

vitest.describe('a full pool', () => {
  vitest.it(
    'serves workspaces below their share first, then those of more urgent priority (guards against large jobs within the rate that take the room of others)',
    () => {
      const harness = harnesses.createHarness();
      harness.scheduler.setWorkspaces(
        createWorkspaces({ large: 10, small: 10, later: 10 }, { later: 1 }),
      );
      for (const id of ['a', 'b', 'c', 'd']) harness.addVm(id);
      for (const id of ['l0', 'l1', 'l2', 'l3'])
        addJob(harness, id, 'large', [WHOLE_VM]);
      harness.advance(10);
      addJob(harness, 'l4', 'large', [WHOLE_VM]);
      addJob(harness, 'z0', 'later', [WHOLE_VM]);
      harness.advance(10);
      addJob(harness, 's0', 'small', [WHOLE_VM]);
      harness.advance(10);
      const order: (string | undefined)[] = [];
      for (let round = 0; round < 3; round += 1) {
        const [oldest] = [...harness.listRuns()].sort((a, b) => a.run - b.run);
        harness.endRun(oldest!.vm, oldest!.run, 'done');
        harness.advance(10);
        harness.advance(10);
        order.push(
          listJobs(harness).find(
            (id) =>
              id !== undefined && !/l[0-3]/.test(id) && !order.includes(id),
          ),
        );
      }
      vitest.expect(order).toEqual(['s0', 'z0', 'l4']);
    },
  );
});

/** Results of the other workspaces beside a hot one, over several seeds. */
interface ReplayResult {
  /** Share of the jobs of the other workspaces that ended in time. */
  readonly inTime: number;
  /** The same of the tenth of these workspaces with the lowest share, on average over the seeds. */
  readonly worstTenth: number;
  readonly longestWaitMs: number;
  readonly hotInTime: number;
}

/** Replays 20 workspaces, four of them large, of which one sends eight times its rate for 7 s, in a pool that is nearly full. */
function replay(order: pools.Order, seeds: readonly number[]): ReplayResult {
  let jobs = 0;
  let inTime = 0;
  let hotJobs = 0;
  let hotInTime = 0;
  let longestWaitMs = 0;
  let worst = 0;
  for (const seed of seeds) {
    const { byWorkspace } = new pools.PoolSimulation({
      seed,
      order,
      vms: 60,
      helpers: 6,
      bursts: [{ kind: 'urgent', fromMs: 20_000, toMs: 22_000, factor: 2 }],
      drainsAtMs: [],
      failureIntervalMs: 20_000,
      load: 1.3,
      runTimeError: 0.3,
      workspaces: Array.from({ length: 20 }, (_, index) => ({
        name: `w${index}`,
        part: index < 4 ? 6 : 1,
        ...(index === 0
          ? { hot: { fromMs: 8_000, toMs: 15_000, factor: 8 } }
          : {}),
      })),
    }).run(30_000);
    const rates: number[] = [];
    for (const [name, result] of byWorkspace)
      if (name === 'w0') {
        hotJobs += result.jobs;
        hotInTime += result.inTime;
      } else {
        jobs += result.jobs;
        inTime += result.inTime;
        longestWaitMs = Math.max(longestWaitMs, result.longestWaitMs);
        rates.push(result.inTime / result.jobs);
      }
    const [first = 0, second = 0] = rates.sort((a, b) => a - b);
    worst += (first + second) / 2;
  }
  return {
    inTime: inTime / jobs,
    worstTenth: worst / seeds.length,
    longestWaitMs,
    hotInTime: hotInTime / hotJobs,
  };
}

vitest.describe('a workspace at eight times its rate', () => {
  vitest.it(
    'has little effect on the others, compared with the order by objectives and by arrival (guards against a hot workspace that makes the jobs of others late)',
    () => {
      const seeds = [1, 2, 3, 4];
      const firstCome = replay('first-come', seeds);
      const byObjective = replay('by-objective', seeds);
      const byShares = replay('shares', seeds);
      console.info({ firstCome, byObjective, byShares });
      vitest.expect(byShares.inTime).toBeGreaterThan(byObjective.inTime);
      vitest.expect(byShares.inTime).toBeGreaterThan(firstCome.inTime);
      vitest.expect(byShares.inTime).toBeGreaterThan(0.95);
      vitest
        .expect(byShares.worstTenth)
        .toBeGreaterThanOrEqual(byObjective.worstTenth);
      vitest
        .expect(byShares.longestWaitMs)
        .toBeLessThanOrEqual(byObjective.longestWaitMs);
    },
    60_000,
  );
});

vitest.describe('a load without workspaces', () => {
  vitest.it(
    'is started in the order and on the VMs as before there were shares (guards against changes for deployments without workspaces)',
    () => {
      const { starts } = new pools.PoolSimulation({
        seed: 3,
        vms: 40,
        helpers: 4,
        load: 1.1,
        failureIntervalMs: 20_000,
        bursts: [{ kind: 'urgent', fromMs: 5_000, toMs: 9_000, factor: 3 }],
        drainsAtMs: [10_000],
      }).run(20_000);
      vitest.expect(starts).toHaveLength(4_263);
      // Digest of the starts at 45dfe78, the last commit without shares.
      vitest
        .expect(
          crypto.createHash('sha256').update(starts.join('\n')).digest('hex'),
        )
        .toBe(
          '31236f46ba500b75c6179cbb90463441adeeeaade701711b729ca673d9045c1f',
        );
    },
  );
});
