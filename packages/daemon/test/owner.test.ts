/** Tests of the owner of a workers shard under single failures of owners, workers, links and the log. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as quotas from '../src/workers/quotas.js';
import * as fakes from './cluster.js';

function createCluster(workers = 2): fakes.Cluster {
  return new fakes.Cluster({ workers, processes: 2 });
}

async function run(cluster: fakes.Cluster, ms: number): Promise<void> {
  await cluster.run(ms, () => {
    vitest.expect(fakes.listViolations(cluster)).toEqual([]);
  });
}

function cutLinks(
  cluster: fakes.Cluster,
  processIndex: number,
  workerIndexes: number[],
): void {
  for (const w of workerIndexes)
    cluster.getLinkFault(cluster.processes[processIndex]!, `w${w}`).losesCalls =
      true;
}

function listBegun(cluster: fakes.Cluster): string[] {
  return cluster.workers.flatMap((worker) => worker.startedTasks);
}

function getJobState(cluster: fakes.Cluster, job: string): string | undefined {
  return cluster.processes[1]!.jobs.table.jobs.get(job)?.state;
}

const longWork = { runMs: 60_000 };

// Guards against starting a task again when only the answer to its start was lost, and
// against losing a task whose start never arrived.
vitest.test(
  'a task runs once when the start or its answer is lost',
  async () => {
    const cluster = createCluster(1);
    const [owner] = cluster.processes;
    owner!.claimShard();
    await run(cluster, 3_000);
    const link = cluster.getLinkFault(owner!, 'w0');
    link.losesAnswers = true;
    const answerLost = cluster.submit({});
    await run(cluster, 300);
    link.losesAnswers = false;
    link.losesCalls = true;
    const startLost = cluster.submit({});
    await run(cluster, 300);
    link.losesCalls = false;
    await run(cluster, 20_000);
    vitest
      .expect(listBegun(cluster))
      .toEqual([`${answerLost}#0`, `${startLost}#0`]);
    vitest.expect(getJobState(cluster, answerLost)).toBe('done');
    vitest.expect(getJobState(cluster, startLost)).toBe('done');
  },
);

// Guards against waiting for a task of the worker's previous incarnation, and against
// starting an at-most-once task a second time.
vitest.test(
  'after a restart of the worker a task runs again unless it may run at most once',
  async () => {
    const cluster = createCluster(1);
    cluster.processes[0]!.claimShard();
    const plain = cluster.submit({});
    const once = cluster.submit({ jobClass: 'once' });
    await run(cluster, 2_500);
    cluster.workers[0]!.reboot();
    await run(cluster, 15_000);
    const begun = listBegun(cluster);
    vitest
      .expect(begun.filter((task) => task === `${plain}#0`))
      .toHaveLength(2);
    vitest.expect(begun.filter((task) => task === `${once}#0`)).toHaveLength(1);
    vitest.expect(getJobState(cluster, plain)).toBe('done');
    vitest.expect(getJobState(cluster, once)).toBe('unknown');
  },
);

// Guards against start requests of a replaced owner that arrive after the take-over.
vitest.test(
  'a start of a paused owner that arrives after the take-over does not begin a second attempt',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await run(cluster, 3_000);
    cluster.getLinkFault(old!, 'w0').startDelayMs = 5_000;
    const job = cluster.submit({ work: longWork });
    await run(cluster, 200);
    old!.isPaused = true;
    await run(cluster, 1_000);
    next!.claimShard();
    await run(cluster, 10_000);
    old!.isPaused = false;
    await run(cluster, 5_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
  },
);

// Guards against treating an inventory as complete while a start of the old owner,
// which the worker still accepts, is in flight.
vitest.test(
  'a start of the old owner that is in flight at the take-over runs once',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await run(cluster, 3_000);
    cluster.getLinkFault(old!, 'w0').startDelayMs = 700;
    const job = cluster.submit({ work: longWork });
    await run(cluster, 200);
    next!.claimShard();
    await run(cluster, 10_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
  },
);

// Guards against a replaced owner that extends leases beyond the time for which the
// new owner waits: when it resumes, the old owner handles an answer that arrived during
// the pause, and neither owner reaches the worker of the other.
vitest.test(
  'a paused owner renews no lease before it knows whether it was replaced',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    const job = cluster.submit({ work: longWork });
    // The long poll that is open now answers in the middle of the pause.
    await run(cluster, 6_600);
    vitest.expect(cluster.workers[0]!.startedTasks).toEqual([`${job}#0`]);
    old!.isPaused = true;
    cutLinks(cluster, 0, [1]);
    cutLinks(cluster, 1, [0]);
    await run(cluster, 1_000);
    next!.claimShard();
    await run(cluster, 9_000);
    old!.readLagMs = 1_500;
    old!.receivesNoHeartbeats = true;
    old!.isPaused = false;
    await run(cluster, 20_000);
    vitest.expect(cluster.workers[1]!.startedTasks).toEqual([`${job}#0`]);
  },
);

// Guards against running a task again whose end the old owner recorded, and the worker
// forgot, after the new owner first read the stream.
vitest.test(
  'a task whose end the old owner recorded during the take-over does not run again',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await run(cluster, 3_000);
    const job = cluster.submit({});
    await run(cluster, 1_000);
    Object.assign(old!, { claimsLagMs: 60_000, receivesNoHeartbeats: true });
    next!.readLagMs = 30_000;
    cutLinks(cluster, 1, [0, 1]);
    next!.claimShard();
    await run(cluster, 10_000);
    vitest.expect(cluster.workers[0]!.tasks.size).toBe(0);
    cluster.faults.clear();
    await run(cluster, 40_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
    vitest.expect(getJobState(cluster, job)).toBe('done');
  },
);

// Guards against an end that a replaced owner reads from an answer received during its
// pause and records, while the task was started again after a restart of its worker.
vitest.test(
  'an end that a replaced owner records after the take-over does not count',
  async () => {
    const cluster = createCluster(1);
    const [old, next] = cluster.processes;
    old!.claimShard();
    const job = cluster.submit({ work: { runMs: 3_500 } });
    await run(cluster, 3_000);
    old!.isPaused = true;
    await run(cluster, 6_000);
    cluster.workers[0]!.reboot();
    next!.claimShard();
    await run(cluster, 1_500);
    vitest.expect(listBegun(cluster)).toHaveLength(2);
    Object.assign(old!, {
      readLagMs: 1_500,
      receivesNoHeartbeats: true,
      isPaused: false,
    });
    await run(cluster, 2_000);
    vitest.expect(getJobState(cluster, job)).toBe('accepted');
    await run(cluster, 5_000);
    vitest.expect(getJobState(cluster, job)).toBe('done');
    vitest.expect(listBegun(cluster)).toHaveLength(2);
  },
);

// Guards against treating a missing report as a missing task, and against holding new
// jobs because of a worker that can't run them.
vitest.test(
  'in a take-over with an unresponsive worker its tasks are held and new jobs start',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    const job = cluster.submit({ work: longWork });
    await run(cluster, 6_000);
    old!.isPaused = true;
    cutLinks(cluster, 0, [0, 1]);
    cutLinks(cluster, 1, [0]);
    next!.claimShard();
    await run(cluster, 500);
    const later = cluster.submit({});
    await run(cluster, 2_500);
    vitest.expect(cluster.workers[1]!.startedTasks).toEqual([`${later}#0`]);
    await run(cluster, 11_500);
    vitest.expect(cluster.workers[1]!.startedTasks).toEqual([`${later}#0`]);
    await run(cluster, 4_000);
    vitest.expect(cluster.workers[1]!.startedTasks).toContain(`${job}#0`);
  },
);

// Guards against two owners that both start a new job: the old one doesn't know of
// the claim, and the new one can't reach the worker that the old one uses.
vitest.test(
  'a new job starts once while a replaced owner does not know of the claim',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await run(cluster, 6_000);
    Object.assign(old!, { claimsLagMs: 60_000, receivesNoHeartbeats: true });
    cutLinks(cluster, 1, [0]);
    cutLinks(cluster, 0, [1]);
    next!.claimShard();
    await run(cluster, 2_000);
    const job = cluster.submit({ work: longWork });
    await run(cluster, 5_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
  },
);

// Guards against a cancelled task that runs on because its stop overtook its start.
vitest.test(
  'a task whose stop arrives before its start does not run on',
  async () => {
    const cluster = createCluster(1);
    const [owner] = cluster.processes;
    owner!.claimShard();
    await run(cluster, 6_000);
    cluster.getLinkFault(owner!, 'w0').startDelayMs = 600;
    const job = cluster.submit({ work: longWork });
    await run(cluster, 200);
    const cancel: core.records.JobRecord = { type: 'cancel', job, by: 'test' };
    cluster.log.append('jobs', cancel);
    await run(cluster, 15_000);
    vitest.expect(cluster.workers[0]!.listRunning()).toEqual([]);
    vitest.expect(getJobState(cluster, job)).toBe('cancelled');
  },
);

// Guards against forgetting an end that isn't recorded, and against tasks that stop
// with the log: a provisional owner has to adopt them and renew their leases.
vitest.test(
  'tasks survive the death of their owner while the log is unreachable',
  async () => {
    const cluster = createCluster(1);
    const [old, next] = cluster.processes;
    old!.claimShard();
    const short = cluster.submit({ work: { runMs: 5_000 } });
    const long = cluster.submit({ work: { runMs: 40_000 } });
    await run(cluster, 4_000);
    cluster.log.isUnavailable = true;
    await run(cluster, 6_000);
    old!.isPaused = true;
    await run(cluster, 1_000);
    next!.claimShard();
    await run(cluster, 30_000);
    cluster.log.isUnavailable = false;
    next!.claimShard();
    await run(cluster, 10_000);
    vitest
      .expect(listBegun(cluster).sort())
      .toEqual([`${short}#0`, `${long}#0`]);
    vitest.expect(getJobState(cluster, short)).toBe('done');
    vitest.expect(getJobState(cluster, long)).toBe('done');
  },
);

// Guards against concluding from inventories that were applied before the jobs of their attempts were known.
vitest.test.each([{ runMs: 2_000 }, { runMs: 20_000 }])(
  'a task of a job that a provisional owner reads only after the partition does not run again ($runMs ms)',
  async (work) => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await run(cluster, 3_000);
    next!.isCutOffFromLog = true;
    const job = cluster.submit({ work });
    await run(cluster, 1_000);
    next!.claimShard();
    await run(cluster, 10_000);
    vitest.expect(getJobState(cluster, job)).toBeUndefined();
    next!.isCutOffFromLog = false;
    await run(cluster, 25_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
    vitest.expect(getJobState(cluster, job)).toBe('done');
  },
);

// Guards against losing records of live jobs that the log drops by age, and against
// writing them again more often than needed.
vitest.test(
  'the records of live jobs are written again at half the retention',
  async () => {
    const cluster = createCluster(1);
    cluster.processes[0]!.claimShard();
    const job = cluster.submit({ count: 2, work: { runMs: 400_000 } });
    const ended = { job, index: 1, result: 'done' } as const;
    const epoch = { offset: 0, provisional: 0 };
    const stream = `tasks.${fakes.region}`;
    cluster.log.append(stream, { type: 'ends', epoch, ends: [ended] });
    await cluster.run(290_000);
    const records = () => cluster.log.getRecords('jobs').slice(1);
    vitest.expect(records()).toEqual([]);
    await cluster.run(100_000);
    const carried = { type: 'carried', job: { id: job } };
    vitest.expect(records()).toMatchObject([{ body: carried }]);
    const tasks = cluster.log.getRecords(stream).map((record) => record.body);
    const kept = { type: 'ends', ends: [ended] };
    vitest
      .expect(tasks)
      .toMatchObject([kept, { type: 'settled' }, { type: 'settled' }, kept]);
  },
);

// Guards against new tasks on a VM that was removed from the VM list, and against
// treating its running tasks as lost.
vitest.test(
  'a worker removed from the VM list finishes its tasks and gets no new ones',
  async () => {
    const cluster = createCluster();
    const [owner] = cluster.processes;
    owner!.claimShard();
    const first = cluster.submit({ work: { runMs: 30_000 } });
    await run(cluster, 3_000);
    cluster.unlisted.add('w0');
    owner!.vmChanges.push('vms');
    const second = cluster.submit({});
    await run(cluster, 40_000);
    vitest.expect(cluster.workers[0]!.startedTasks).toEqual([`${first}#0`]);
    vitest.expect(cluster.workers[1]!.startedTasks).toEqual([`${second}#0`]);
    vitest.expect(getJobState(cluster, first)).toBe('done');
    const shard = owner!.workers.getShard(fakes.shard);
    vitest.expect(JSON.stringify(shard?.dump())).not.toContain('w0');
  },
);

// Guards against "0 tasks" on a worker whose tasks the new owner doesn't know yet.
vitest.test(
  'a new owner tells the number of tasks of a worker only when it knows its inventory',
  async () => {
    const cluster = createCluster(1);
    const [old, next] = cluster.processes;
    old!.claimShard();
    cluster.submit({ work: longWork });
    await run(cluster, 3_000);
    cluster.getLinkFault(next!, 'w0').losesCalls = true;
    old!.isPaused = true;
    next!.claimShard();
    await run(cluster, 1_000);
    vitest.expect(cluster.workers[0]!.listRunning()).toHaveLength(1);
    vitest.expect(next!.workers.listWorkers()).toEqual([
      {
        id: 'w0',
        attempts: undefined,
        closedBy: vitest.expect.any(String) as string,
      },
    ]);
    cluster.getLinkFault(next!, 'w0').losesCalls = false;
    await run(cluster, 5_000);
    vitest
      .expect(next!.workers.listWorkers())
      .toMatchObject([{ id: 'w0', attempts: 1 }]);
  },
);

// Guards against regions that together use more than the quota of a team.
vitest.test(
  'quotas are split among the regions by their share of the capacity',
  () => {
    const { vm } = createCluster(1).workers[0]!;
    const vms = [
      vm,
      { ...vm, region: 'batinah', size: { ...vm.size!, cores: 12 } },
    ];
    const quota = { cores: 40, memoryMb: 10, gpus: 2 };
    const split = (region: string) =>
      quotas.splitQuota(quota, quotas.computeShare(vms, region));
    vitest.expect(split('muscat')).toEqual({ cores: 10, memoryMb: 0, gpus: 0 });
    vitest
      .expect(split('batinah'))
      .toEqual({ cores: 30, memoryMb: 0, gpus: 0 });
  },
);

// Guards against a take-over that opens all connections at once, and against frequent
// sync calls to idle workers afterwards.
vitest.test(
  'sync calls to 300 workers are limited to 64 at a time and to about one per 5 s and worker',
  async () => {
    const cluster = createCluster(300);
    cluster.processes[0]!.claimShard();
    await run(cluster, 8_000);
    vitest.expect(cluster.maxConcurrentCalls).toBeLessThanOrEqual(64);
    const before = cluster.syncCalls;
    await run(cluster, 50_000);
    const perWorker = (cluster.syncCalls - before) / 300;
    vitest.expect(perWorker).toBeGreaterThan(9);
    vitest.expect(perWorker).toBeLessThanOrEqual(11);
  },
);
