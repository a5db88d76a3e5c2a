/** Submission, cancellation and queries of jobs at two processes that share a log. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as check from '../src/jobs/check.js';
import * as jobs from '../src/jobs/jobs.js';
import type * as daemon from '../src/types.js';
import * as fakes from './cluster.js';

interface Setup {
  readonly cluster: fakes.Cluster;
  /** The jobs component of each process. */
  readonly processJobs: daemon.Jobs[];
}

/** Creates two processes that are linked to each other. */
function createSetup(): Setup {
  const cluster = new fakes.Cluster({ workers: 2, processes: 2 });
  const handlers = new Map<string, (question: never) => Promise<unknown>>();
  const processJobs = cluster.processes.map((process) => {
    const links = {
      handle: (kind: string, handler: never) => {
        handlers.set(`${process.name}/1 ${kind}`, handler);
      },
      ask: (peer: string, question: core.messages.Question) =>
        handlers.get(`${peer} ${question.kind}`)!(question as never),
    } as unknown as daemon.Links;
    const membership = cluster.createMembership(process);
    const releases = cluster.createReleases();
    return jobs.createJobs({
      context: process.context,
      streams: process.streams,
      links,
      membership,
      ownership: process.ownership,
      releases,
      store: process.jobs,
      check: check.createJobCheck(membership, releases, () => undefined),
      getLocalShard: (shard) => process.workers.getShard(shard),
      describeReason: (reason) => JSON.stringify(reason),
    });
  });
  return { cluster, processJobs };
}

/** Runs the cluster for 2 s and returns the answer. */
async function getAnswer<T>(
  cluster: fakes.Cluster,
  answer: Promise<T>,
): Promise<T> {
  await cluster.run(2_000);
  return await answer;
}

// Guards against a second job when the log's reply to the first submission was lost.
vitest.test(
  'accepts a submission repeated at another process as the same job',
  async () => {
    const { cluster, processJobs } = createSetup();
    cluster.processes[0]!.loseAppendReplies = true;
    cluster.processes[1]!.readLagMs = 10_000;
    const first = await getAnswer(
      cluster,
      processJobs[0]!.submit(fakes.baseSpec, 'k'),
    );
    const second = await getAnswer(
      cluster,
      processJobs[1]!.submit(fakes.baseSpec, 'k'),
    );
    vitest.expect(first.result).toBe('unknown');
    vitest.expect(second).toEqual({ ...first, result: 'accepted' });
    cluster.processes[0]!.claimShard();
    await cluster.run(15_000);
    vitest
      .expect(cluster.workers.flatMap((w) => w.startedTasks))
      .toHaveLength(1);
    const listing = await getAnswer(cluster, processJobs[1]!.readList());
    vitest.expect(listing.jobs).toHaveLength(1);
  },
);

// Guards against refusing a job that another process has accepted under the same key, and
// against a definite refusal while the log can't be read.
vitest.test(
  'refuses a submission with a key only when the log shows no earlier one',
  async () => {
    const { cluster, processJobs } = createSetup();
    const [a, b] = processJobs;
    const gang = { ...fakes.baseSpec, kind: 'gang', count: 8 } as const;
    cluster.processes[1]!.readLagMs = 100_000;
    const first = await getAnswer(cluster, a!.submit(gang, 'k'));
    vitest.expect(cluster.processes[1]!.jobs.table.jobs.size).toBe(0);
    // Without w0 the other process would refuse the job, but it has been accepted already.
    cluster.unlisted.add('w0');
    vitest
      .expect(await getAnswer(cluster, b!.submit(gang, 'k')))
      .toEqual(first);
    const other = { ...gang, count: 2 };
    const reusedKey = await getAnswer(cluster, b!.submit(other, 'k'));
    vitest.expect(reusedKey).toMatchObject({ result: 'refused', status: 400 });
    cluster.log.isUnavailable = true;
    vitest
      .expect(await getAnswer(cluster, b!.submit(gang, 'k')))
      .toEqual(first);
    const unverified = await getAnswer(cluster, b!.submit(gang, 'l'));
    vitest.expect(unverified).toMatchObject({ result: 'refused', status: 503 });
    vitest.expect(JSON.stringify(unverified)).toContain("isn't known");
  },
);

// Guards against accepting jobs that can never run.
vitest.test(
  'refuses jobs that the release, the VM list or the quota rules out',
  async () => {
    const { cluster, processJobs } = createSetup();
    const submitAndGetStatus = async (
      spec: Partial<core.jobs.JobSpec>,
    ): Promise<number> => {
      const jobsOfFirst = processJobs[0]!;
      const answer = jobsOfFirst.submit(
        { ...fakes.baseSpec, ...spec },
        undefined,
      );
      const result = await getAnswer(cluster, answer);
      return result.result === 'refused' ? result.status : 0;
    };
    const size = { cores: 5, memoryMb: 0, gpus: 0 };
    vitest.expect(await submitAndGetStatus({ jobClass: 'none' })).toBe(400);
    vitest.expect(await submitAndGetStatus({ team: 'none' })).toBe(400);
    vitest.expect(await submitAndGetStatus({ count: 0 })).toBe(400);
    vitest.expect(await submitAndGetStatus({ size })).toBe(400);
    vitest.expect(await submitAndGetStatus({ region: 'batinah' })).toBe(400);
    vitest
      .expect(await submitAndGetStatus({ kind: 'gang', count: 9 }))
      .toBe(400);
    vitest.expect(await submitAndGetStatus({ kind: 'gang', count: 8 })).toBe(0);
    vitest
      .expect(await submitAndGetStatus({ kind: 'service', count: 101 }))
      .toBe(429);
  },
);

// Guards against queries that only the owner of the shard can answer.
vitest.test(
  'reads, cancels and explains a job at a process that does not own its shard',
  async () => {
    const { cluster, processJobs } = createSetup();
    cluster.processes[0]!.claimShard();
    const spec = { ...fakes.baseSpec, work: { runMs: 60_000 } };
    const answer = await getAnswer(
      cluster,
      processJobs[1]!.submit(spec, undefined),
    );
    const job = answer.result === 'accepted' ? answer.job : '';
    vitest.expect(processJobs[1]!.get(job)?.state).toBe('accepted');
    vitest
      .expect(await getAnswer(cluster, processJobs[1]!.fetchTasks(job)))
      .toHaveLength(1);
    const lines = await getAnswer(cluster, processJobs[1]!.explain(job));
    vitest.expect(lines[0]).toContain(fakes.shard);
    const cancelled = await getAnswer(
      cluster,
      processJobs[1]!.cancel(job, 'op'),
    );
    vitest.expect(cancelled.outcome).toBe('appended');
    await cluster.run(12_000);
    vitest.expect(processJobs[1]!.get(job)?.state).toBe('cancelled');
    vitest
      .expect(await getAnswer(cluster, processJobs[1]!.cancel('none', 'op')))
      .toEqual({ outcome: 'unknown-job' });
  },
);

// Guards against "there is no job" from a process that hasn't read the record of an accepted job.
vitest.test(
  'an accepted job is not denied by a process that is behind the log or cut off from it',
  async () => {
    const { cluster, processJobs } = createSetup();
    const [a, b] = processJobs;
    const behind = cluster.processes[1]!;
    behind.readLagMs = 100_000;
    const answer = await getAnswer(cluster, a!.submit(fakes.baseSpec, 'k'));
    const job = answer.result === 'accepted' ? answer.job : '';
    vitest.expect(b!.get(job)).toBeUndefined();
    behind.isCutOffFromLog = true;
    vitest
      .expect(await getAnswer(cluster, b!.find(job)))
      .toEqual({ lookup: 'unreadable' });
    vitest
      .expect(await getAnswer(cluster, b!.cancel(job, 'op')))
      .toEqual({ outcome: 'not-appended', reason: 'log-away' });
    behind.isCutOffFromLog = false;
    vitest
      .expect(await getAnswer(cluster, b!.find(job)))
      .toMatchObject({ lookup: 'found', job: { id: job } });
    vitest
      .expect(await getAnswer(cluster, b!.find('none')))
      .toEqual({ lookup: 'none' });
  },
);

// Guards against a list from a process that is behind the log and doesn't say that jobs are missing.
vitest.test(
  'a list of jobs is read up to the head of the log, or says that it may be incomplete',
  async () => {
    const { cluster, processJobs } = createSetup();
    const [a, b] = processJobs;
    const behind = cluster.processes[1]!;
    behind.readLagMs = 100_000;
    await getAnswer(cluster, a!.submit(fakes.baseSpec, 'k'));
    behind.isCutOffFromLog = true;
    vitest
      .expect(await getAnswer(cluster, b!.readList()))
      .toEqual({ jobs: [], isIncomplete: true });
    behind.isCutOffFromLog = false;
    vitest
      .expect(await getAnswer(cluster, b!.readList()))
      .toMatchObject({ jobs: [{ state: 'accepted' }], isIncomplete: false });
  },
);

// Guards against states of tasks from the tables of an owner that was replaced during a pause.
vitest.test(
  'a resumed owner does not tell the states of tasks before it has verified its ownership',
  async () => {
    const { cluster, processJobs } = createSetup();
    const [old, next] = cluster.processes;
    old!.claimShard();
    await cluster.run(3_000);
    const job = cluster.submit({ work: { runMs: 10_000 } });
    await cluster.run(1_000);
    vitest
      .expect(await getAnswer(cluster, processJobs[0]!.fetchTasks(job)))
      .toHaveLength(1);
    old!.isPaused = true;
    await cluster.run(1_000);
    next!.claimShard();
    await cluster.run(20_000);
    vitest.expect(next!.jobs.table.jobs.get(job)?.state).toBe('done');
    // Requests that arrived during the pause are handled before overdue timers.
    old!.isPaused = false;
    vitest.expect(await processJobs[0]!.fetchTasks(job)).toBeUndefined();
    const lines = await processJobs[0]!.explain(job);
    vitest.expect(lines.at(-1)).toContain("aren't known");
  },
);

// Guards against "this job isn't known" from a new owner that hasn't read the jobs yet.
vitest.test(
  'a new owner that has not read the jobs says that the states of tasks are not known',
  async () => {
    const { cluster, processJobs } = createSetup();
    const job = cluster.submit({});
    await cluster.run(1_000);
    cluster.processes[0]!.claimShard();
    vitest.expect(await processJobs[0]!.fetchTasks(job)).toBeUndefined();
    const lines = await processJobs[0]!.explain(job);
    vitest.expect(lines.at(-1)).toContain("aren't known");
    await cluster.run(1_000);
    vitest.expect(await processJobs[0]!.fetchTasks(job)).toHaveLength(1);
  },
);

// Guards against "accepted" for a job that has ended since the process was cut off from the log.
vitest.test(
  'a process that is cut off from the log says that the state of a live job may be stale',
  async () => {
    const { cluster, processJobs } = createSetup();
    const [a, b] = processJobs;
    cluster.processes[0]!.claimShard();
    await cluster.run(3_000);
    const answer = await getAnswer(cluster, a!.submit(fakes.baseSpec, 'k'));
    const job = answer.result === 'accepted' ? answer.job : '';
    vitest.expect(await b!.find(job)).toMatchObject({ isStale: false });
    cluster.processes[1]!.isCutOffFromLog = true;
    await cluster.run(10_000);
    vitest.expect(a!.get(job)?.state).toBe('done');
    vitest
      .expect(await b!.find(job))
      .toMatchObject({ job: { state: 'accepted' }, isStale: true });
    cluster.processes[1]!.isCutOffFromLog = false;
    await cluster.run(1_000);
    vitest
      .expect(await b!.find(job))
      .toMatchObject({ job: { state: 'done' }, isStale: false });
  },
);
