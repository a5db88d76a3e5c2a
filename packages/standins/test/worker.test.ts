/**
 * The stand-in worker follows the rules that scheduling on real workers relies on: start
 * deadlines, incarnations, leases, checkpoints and the audit.
 */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import * as standins from '@flamingoward/standins';

const timers = core.createSystemTimers();
const cleanups: (() => unknown)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startWorker(fleet: standins.Fleet, id: string) {
  const worker = new standins.WorkerStandin({
    id,
    size: { cores: 4, memoryMb: 4_096, gpus: 0 },
    pool: 'general',
    fleet,
    usageLagMs: 0,
  });
  const address = await worker.start();
  const client = clients.createWorkerClient({ address, timers });
  cleanups.push(
    () => worker.stop(),
    () => client.close(),
  );
  const report = await client.sync(createSync(1));
  return { worker, client, report };
}

function createSession(offset: number): core.workers.WorkerSession {
  return { instance: `p${offset}`, epoch: { offset, provisional: 0 } };
}

function createSync(
  offset: number,
  fields: Partial<core.workers.SyncRequest> = {},
): core.workers.SyncRequest {
  return { session: createSession(offset), waitMs: 0, forget: [], ...fields };
}

function createStart(
  report: core.workers.SyncReport,
  fields: Partial<core.workers.StartRequest> = {},
): core.workers.StartRequest {
  return {
    session: createSession(1),
    boot: report.boot,
    startByMs: report.clockMs + 1_000,
    leaseUntilMs: report.clockMs + 15_000,
    attemptId: 'j.0.1',
    jobId: 'j',
    index: 0,
    size: { cores: 3, memoryMb: 1_024, gpus: 0 },
    work: { actualMs: 10_000 },
    ...fields,
  };
}

/** Returns `started`, the reason of the refusal, or the outcome of a failed call. */
async function submitStart(
  client: clients.WorkerClient,
  request: core.workers.StartRequest,
): Promise<string> {
  const outcome = await client.start(request);
  if (outcome.outcome !== 'answered') return outcome.outcome;
  return outcome.answer.started ? 'started' : outcome.answer.reason;
}

vitest.test(
  'refuses a repeated start, a start after its deadline, and a start for another incarnation',
  async () => {
    const { client, report } = await startWorker(new standins.Fleet(), 'w1');
    const start = createStart(report);
    vitest.expect(await submitStart(client, start)).toBe('started');
    vitest.expect(await submitStart(client, start)).toBe('known');
    const afterDeadline = { attemptId: 'j.0.2', startByMs: report.clockMs - 1 };
    vitest
      .expect(await submitStart(client, createStart(report, afterDeadline)))
      .toBe('lapsed');
    const otherIncarnation = { attemptId: 'j.0.3', boot: 'another' };
    vitest
      .expect(await submitStart(client, createStart(report, otherIncarnation)))
      .toBe('boot');
    const afterStarts = await client.sync(createSync(2));
    vitest
      .expect(afterStarts.tasks.map((task) => task.attemptId))
      .toEqual(['j.0.1']);
    vitest
      .expect(afterStarts.sessions.map((session) => session.epoch.offset))
      .toEqual([1, 2]);
  },
);

vitest.test(
  'an attempt ends when its lease is not renewed, and a waiting sync returns its end at once',
  async () => {
    const { client, report } = await startWorker(new standins.Fleet(), 'w1');
    const leaseUntilMs = report.clockMs + 150;
    await client.start(createStart(report, { leaseUntilMs }));
    const running = await client.sync(
      createSync(1, { renewUntilMs: leaseUntilMs + 100 }),
    );
    vitest.expect(running.tasks[0]?.leaseUntilMs).toBe(leaseUntilMs + 100);
    const ended = await client.sync(
      createSync(1, { sinceVersion: running.version, waitMs: 5_000 }),
    );
    vitest.expect(ended.tasks[0]).toMatchObject({ exit: 'lapsed' });
    vitest.expect(ended.clockMs).toBeGreaterThanOrEqual(leaseUntilMs + 100);
    const forgotten = await client.sync(createSync(1, { forget: ['j.0.1'] }));
    vitest.expect(forgotten.tasks).toEqual([]);
  },
);

vitest.test(
  'the audit reports a task that runs twice at once and a worker whose declared use exceeds its size',
  async () => {
    const fleet = new standins.Fleet();
    const first = await startWorker(fleet, 'w1');
    const second = await startWorker(fleet, 'w2');
    await first.client.start(createStart(first.report));
    vitest.expect(fleet.getAudit()).toMatchObject({ doubled: 0, overSize: [] });
    await second.client.start(
      createStart(second.report, { attemptId: 'j.0.2' }),
    );
    const otherTask = { attemptId: 'j.1.1', index: 1 };
    await second.client.start(createStart(second.report, otherTask));
    vitest.expect(fleet.getAudit()).toMatchObject({
      doubled: 1,
      doubledTasks: ['j.0'],
      overSize: ['w2'],
    });
    vitest.expect(second.worker.getAudit().maxDeclared.cores).toBe(6);
  },
);

vitest.test(
  'a checkpoint stores the completed work for the next attempt, and a stop ends the attempt',
  async () => {
    const fleet = new standins.Fleet();
    const { client, report } = await startWorker(fleet, 'w1');
    await client.start(createStart(report));
    await client.throttle(createSession(1), 'j.0.1', 0.5);
    await client.checkpoint(createSession(1), 'j.0.1');
    await client.stop(createSession(1), 'j.0.1');
    const stopping = await client.sync(createSync(1));
    vitest.expect(stopping.tasks[0]).toMatchObject({
      state: 'stopping',
      used: { cores: 1.5 },
    });
    const ended = await client.sync(
      createSync(1, { sinceVersion: stopping.version, waitMs: 5_000 }),
    );
    vitest.expect(ended.tasks[0]).toMatchObject({ exit: 'stopped' });
    vitest.expect(fleet.getCheckpoint('j', 0)).toBe(ended.tasks[0]?.checkpoint);
  },
);
