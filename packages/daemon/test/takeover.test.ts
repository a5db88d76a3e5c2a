/** Ownership of workers that refuse nothing: the promises under random interleavings. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as fakes from './cluster.js';

const seed = Number(process.env.FLAMINGOWARD_SEED ?? 20_261_204);
const numRuns = Number(process.env.FLAMINGOWARD_RUNS ?? 120);
const processes = 3;
const workers = 3;

/** One thing that happens to the cluster, followed by some time. */
type Action =
  | { readonly do: 'wait' }
  | { readonly do: 'submit'; readonly count: number; readonly once: boolean }
  | { readonly do: 'cancel'; readonly job: number }
  | { readonly do: 'claim' | 'pause' | 'resume'; readonly process: number }
  | { readonly do: 'lag'; readonly process: number; readonly lagMs: number }
  | { readonly do: 'deaf'; readonly process: number; readonly deaf: boolean }
  | { readonly do: 'log'; readonly away: boolean }
  | { readonly do: 'replies'; readonly process: number; readonly lost: boolean }
  | { readonly do: 'reboot'; readonly worker: number }
  | {
      readonly do: 'link';
      readonly process: number;
      readonly worker: number;
      readonly fault: fakes.LinkFault;
    }
  | {
      readonly do: 'slow-starts';
      readonly process: number;
      readonly delayMs: number;
    };

const aProcess = fc.nat(processes - 1);
const aWorker = fc.nat(workers - 1);
const anAction: fc.Arbitrary<Action> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ do: fc.constant('wait' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('submit' as const),
      count: fc.integer({ min: 1, max: 4 }),
      once: fc.boolean(),
    }),
  },
  fc.record({ do: fc.constant('cancel' as const), job: fc.nat(10) }),
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constantFrom(
        'claim' as const,
        'pause' as const,
        'resume' as const,
      ),
      process: aProcess,
    }),
  },
  fc.record({
    do: fc.constant('lag' as const),
    process: aProcess,
    lagMs: fc.constantFrom(20, 100, 400, 1_500),
  }),
  fc.record({
    do: fc.constant('deaf' as const),
    process: aProcess,
    deaf: fc.boolean(),
  }),
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant('slow-starts' as const),
      process: aProcess,
      delayMs: fc.constantFrom(0, 400, 800, 950),
    }),
  },
  fc.record({ do: fc.constant('log' as const), away: fc.boolean() }),
  fc.record({
    do: fc.constant('replies' as const),
    process: aProcess,
    lost: fc.boolean(),
  }),
  fc.record({ do: fc.constant('reboot' as const), worker: aWorker }),
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('link' as const),
      process: aProcess,
      worker: aWorker,
      fault: fc.record({
        cut: fc.boolean(),
        startDelayMs: fc.constantFrom(0, 0, 700, 2_000, 6_000),
        loseAnswers: fc.boolean(),
      }),
    }),
  },
);
const aStep = fc.record({
  action: anAction,
  thenMs: fc.constantFrom(20, 60, 150, 300, 600, 1_200, 4_000, 9_000),
});

function apply(cluster: fakes.Cluster, action: Action): void {
  switch (action.do) {
    case 'wait':
      return;
    case 'submit': {
      if (cluster.log.away) return;
      const jobClass = action.once ? 'once' : 'plain';
      cluster.submit({ count: action.count, jobClass });
      return;
    }
    case 'cancel': {
      const body: core.records.JobRecord = {
        type: 'cancel',
        job: `j${action.job}`,
        by: 'test',
      };
      if (!cluster.log.away) cluster.log.append('jobs', body);
      return;
    }
    case 'claim':
      cluster.processes[action.process]!.claim();
      return;
    case 'pause':
    case 'resume':
      cluster.processes[action.process]!.paused = action.do === 'pause';
      return;
    case 'lag':
      cluster.processes[action.process]!.readLagMs = action.lagMs;
      return;
    case 'deaf':
      cluster.processes[action.process]!.deaf = action.deaf;
      return;
    case 'slow-starts': {
      const process = cluster.processes[action.process]!;
      for (const { vm } of cluster.workers)
        cluster.fault(process, vm.id).startDelayMs = action.delayMs;
      return;
    }
    case 'log':
      cluster.log.away = action.away;
      return;
    case 'replies':
      cluster.processes[action.process]!.loseAppendReplies = action.lost;
      return;
    case 'reboot':
      cluster.workers[action.worker]!.reboot();
      return;
    case 'link': {
      const process = cluster.processes[action.process]!;
      Object.assign(cluster.fault(process, `w${action.worker}`), action.fault);
      return;
    }
  }
}

/** Watches what was begun against what the log said before. */
function createWatch(cluster: fakes.Cluster): () => void {
  const seen = new Map<string, number>();
  const begun = new Map<string, number>();
  const ended = new Set<string>();
  let read = 0;
  return () => {
    const faults = fakes.checkPromises(cluster);
    for (const worker of cluster.workers) {
      const from = seen.get(worker.vm.id) ?? 0;
      seen.set(worker.vm.id, worker.begun.length);
      for (const task of worker.begun.slice(from)) {
        begun.set(task, (begun.get(task) ?? 0) + 1);
        if (ended.has(task)) faults.push(`${task} began after its end`);
        if (isOnce(cluster, task) && begun.get(task) !== 1)
          faults.push(`${task} began more than once`);
      }
    }
    const records = cluster.log.read(`tasks.${fakes.region}`);
    for (const record of records.slice(read)) {
      const body = record.body as core.records.TaskRecord;
      if (body.type !== 'ends') continue;
      for (const end of body.ends) ended.add(`${end.job}#${end.index}`);
    }
    read = records.length;
    if (faults.length > 0) throw new Error(faults.join('; '));
  };
}

function isOnce(cluster: fakes.Cluster, task: string): boolean {
  const job = task.split('#')[0];
  return cluster.log.read('jobs').some((record) => {
    const body = record.body as core.records.JobRecord;
    return (
      body.type === 'accepted' &&
      body.job === job &&
      body.spec.jobClass === 'once'
    );
  });
}

/** Ends all faults and gives the shard to one process; then every job has to end. */
async function heal(cluster: fakes.Cluster, watch: () => void): Promise<void> {
  cluster.log.away = false;
  cluster.faults.clear();
  for (const process of cluster.processes) {
    process.paused = false;
    process.loseAppendReplies = false;
    process.deaf = false;
  }
  await cluster.run(1_000, watch);
  cluster.processes[0]!.claim();
  await cluster.run(60_000, watch);
  const open = [...cluster.processes[1]!.jobs.table.jobs.values()]
    .filter((job) => job.state === 'accepted')
    .map((job) => job.id);
  if (open.length > 0) throw new Error(`not ended: ${open.join(' ')}`);
}

// Guards against a task in two places, an overfull worker, a repeated task and a
// job that is stuck, whatever owners, workers, links and the log go through.
vitest.test(
  'the promises hold through random interleavings',
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(aStep, { minLength: 10, maxLength: 40 }),
        async (steps) => {
          const cluster = new fakes.Cluster({ workers, processes });
          const watch = createWatch(cluster);
          cluster.submit({ count: 3 });
          cluster.submit({ count: 2, jobClass: 'once' });
          cluster.processes[0]!.claim();
          for (const { action, thenMs } of steps) {
            apply(cluster, action);
            await cluster.run(thenMs, watch);
          }
          await heal(cluster, watch);
        },
      ),
      { seed, numRuns },
    );
  },
  600_000,
);
