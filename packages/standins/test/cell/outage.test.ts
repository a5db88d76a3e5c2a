/** Faults of the log service under load. */
import * as standins from '@flamingoward/standins';
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

const OUTAGE_MS = 5_000;
const LONG_OUTAGE_MS = 18_000;
/** Tasks of the backlog; they take longer than the outage. */
const TASKS = 160;

/** Submits tasks for more time than the outage lasts, so that placements wait in it. */
async function submitBacklog(
  cell: cells.Cell,
  count: number,
  actualMs: number,
): Promise<string> {
  const reply = await cell.requestCallersApi(
    'p1',
    'POST',
    '/jobs',
    { 'idempotency-key': 'backlog' },
    JSON.stringify({
      kind: 'batch',
      name: 'backlog',
      team: 'workshop',
      jobClass: 'cutting',
      count,
      size: { cores: 1, memoryMb: 256 },
      declaredMs: actualMs,
      work: { actualMs },
    }),
  );
  vitest.expect(reply?.status).toBe(202);
  return String(reply!.json.id);
}

function countStarts(cell: cells.Cell, job: string): number {
  const { starts } = cell.platform.readAudit().fleet;
  return starts.filter(({ jobId }) => jobId === job).length;
}

/** Waits until more tasks of a job have started than now. */
async function waitForStarts(cell: cells.Cell, job: string): Promise<void> {
  const before = countStarts(cell, job);
  await cell.waitFor(`a start of ${job}`, () =>
    Promise.resolve(countStarts(cell, job) > before + 3),
  );
}

async function expectDoneOnce(
  cell: cells.Cell,
  job: string,
  count: number,
): Promise<void> {
  await cell.waitFor(`the end of ${job}`, async () => {
    const reply = await cell.requestCallersApi(
      cell.running[0]!,
      'GET',
      `/jobs/${job}`,
    );
    return reply?.json.state === 'done';
  });
  const { starts } = cell.platform.readAudit().fleet;
  const done = starts.filter(
    (each) => each.jobId === job && each.exit === 'done',
  );
  vitest.expect(done.length).toBe(count);
  vitest.expect(new Set(done.map(({ index }) => index)).size).toBe(count);
}

/** What the tries of a phase were answered, without repetitions. */
function listAnswers(load: loads.Load, kind: loads.CallKind, phase: string) {
  const tries = load.listTries(kind, phase);
  return [...new Set(tries.map(({ reply }) => reply?.answer ?? reply?.status))];
}

vitest.test.concurrent(
  'log outage under load: quotes and placements go on, orders and jobs are refused as not run (guards P4, P5)',
  async () => {
    await cells.runCell({}, async (cell) => {
      // Callers of orders and jobs repeat refused calls; quotes have their own callers.
      const load = new loads.Load(cell, { seed: 301, kinds: ['order', 'job'] });
      const quotes = new loads.Load(cell, { seed: 304, kinds: ['quote'] });
      load.start();
      quotes.start();
      await load.waitFor('order', 'done', 20);
      const backlog = await submitBacklog(cell, TASKS, 1_500);
      // A job is placed once the claims were read after it, which needs the log.
      await waitForStarts(cell, backlog);
      cell.platform.log.set({ outage: true });
      load.phase = 'outage';
      quotes.phase = 'outage';
      await quotes.waitFor('quote', 'done', 30);
      await standins.waitMs(OUTAGE_MS);
      await waitForStarts(cell, backlog);
      load.phase = 'ending';
      quotes.phase = 'ending';
      cell.platform.log.set({});
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      await load.stop();
      await quotes.stop();
      vitest.expect(listAnswers(quotes, 'quote', 'outage')).toEqual(['done']);
      vitest.expect(listAnswers(load, 'order', 'outage')).toEqual(['not-run']);
      vitest.expect(listAnswers(load, 'job', 'outage')).toEqual(['not-run']);
      await expectDoneOnce(cell, backlog, TASKS);
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
      vitest.expect(await checks.listViolations(cell, quotes)).toEqual([]);
    });
  },
);

vitest.test.concurrent(
  'a slow log that loses replies: nothing is doubled (guards P2, P4, P5)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 302 });
      load.start();
      await load.waitFor('order', 'done', 10);
      cell.platform.log.set({ loseReplies: 60, slowMs: 60 });
      await load.waitFor('order', 'done', 20);
      await load.waitFor('job', 'done', 10);
      cell.platform.log.set({ silentRequests: 10 });
      await load.waitFor('order', 'done', 20);
      cell.platform.log.set({});
      await load.waitFor('job', 'done', 10);
      await load.stop();
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);

vitest.test.concurrent.each(['workers/muscat', 'service/order@muscat'])(
  'SIGKILL of the owner of %s during a log outage: running tasks keep their leases, refusals stay true (guards P2, P4, P5)',
  async (shard) => {
    const test = `SIGKILL of the owner of ${shard} during a log outage`;
    await cells.runKnownRed(test, () =>
      cells.runCell({}, async (cell) => {
        const load = new loads.Load(cell, { seed: 303 });
        load.start();
        await load.waitFor('order', 'done', 20);
        const owner = (await cell.findOwner(shard))!;
        const backlog = await submitBacklog(cell, 8, 30_000);
        await cell.waitFor('the start of all tasks', () =>
          Promise.resolve(countStarts(cell, backlog) === 8),
        );
        cell.platform.log.set({ outage: true });
        load.phase = 'outage';
        await standins.waitMs(1_000);
        cell.signal(owner, 'SIGKILL');
        await cell.waitForExit(owner);
        // Longer than the lease term, so that running tasks need a provisional owner.
        await standins.waitMs(LONG_OUTAGE_MS);
        load.phase = 'ending';
        cell.platform.log.set({});
        await cell.startProcess(owner);
        await cell.waitForOwners();
        await load.waitFor('order', 'done', 20);
        await load.waitFor('job', 'done', 10);
        await load.stop();
        const { starts } = cell.platform.readAudit().fleet;
        vitest
          .expect(starts.filter(({ exit }) => exit === 'lapsed'))
          .toEqual([]);
        for (const kind of ['order', 'job'] as const)
          vitest
            .expect(
              load
                .listTries(kind, 'outage')
                .filter(
                  ({ reply }) =>
                    reply !== undefined && reply.answer !== 'not-run',
                ),
            )
            .toEqual([]);
        await expectDoneOnce(cell, backlog, 8);
        vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
      }),
    );
  },
);
