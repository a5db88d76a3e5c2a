/** Single failures of owners, workers, links and the log, and what the owner of a workers shard does. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as quotas from '../src/workers/quotas.js';
import * as fakes from './cluster.js';

function createCluster(workers = 2): fakes.Cluster {
  return new fakes.Cluster({ workers, processes: 2 });
}

async function run(cluster: fakes.Cluster, ms: number): Promise<void> {
  await cluster.run(ms, () => {
    vitest.expect(fakes.checkPromises(cluster)).toEqual([]);
  });
}

function cutLinks(cluster: fakes.Cluster, p: number, ws: number[]): void {
  for (const w of ws) cluster.fault(cluster.processes[p]!, `w${w}`).cut = true;
}

function listBegun(cluster: fakes.Cluster): string[] {
  return cluster.workers.flatMap((worker) => worker.begun);
}

function readState(cluster: fakes.Cluster, job: string): string | undefined {
  return cluster.processes[1]!.jobs.table.jobs.get(job)?.state;
}

const longWork = { runMs: 60_000 };

// Guards against starting again what a lost answer hid, and against losing what never arrived.
vitest.test('a start whose answer is lost', async () => {
  const cluster = createCluster(1);
  const [owner] = cluster.processes;
  owner!.claim();
  await run(cluster, 3_000);
  const link = cluster.fault(owner!, 'w0');
  link.loseAnswers = true;
  const began = cluster.submit({});
  await run(cluster, 300);
  link.loseAnswers = false;
  link.cut = true;
  const lost = cluster.submit({});
  await run(cluster, 300);
  link.cut = false;
  await run(cluster, 20_000);
  vitest.expect(listBegun(cluster)).toEqual([`${began}#0`, `${lost}#0`]);
  vitest.expect(readState(cluster, began)).toBe('done');
  vitest.expect(readState(cluster, lost)).toBe('done');
});

// Guards against a task that waits for a run of the worker that is over, and against
// starting an at-most-once task a second time.
vitest.test('a worker restarts', async () => {
  const cluster = createCluster(1);
  cluster.processes[0]!.claim();
  const plain = cluster.submit({});
  const once = cluster.submit({ jobClass: 'once' });
  await run(cluster, 2_500);
  cluster.workers[0]!.reboot();
  await run(cluster, 15_000);
  const begun = listBegun(cluster);
  vitest.expect(begun.filter((task) => task === `${plain}#0`)).toHaveLength(2);
  vitest.expect(begun.filter((task) => task === `${once}#0`)).toHaveLength(1);
  vitest.expect(readState(cluster, plain)).toBe('done');
  vitest.expect(readState(cluster, once)).toBe('unknown');
});

// Guards against start requests of a replaced owner that arrive after the take-over.
vitest.test('a paused owner whose start arrives late', async () => {
  const cluster = createCluster();
  const [old, next] = cluster.processes;
  old!.claim();
  await run(cluster, 3_000);
  cluster.fault(old!, 'w0').startDelayMs = 5_000;
  const job = cluster.submit({ work: longWork });
  await run(cluster, 200);
  old!.paused = true;
  await run(cluster, 1_000);
  next!.claim();
  await run(cluster, 10_000);
  old!.paused = false;
  await run(cluster, 5_000);
  vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
});

// Guards against an inventory that is taken as complete while a start of the old
// owner, valid by its bound, is still on its way.
vitest.test(
  'a start of the old owner is under way at the take-over',
  async () => {
    const cluster = createCluster();
    const [old, next] = cluster.processes;
    old!.claim();
    await run(cluster, 3_000);
    cluster.fault(old!, 'w0').startDelayMs = 700;
    const job = cluster.submit({ work: longWork });
    await run(cluster, 200);
    next!.claim();
    await run(cluster, 10_000);
    vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
  },
);

// Guards against renewals of a replaced owner that outlast the new owner's wait: the
// old one finds an answer in its sockets when it resumes, and neither reaches the
// worker of the other.
vitest.test('a paused owner does not renew before it knows', async () => {
  const cluster = createCluster();
  const [old, next] = cluster.processes;
  old!.claim();
  const job = cluster.submit({ work: longWork });
  // The long poll that is open now answers in the middle of the pause.
  await run(cluster, 6_600);
  vitest.expect(cluster.workers[0]!.begun).toEqual([`${job}#0`]);
  old!.paused = true;
  cutLinks(cluster, 0, [1]);
  cutLinks(cluster, 1, [0]);
  await run(cluster, 1_000);
  next!.claim();
  await run(cluster, 9_000);
  old!.readLagMs = 1_500;
  old!.deaf = true;
  old!.paused = false;
  await run(cluster, 20_000);
  vitest.expect(cluster.workers[1]!.begun).toEqual([`${job}#0`]);
});

// Guards against running a task again whose end was recorded, and forgotten by the
// worker, after the new owner first read the stream.
vitest.test('ends that the old owner recorded late', async () => {
  const cluster = createCluster();
  const [old, next] = cluster.processes;
  old!.claim();
  await run(cluster, 3_000);
  const job = cluster.submit({});
  await run(cluster, 1_000);
  Object.assign(old!, { claimsLagMs: 60_000, deaf: true });
  next!.readLagMs = 30_000;
  cutLinks(cluster, 1, [0, 1]);
  next!.claim();
  await run(cluster, 10_000);
  vitest.expect(cluster.workers[0]!.tasks.size).toBe(0);
  cluster.faults.clear();
  await run(cluster, 40_000);
  vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
  vitest.expect(readState(cluster, job)).toBe('done');
});

// Guards against an end that a replaced owner still finds in its sockets and records
// when the task has been started again, because its worker had restarted.
vitest.test('a replaced owner records an end after the take-over', async () => {
  const cluster = createCluster(1);
  const [old, next] = cluster.processes;
  old!.claim();
  const job = cluster.submit({ work: { runMs: 3_500 } });
  await run(cluster, 3_000);
  old!.paused = true;
  await run(cluster, 6_000);
  cluster.workers[0]!.reboot();
  next!.claim();
  await run(cluster, 1_500);
  vitest.expect(listBegun(cluster)).toHaveLength(2);
  Object.assign(old!, { readLagMs: 1_500, deaf: true, paused: false });
  await run(cluster, 2_000);
  vitest.expect(readState(cluster, job)).toBe('accepted');
  await run(cluster, 5_000);
  vitest.expect(readState(cluster, job)).toBe('done');
  vitest.expect(listBegun(cluster)).toHaveLength(2);
});

// Guards against taking a missing report for a missing task, and against holding new
// jobs for a worker that can't have them.
vitest.test('a take-over with one silent worker', async () => {
  const cluster = createCluster();
  const [old, next] = cluster.processes;
  old!.claim();
  const job = cluster.submit({ work: longWork });
  await run(cluster, 6_000);
  old!.paused = true;
  cutLinks(cluster, 0, [0, 1]);
  cutLinks(cluster, 1, [0]);
  next!.claim();
  await run(cluster, 500);
  const later = cluster.submit({});
  await run(cluster, 2_500);
  vitest.expect(cluster.workers[1]!.begun).toEqual([`${later}#0`]);
  await run(cluster, 11_500);
  vitest.expect(cluster.workers[1]!.begun).toEqual([`${later}#0`]);
  await run(cluster, 4_000);
  vitest.expect(cluster.workers[1]!.begun).toContain(`${job}#0`);
});

// Guards against two owners that both start a new job: the old one doesn't know of
// the claim, and the new one can't reach the worker that the old one uses.
vitest.test('a replaced owner reads a new job', async () => {
  const cluster = createCluster();
  const [old, next] = cluster.processes;
  old!.claim();
  await run(cluster, 6_000);
  Object.assign(old!, { claimsLagMs: 60_000, deaf: true });
  cutLinks(cluster, 1, [0]);
  cutLinks(cluster, 0, [1]);
  next!.claim();
  await run(cluster, 2_000);
  const job = cluster.submit({ work: longWork });
  await run(cluster, 5_000);
  vitest.expect(listBegun(cluster)).toEqual([`${job}#0`]);
});

// Guards against a cancelled task that runs on because its stop overtook its start.
vitest.test('a cancellation against a start', async () => {
  const cluster = createCluster(1);
  const [owner] = cluster.processes;
  owner!.claim();
  await run(cluster, 6_000);
  cluster.fault(owner!, 'w0').startDelayMs = 600;
  const job = cluster.submit({ work: longWork });
  await run(cluster, 200);
  const cancel: core.records.JobRecord = { type: 'cancel', job, by: 'test' };
  cluster.log.append('jobs', cancel);
  await run(cluster, 15_000);
  vitest.expect(cluster.workers[0]!.listRunning()).toEqual([]);
  vitest.expect(readState(cluster, job)).toBe('cancelled');
});

// Guards against forgetting an end that isn't durable, and against work that stops
// with the log: a provisional owner adopts and renews what runs.
vitest.test('an owner dies while the log is away', async () => {
  const cluster = createCluster(1);
  const [old, next] = cluster.processes;
  old!.claim();
  const short = cluster.submit({ work: { runMs: 5_000 } });
  const long = cluster.submit({ work: { runMs: 40_000 } });
  await run(cluster, 4_000);
  cluster.log.away = true;
  await run(cluster, 6_000);
  old!.paused = true;
  await run(cluster, 1_000);
  next!.claim();
  await run(cluster, 30_000);
  cluster.log.away = false;
  next!.claim();
  await run(cluster, 10_000);
  vitest.expect(listBegun(cluster).sort()).toEqual([`${short}#0`, `${long}#0`]);
  vitest.expect(readState(cluster, short)).toBe('done');
  vitest.expect(readState(cluster, long)).toBe('done');
});

// Guards against live jobs, their ends and intents that the log drops by age, and
// against rewriting them more often than that needs.
vitest.test('old jobs are written again', async () => {
  const cluster = createCluster(1);
  cluster.processes[0]!.claim();
  const job = cluster.submit({ count: 2, work: { runMs: 400_000 } });
  const ended = { job, index: 1, result: 'done' } as const;
  const epoch = { offset: 0, provisional: 0 };
  const stream = `tasks.${fakes.region}`;
  cluster.log.append(stream, { type: 'ends', epoch, ends: [ended] });
  await cluster.run(290_000);
  const records = () => cluster.log.read('jobs').slice(1);
  vitest.expect(records()).toEqual([]);
  await cluster.run(100_000);
  const carried = { type: 'carried', job: { id: job } };
  vitest.expect(records()).toMatchObject([{ body: carried }]);
  const tasks = cluster.log.read(stream).map((record) => record.body);
  const kept = { type: 'ends', ends: [ended] };
  vitest
    .expect(tasks)
    .toMatchObject([kept, { type: 'settled' }, { type: 'settled' }, kept]);
});

// Guards against new work on a VM that left the list, and against taking that for
// its death while its tasks run.
vitest.test('a worker leaves the list', async () => {
  const cluster = createCluster();
  const [owner] = cluster.processes;
  owner!.claim();
  const first = cluster.submit({ work: { runMs: 30_000 } });
  await run(cluster, 3_000);
  cluster.unlisted.add('w0');
  owner!.vmChanges.push('vms');
  const second = cluster.submit({});
  await run(cluster, 40_000);
  vitest.expect(cluster.workers[0]!.begun).toEqual([`${first}#0`]);
  vitest.expect(cluster.workers[1]!.begun).toEqual([`${second}#0`]);
  vitest.expect(readState(cluster, first)).toBe('done');
  const shard = owner!.workers.readShard(fakes.shard);
  vitest.expect(JSON.stringify(shard?.dump())).not.toContain('w0');
});

// Guards against regions that together use more of a quota than there is.
vitest.test('quotas are split by the share of the capacity', () => {
  const { vm } = createCluster(1).workers[0]!;
  const vms = [
    vm,
    { ...vm, region: 'batinah', size: { ...vm.size!, cores: 12 } },
  ];
  const quota = { cores: 40, memoryMb: 10, gpus: 2 };
  const split = (region: string) =>
    quotas.splitQuota(quota, quotas.computeShare(vms, region));
  vitest.expect(split('muscat')).toEqual({ cores: 10, memoryMb: 0, gpus: 0 });
  vitest.expect(split('batinah')).toEqual({ cores: 30, memoryMb: 0, gpus: 0 });
});

// Guards against a take-over that opens all connections at once or never gets quiet.
vitest.test('the sync calls of many workers', async () => {
  const cluster = createCluster(300);
  cluster.processes[0]!.claim();
  await run(cluster, 8_000);
  vitest.expect(cluster.mostCallsAtOnce).toBeLessThanOrEqual(64);
  const before = cluster.syncCalls;
  await run(cluster, 50_000);
  const perWorker = (cluster.syncCalls - before) / 300;
  vitest.expect(perWorker).toBeGreaterThan(9);
  vitest.expect(perWorker).toBeLessThanOrEqual(11);
});
