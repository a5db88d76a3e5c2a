/** Accepting jobs while the store is slow, silent or away: true answers, and soon. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as jobStores from '../src/jobStore.js';
import * as fakes from './fakes.js';

function createJob(id: string): core.workloads.Job {
  return {
    id,
    queue: 'queue',
    payload: '',
    steps: [],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs: 0,
    policy: fakes.queuePolicy,
  };
}

/** Accepts a job and remembers what became of it. */
function accept(
  context: fakes.FakeContext,
  store: jobStores.JobStore,
  id: string,
) {
  const result: { outcome?: string } = {};
  void store
    .accept(createJob(id), context.timers.readNow() + 2_700)
    .then(({ outcome }) => {
      result.outcome = outcome;
    });
  return result;
}

vitest.describe('a job', () => {
  vitest.it('is accepted once its record is in the stream', async () => {
    const context = fakes.createFakeContext();
    const store = jobStores.createJobStore(context);
    const first = accept(context, store, 'a');
    vitest.expect(first.outcome).toBeUndefined();
    await fakes.advance(context.fakeTimers, 50);
    vitest.expect(first.outcome).toBe('durable');
    vitest
      .expect(context.store.streams.jobs.records.map(({ key }) => key))
      .toEqual(['job:a']);
  });

  vitest.it(
    'that was never sent is refused soon when the store falls silent (guards against callers held to their deadline)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      context.store.streams.claims.failing = 'no answer';
      context.store.intercept = () =>
        core
          .waitFor(context.timers, 'test.silent', 700)
          .then(() => ({ outcome: 'unknown', why: 'no answer' }));
      const sent = accept(context, store, 'a');
      await fakes.advance(context.fakeTimers, 10);
      const queued = accept(context, store, 'b');
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(queued.outcome).toBe('refused');
      vitest.expect(store.readHealth().away).toBe(true);
      vitest.expect(sent.outcome).toBeUndefined();
      await fakes.advance(context.fakeTimers, 3_000);
      // It may have been written, so it isn't refused.
      vitest.expect(sent.outcome).toBe('unknown');
    },
  );

  vitest.it(
    'whose answer was lost is sent again and is one job (guards against doubled jobs)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      let lost = 0;
      context.store.intercept = (stream, records) => {
        if (lost > 0) return undefined;
        lost += 1;
        for (const { key, value } of records)
          context.store.streams[stream].add(key, value);
        return Promise.resolve({ outcome: 'unknown', why: 'lost' });
      };
      const result = accept(context, store, 'a');
      await fakes.advance(context.fakeTimers, 100);
      vitest.expect(result.outcome).toBe('durable');
      await store.refresh();
      vitest.expect([...store.list()].map(({ id }) => id)).toEqual(['a']);
    },
  );

  vitest.it('is known as ended after its text was dropped', async () => {
    const context = fakes.createFakeContext();
    const store = jobStores.createJobStore(context);
    const { jobs } = context.store.streams;
    jobs.add('final:a', 'completed');
    jobs.add('job:a', undefined);
    jobs.add('cancel:b', '1');
    const read = store.refresh();
    await fakes.advance(context.fakeTimers, 10);
    vitest.expect(await read).toBe(true);
    vitest.expect(store.find('a')).toMatchObject({ final: 'completed' });
    vitest.expect(store.find('b')).toMatchObject({ cancelled: true });
    vitest.expect(store.find('c')).toBeUndefined();
  });

  vitest.it('is accepted again once the store is back', async () => {
    const context = fakes.createFakeContext();
    const store = jobStores.createJobStore(context);
    context.store.streams.jobs.failing = 'status 503';
    const refused = accept(context, store, 'a');
    await fakes.advance(context.fakeTimers, 50);
    vitest.expect(refused.outcome).toBe('refused');
    context.store.streams.jobs.failing = undefined;
    await fakes.advance(context.fakeTimers, 600);
    vitest.expect(store.readHealth().away).toBe(false);
  });

  vitest.it(
    'that ended long ago leaves nothing behind (guards against a store that fills)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      accept(context, store, 'a');
      accept(context, store, 'b');
      await fakes.advance(context.fakeTimers, 50);
      store.noteFinal('a', 'completed');
      context.fakeTimers.advance(500_000);
      void store.dropOld();
      await fakes.advance(context.fakeTimers, 50);
      vitest.expect(store.find('a')).toMatchObject({ final: 'completed' });
      context.fakeTimers.advance(200_000);
      void store.dropOld();
      await fakes.advance(context.fakeTimers, 50);
      vitest.expect(store.find('a')).toBeUndefined();
      vitest.expect(store.find('b')).toBeDefined();
      vitest
        .expect(
          context.store.streams.jobs.records
            .filter(({ value }) => value === undefined)
            .map(({ key }) => key),
        )
        .toEqual(['job:a', 'cancel:a', 'final:a']);
    },
  );
});
