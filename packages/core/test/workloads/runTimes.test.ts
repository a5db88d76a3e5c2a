/** Learned run times on generated queues, compared with the declared estimates. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as runTimes from '../../src/workloads/runTimes.js';
import * as speeds from '../../src/workloads/speed.js';
import * as states from '../../src/workloads/state.js';
import type * as tables from '../../src/workloads/tables.js';
import * as harnesses from './harness.js';

/** Creates a generator of random numbers from 0 to 1. */
function createRandom(seed: number): () => number {
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Creates a world of one pool whose runs the test begins and ends. */
function createWorld(seed = 1) {
  const { state, scheduler } = harnesses.createOpenScheduler(
    0,
    false,
    'learned',
  );
  const random = createRandom(seed);
  let jobs = 0;
  let nowMs = 0;
  const drawNormal = (): number => {
    let sum = -6;
    for (let count = 0; count < 12; count += 1) sum += random();
    return sum;
  };
  return {
    state,
    random,
    drawNormal,
    advance: (byMs: number) => (nowMs += byMs),
    getNow: () => nowMs,
    addVm(id: string, labels: readonly string[] = [], rack = 'r1') {
      scheduler.setVmEntry(
        id,
        harnesses.createEntry(id, {
          labels,
          rack,
          capacity: { cores: 1_000, memoryMb: 1e9, gpus: 0 },
        }),
        nowMs,
      );
      return state.vms.get(id)!;
    },
    addStep(
      spec: Partial<core.workloads.StepSpec>,
      job: Partial<core.workloads.Job> = {},
    ): tables.StepRow {
      jobs += 1;
      const id = `j${jobs}`;
      scheduler.acceptJob(
        harnesses.createJob({
          id,
          steps: [harnesses.createStep(spec)],
          ...job,
        }),
        0,
        nowMs,
        nowMs,
      );
      return state.jobs.get(id)!.occurrences[0]!.steps[0]!;
    },
    begin(step: tables.StepRow, index: number, vm: tables.VmRow) {
      const run = states.addRun(
        step.tasks[index]!,
        vm,
        { number: states.createRunNumber(state), phase: 'recording' },
        nowMs,
      );
      run.phase = 'running';
      run.runningSinceMs = nowMs;
      return run;
    },
    report(run: tables.RunRow, percent: number) {
      run.percent = percent;
      run.listedMs = nowMs;
      runTimes.observeProgress(state.runTimes, run, 0, nowMs);
    },
    end(
      run: tables.RunRow,
      ranMs: number,
      how: core.workloads.RunEnd = 'done',
    ) {
      speeds.observeEnd(state, run, how, run.runningSinceMs! + ranMs);
      states.removeRun(state, run, how, nowMs);
    },
    estimate: (step: tables.StepRow) =>
      runTimes.estimateStepMs(state.runTimes, step, nowMs),
  };
}

type World = ReturnType<typeof createWorld>;

/** Runs jobs of one queue and returns the mean errors, as absolute logarithms, of the estimates before each job runs. */
function measureErrors(
  world: World,
  queue: {
    readonly jobs: number;
    readonly declaredError: number;
    readonly jobSpread: number;
    readonly stragglers?: number;
    readonly tasks?: number;
  },
): { readonly declared: number; readonly learned: number } {
  const vm = world.addVm('vm');
  let declared = 0;
  let learned = 0;
  let count = 0;
  for (let job = 0; job < queue.jobs; job += 1) {
    const trueMs = 2_000 * Math.exp(queue.jobSpread * world.drawNormal());
    const factor = 1 + queue.declaredError * (2 * world.random() - 1);
    const tasks = queue.tasks ?? 4;
    const step = world.addStep({ count: tasks, estimateMs: trueMs * factor });
    if (job >= queue.jobs / 2) {
      count += 1;
      declared += Math.abs(Math.log(factor));
      learned += Math.abs(Math.log(world.estimate(step) / trueMs));
    }
    for (let index = 0; index < tasks; index += 1) {
      const slow = world.random() < (queue.stragglers ?? 0) ? 7 : 1;
      const ranMs = trueMs * slow * Math.exp(0.2 * world.drawNormal());
      world.end(world.begin(step, index, vm), ranMs);
    }
    world.advance(2_000);
  }
  return { declared: declared / count, learned: learned / count };
}

vitest.describe('the estimate of a step', () => {
  vitest.it(
    'is the declared one while nothing is known (guards against changes for new owners)',
    () => {
      const world = createWorld();
      const step = world.addStep({ estimateMs: 1_234 });
      vitest.expect(world.estimate(step)).toBe(1_234);
      const service = world.addStep({ estimateMs: 0, lasts: true });
      vitest.expect(world.estimate(service)).toBe(0);
    },
  );

  for (const seed of [1, 2, 3, 4]) {
    vitest.it(
      `is better than declared ones that are off by 0.9, seed ${seed}`,
      () => {
        const { declared, learned } = measureErrors(createWorld(seed), {
          jobs: 120,
          declaredError: 0.9,
          jobSpread: 0.5,
          stragglers: 0.03,
        });
        vitest.expect(learned).toBeLessThan(0.8 * declared);
      },
    );

    vitest.it(
      `stays close to declared ones that are right, seed ${seed} (guards against learning that makes good estimates worse)`,
      () => {
        const { learned } = measureErrors(createWorld(seed), {
          jobs: 120,
          declaredError: 0,
          jobSpread: 0.5,
          stragglers: 0.03,
        });
        vitest.expect(learned).toBeLessThan(0.08);
      },
    );

    vitest.it(
      `is hardly worse than declared ones that are off by 0.2, also with one task per job, seed ${seed}`,
      () => {
        for (const tasks of [1, 8]) {
          const { declared, learned } = measureErrors(createWorld(seed), {
            jobs: 120,
            declaredError: 0.2,
            jobSpread: 0.5,
            stragglers: 0.03,
            tasks,
          });
          vitest.expect(learned).toBeLessThan(declared + 0.03);
        }
      },
    );
  }

  vitest.it(
    'follows finished and running siblings within the step (guards against declared times that are wrong by a factor)',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const step = world.addStep({ count: 20, estimateMs: 500 });
      const runs = step.tasks
        .slice(0, 8)
        .map((_, index) => world.begin(step, index, vm));
      world.advance(1_500);
      for (const run of runs) world.report(run, 30);
      const projectedMs = world.estimate(step);
      vitest.expect(projectedMs).toBeGreaterThan(3_000);
      vitest.expect(projectedMs).toBeLessThan(6_500);
      for (const run of runs) world.end(run, 5_000);
      vitest.expect(world.estimate(step)).toBeGreaterThan(4_000);
      vitest.expect(world.estimate(step)).toBeLessThan(5_500);
    },
  );

  vitest.it(
    'follows the other steps of its job (guards against declared times of a whole job that are wrong by a factor)',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const spec = harnesses.createStep({ count: 4, estimateMs: 500 });
      const first = world.addStep(spec, {
        steps: [spec, { ...spec, after: [0] }],
      });
      for (let index = 0; index < 4; index += 1)
        world.end(world.begin(first, index, vm), 2_000);
      world.advance(2_000);
      const secondMs = world.estimate(first.occurrence.steps[1]!);
      vitest.expect(secondMs).toBeGreaterThan(900);
      vitest.expect(secondMs).toBeLessThan(2_200);
      // Metrics tell the error before and after: three tasks were expected from their siblings.
      const { declaredError, learnedError } = world.state.runTimes;
      vitest.expect(learnedError).toBeLessThan(0.7 * declaredError);
    },
  );

  vitest.it(
    'rises when running siblings pass it without progress (guards against the bias of short runs that end first)',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const step = world.addStep({ count: 9, estimateMs: 1_000 });
      const runs = step.tasks.map((_, index) => world.begin(step, index, vm));
      for (const run of runs.slice(0, 3)) world.end(run, 600);
      const earlyMs = world.estimate(step);
      world.advance(1_500);
      for (const run of runs.slice(3)) world.report(run, 0);
      vitest.expect(earlyMs).toBeLessThan(800);
      vitest.expect(world.estimate(step)).toBeGreaterThan(1_500);
    },
  );

  vitest.it(
    'ignores runs that failed, resumed or ran remote from their data',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const far = world.addVm('far', [], 'r2');
      for (let job = 0; job < 20; job += 1) {
        const failed = world.addStep({ estimateMs: 1_000 });
        world.end(world.begin(failed, 0, vm), 100, 'failed');
        const resumed = world.addStep({
          estimateMs: 1_000,
          savesProgress: true,
        });
        resumed.tasks[0]!.saved = 'half';
        world.end(world.begin(resumed, 0, vm), 500);
        const remote = world.addStep({ estimateMs: 1_000, dataRack: 'r1' });
        world.end(world.begin(remote, 0, far), 9_000);
      }
      world.advance(5_000);
      vitest
        .expect(world.estimate(world.addStep({ estimateMs: 1_000 })))
        .toBe(1_000);
      vitest.expect(world.state.runTimes.samples).toBe(0);
    },
  );

  vitest.it(
    'stays the same without new information (guards against objectives that change in every round)',
    () => {
      const world = createWorld();
      measureErrors(world, { jobs: 30, declaredError: 0.9, jobSpread: 0.5 });
      const step = world.addStep({ estimateMs: 3_000 });
      const first = world.estimate(step);
      for (let round = 0; round < 100; round += 1) {
        world.advance(100);
        vitest.expect(world.estimate(step)).toBe(first);
      }
    },
  );

  vitest.it(
    'corrects the declared times of each workspace by its own error (guards against a gain from wrong times)',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const add = (workspace: string, factor: number): tables.StepRow =>
        world.addStep({ count: 4, estimateMs: 2_000 * factor }, { workspace });
      for (let job = 0; job < 100; job += 1) {
        const liar = job % 5 === 0;
        const step = add(liar ? 'liar' : 'honest', liar ? 0.1 : 1);
        for (let index = 0; index < 4; index += 1)
          world.end(
            world.begin(step, index, vm),
            2_000 * Math.exp(0.2 * world.drawNormal()),
          );
        world.advance(1_000);
      }
      const liarMs = world.estimate(add('liar', 0.1));
      const honestMs = world.estimate(add('honest', 1));
      vitest.expect(liarMs).toBeGreaterThan(1_400);
      vitest.expect(honestMs).toBeGreaterThan(1_700);
      vitest.expect(honestMs).toBeLessThan(2_300);
    },
  );

  vitest.it('is kept for a bounded number of keys', () => {
    const world = createWorld();
    const vm = world.addVm('vm');
    for (let image = 0; image < 3_000; image += 1)
      world.end(world.begin(world.addStep({ image: `i${image}` }), 0, vm), 900);
    vitest.expect(world.state.runTimes.keys.size).toBeLessThanOrEqual(2_000);
  });
});

vitest.describe('the expected remaining time of a run', () => {
  vitest.it(
    'grows once the run is so old that it is probably a straggler, and follows its progress',
    () => {
      const world = createWorld();
      const vm = world.addVm('vm');
      const step = world.addStep({ estimateMs: 1_000 });
      const run = world.begin(step, 0, vm);
      const estimate = (ranMs: number): number =>
        runTimes.estimateRemainingMs(world.state.runTimes, run, 1, ranMs);
      vitest.expect(estimate(0)).toBeCloseTo(1_000, -2);
      vitest.expect(estimate(900)).toBeLessThan(500);
      vitest.expect(estimate(2_500)).toBeGreaterThan(2 * estimate(900));
      world.advance(3_500);
      world.report(run, 50);
      vitest.expect(estimate(3_500)).toBeGreaterThan(2_800);
      vitest.expect(estimate(3_500)).toBeLessThan(4_500);
    },
  );

  vitest.it(
    'comes with quantiles that rise and reach the stragglers (guards against copies of ordinary tasks)',
    () => {
      const world = createWorld();
      const step = world.addStep({ estimateMs: 1_000 });
      const quantile = (share: number): number =>
        runTimes.estimateQuantileMs(world.state.runTimes, step, share, 0);
      vitest.expect(quantile(0.5)).toBeCloseTo(1_000, -2);
      vitest.expect(quantile(0.9)).toBeGreaterThan(1_300);
      vitest.expect(quantile(0.9)).toBeLessThan(2_200);
      vitest.expect(quantile(0.998)).toBeGreaterThan(4_000);
    },
  );
});

vitest.describe('the lasting speed of VMs', () => {
  for (const seed of [1, 2, 3])
    vitest.it(
      `is learned for each VM and kind beside wrong estimates, seed ${seed}`,
      () => {
        const world = createWorld(seed);
        const factors = [0.8, 1, 1.25];
        const vms = Array.from({ length: 30 }, (_, index) => ({
          factor: factors[index % 3]!,
          row: world.addVm(`vm${index}`, [`kind${index % 3}`]),
        }));
        for (let job = 0; job < 120; job += 1) {
          const trueMs = 2_000 * Math.exp(0.5 * world.drawNormal());
          const step = world.addStep({
            count: 10,
            estimateMs: trueMs * (1 + 0.9 * (2 * world.random() - 1)),
          });
          const runs = step.tasks.map((_, index) => {
            const vm = vms[Math.floor(world.random() * vms.length)]!;
            const slow = world.random() < 0.03 ? 7 : 1;
            return {
              run: world.begin(step, index, vm.row),
              ranMs:
                (trueMs * slow * Math.exp(0.2 * world.drawNormal())) /
                vm.factor,
            };
          });
          for (const { run, ranMs } of runs) world.end(run, ranMs);
          world.advance(1_000);
        }
        const estimate = (vm: tables.VmRow): number =>
          Math.exp(speeds.estimateLastingLog(world.state, vm, world.getNow()));
        const average = (factor: number): number => {
          const same = vms.filter((vm) => vm.factor === factor);
          return (
            same.reduce((sum, { row }) => sum + estimate(row), 0) / same.length
          );
        };
        vitest.expect(average(1.25) / average(1)).toBeGreaterThan(1.12);
        vitest.expect(average(1.25) / average(1)).toBeLessThan(1.35);
        vitest.expect(average(0.8) / average(1)).toBeLessThan(0.88);
        vitest.expect(average(0.8) / average(1)).toBeGreaterThan(0.72);
        const fresh = world.addVm('fresh', ['kind2']);
        vitest.expect(estimate(fresh)).toBeGreaterThan(1.05);
        world.advance(24 * 3_600_000);
        vitest.expect(estimate(vms[2]!.row)).toBeCloseTo(1, 2);
      },
    );
});
