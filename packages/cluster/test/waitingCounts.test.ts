/** Counts of waiting jobs around a change of owner. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as waitingCounts from '../src/waitingCounts.js';
import * as fakes from './fakes.js';

/** Creates the counts of a node whose owner answers after `delayMs`. */
function createSetup() {
  const timers = core.createVirtualTimers(10_000);
  const owner = {
    counts: undefined as core.clusterMessages.OwnerCounts | undefined,
    delayMs: 0,
    fault: undefined as Error | undefined,
    questions: 0,
  };
  const counts = waitingCounts.createWaitingCounts(timers, async () => {
    owner.questions += 1;
    if (owner.fault !== undefined) throw owner.fault;
    const { counts: told } = owner;
    await core.waitFor(timers, 'test.owner', owner.delayMs);
    return told;
  });
  /** Fetches a count for up to `forMs`. */
  async function fetch(forMs: number) {
    let result: waitingCounts.WaitingCount | 'unresolved' | undefined;
    void counts.fetch('queue', timers.getNow() + forMs).then((count) => {
      result = count;
    });
    await fakes.advance(timers, forMs);
    return result;
  }
  return { timers, owner, counts, fetch };
}

function createCounts(waiting: number, ageMs = 0, fence = 3) {
  return {
    fence,
    ageMs,
    waiting: [['queue', waiting]],
    unresolved: [] as readonly string[],
  } as const;
}

vitest.describe('the count of waiting jobs', () => {
  vitest.it(
    'is not zero while a new owner does not know it yet (guards against MIXED: no jobs are said to wait after a change of owner)',
    async () => {
      const { timers, owner, fetch } = createSetup();
      owner.counts = createCounts(7);
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 7 });
      owner.counts = undefined;
      timers.advance(500);
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 7 });
      timers.advance(2_000);
      vitest.expect(await fetch(1_200)).toBeUndefined();
    },
  );

  vitest.it(
    'is unknown until an owner knows it (guards against MIXED: a node counts the jobs that it happens to know)',
    async () => {
      const { owner, fetch } = createSetup();
      vitest.expect(await fetch(1_200)).toBeUndefined();
      owner.counts = { ...createCounts(0), waiting: [] };
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 0 });
    },
  );

  vitest.it(
    'is not given when it took two seconds on the way (guards against MIXED: a count that a slow link held up counts as new)',
    async () => {
      const { owner, fetch } = createSetup();
      owner.counts = createCounts(7);
      owner.delayMs = 2_050;
      vitest.expect(await fetch(3_000)).toBeUndefined();
      owner.delayMs = 1_000;
      vitest.expect(await fetch(3_000)).toMatchObject({ waiting: 7 });
    },
  );

  vitest.it(
    'is not given two seconds after the owner last knew all jobs (guards against MIXED: counts of an owner that has been replaced)',
    async () => {
      const { timers, owner, fetch } = createSetup();
      owner.counts = createCounts(7, 1_500);
      const count = await fetch(100);
      vitest
        .expect(count)
        .toSatisfy((told: { readonly ageMs: number }) => told.ageMs >= 1_500);
      owner.counts = undefined;
      timers.advance(500);
      vitest.expect(await fetch(1_200)).toBeUndefined();
    },
  );

  vitest.it(
    'is fetched again from the newest owner when it is a second old, once for all callers',
    async () => {
      const { timers, owner, fetch } = createSetup();
      owner.counts = createCounts(7);
      owner.delayMs = 50;
      const both = await Promise.all([fetch(100), fetch(100)]);
      for (const count of both)
        vitest.expect(count).toMatchObject({ waiting: 7 });
      vitest.expect(owner.questions).toBe(1);
      owner.counts = createCounts(2, 0, 4);
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 7 });
      timers.advance(1_000);
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 2, fence: 4 });
      vitest.expect(owner.questions).toBe(2);
    },
  );

  vitest.it(
    'is not given while a job of the queue may have started (guards against MIXED: recorded starts that count as begun, or as waiting, before their VM has reported)',
    async () => {
      const { owner, fetch } = createSetup();
      owner.counts = { ...createCounts(7), unresolved: ['queue'] };
      vitest.expect(await fetch(1_200)).toBe('unresolved');
      owner.counts = { ...createCounts(7), unresolved: ['other'] };
      vitest.expect(await fetch(1_200)).toMatchObject({ waiting: 7 });
    },
  );

  vitest.it(
    'is refused in time while the owner does not answer (guards against answers after the deadline of the caller)',
    async () => {
      const { timers, owner, counts } = createSetup();
      owner.delayMs = 600;
      const untilMs = timers.getNow() + 800;
      let refusedMs = Infinity;
      void counts.fetch('queue', untilMs).then(() => {
        refusedMs = timers.getNow();
      });
      await fakes.advance(timers, 2_000);
      vitest.expect(refusedMs).toBeLessThanOrEqual(untilMs);
    },
  );

  vitest.it(
    'is asked for again after a question has failed (guards against a node that refuses all counts after one fault)',
    async () => {
      const { timers, owner, counts, fetch } = createSetup();
      owner.fault = new Error('unreadable tables');
      await vitest
        .expect(counts.fetch('queue', timers.getNow() + 100))
        .rejects.toThrow(owner.fault);
      owner.fault = undefined;
      owner.counts = createCounts(7);
      vitest.expect(await fetch(100)).toMatchObject({ waiting: 7 });
    },
  );
});
