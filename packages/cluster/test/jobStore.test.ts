/** Accepting jobs while the store is slow, unresponsive or unavailable: correct and prompt answers. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as jobStores from '../src/jobStore.js';
import * as records from '../src/records.js';
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

/** Accepts a job and returns an object that receives the outcome. */
function accept(
  context: fakes.FakeContext,
  store: jobStores.JobStore,
  id: string,
) {
  const result: { outcome?: string } = {};
  void store
    .accept(createJob(id), context.timers.getNow() + 2_700)
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
    'is accepted although all waiting ones together are larger than one append may be (guards against callers that get no answer in a burst of large jobs)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      const { maxAppendBytes } = context.settings;
      context.store.intercept = (_, given) =>
        given.reduce((sum, { value = '' }) => sum + value.length, 0) >
        maxAppendBytes
          ? core
              .waitFor(context.timers, 'test.refusal', 20)
              .then(() => ({ outcome: 'unknown', why: 'status 400' }))
          : undefined;
      const results: string[] = [];
      for (let index = 0; index < 20; index += 1)
        void store
          .accept(
            { ...createJob(`job-${index}`), payload: '1'.repeat(100_000) },
            context.timers.getNow() + 2_700,
          )
          .then(({ outcome }) => results.push(outcome));
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(results).toEqual(Array(20).fill('durable'));
    },
  );

  vitest.it(
    'whose record the store rejects for good is declined, and the others are accepted (guards against callers that wait behind a record that is never written)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      context.store.intercept = (_, given) =>
        given.some(({ key }) => key === 'job:c')
          ? core
              .waitFor(context.timers, 'test.rejection', 5)
              .then(() => ({ outcome: 'rejected', why: 'status 413' }))
          : undefined;
      const results = ['a', 'b', 'c', 'd'].map((id) =>
        accept(context, store, id),
      );
      await fakes.advance(context.fakeTimers, 300);
      vitest
        .expect(results.map(({ outcome }) => outcome))
        .toEqual(['durable', 'durable', 'declined', 'durable']);
    },
  );

  vitest.it(
    'that was never sent is refused soon when the store becomes unresponsive (guards against callers that wait until their deadline)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      context.store.streams.claims.failure = 'no answer';
      context.store.intercept = () =>
        core
          .waitFor(context.timers, 'test.no-answer', 700)
          .then(() => ({ outcome: 'unknown', why: 'no answer' }));
      const sent = accept(context, store, 'a');
      await fakes.advance(context.fakeTimers, 10);
      const queued = accept(context, store, 'b');
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(queued.outcome).toBe('refused');
      vitest.expect(store.getHealth().unavailable).toBe(true);
      vitest.expect(sent.outcome).toBeUndefined();
      await fakes.advance(context.fakeTimers, 3_000);
      // The record may have been written, so the job isn't refused.
      vitest.expect(sent.outcome).toBe('unknown');
    },
  );

  vitest.it(
    'whose append got no answer is appended again and stays one job (guards against duplicate jobs)',
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

  vitest.it(
    'is still known as ended after its own record was dropped',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      const { jobs } = context.store.streams;
      jobs.add('final:a', 'completed');
      jobs.add('job:a', undefined);
      const accepted = records.buildAccepted(createJob('b'));
      jobs.add(accepted.key, accepted.value);
      jobs.add('cancel:b', '1');
      const read = store.refresh();
      await fakes.advance(context.fakeTimers, 10);
      vitest.expect(await read).toBe(true);
      vitest.expect(store.find('a')).toMatchObject({ final: 'completed' });
      vitest.expect(store.find('b')).toMatchObject({ cancelled: true });
      vitest.expect(store.find('c')).toBeUndefined();
    },
  );

  vitest.it.each(['in the order of the stream', 'by its newest records'])(
    'that was cancelled before its acceptance was stored is cancelled, read %s (guards against UNASKED: a job that runs after its DELETE was answered)',
    async (how) => {
      const context = fakes.createFakeContext();
      const { jobs } = context.store.streams;
      const store = jobStores.createJobStore(context);
      if (how === 'in the order of the stream') {
        void store.refresh();
        await fakes.advance(context.fakeTimers, 10);
      }
      jobs.add('cancel:a', '1');
      const { key, value } = records.buildAccepted(createJob('a'));
      if (how === 'in the order of the stream') {
        void store.refresh();
        await fakes.advance(context.fakeTimers, 10);
        // Nobody has submitted it as far as is known.
        vitest.expect(store.find('a')).toBeUndefined();
      }
      jobs.add(key, value);
      void store.refresh();
      await fakes.advance(context.fakeTimers, 10);
      vitest.expect(store.find('a')).toMatchObject({ cancelled: true });
    },
  );

  vitest.it(
    'whose acceptance is written after its cancellation is cancelled before the next read (guards against UNASKED: a task that starts in between)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      void store.cancel('a', context.timers.getNow() + 2_700);
      await fakes.advance(context.fakeTimers, 20);
      const changes: unknown[] = [];
      store.setObserver((change) =>
        changes.push([change.change, store.find('a')?.cancelled]),
      );
      context.store.streams.jobs.failure = 'no reads';
      context.store.intercept = () =>
        Promise.resolve({ outcome: 'appended', offset: 1, end: 2 });
      accept(context, store, 'a');
      await fakes.advance(context.fakeTimers, 20);
      vitest.expect(changes).toEqual([['accepted', true]]);
    },
  );

  vitest.it(
    'that was never accepted leaves no record of its cancellation after the retention period, and only so many are kept (guards against a store that fills up)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      const { jobs } = context.store.streams;
      for (let index = 0; index < 20_000; index += 1)
        jobs.add(`cancel:early-${index}`, '1');
      void store.refresh();
      await fakes.advance(context.fakeTimers, 10);
      const results: unknown[] = [];
      const cancel = async (id: string): Promise<void> => {
        const deadlineMs = context.timers.getNow() + 2_700;
        results.push((await store.cancel(id, deadlineMs)).outcome);
      };
      void cancel('one-more');
      await fakes.advance(context.fakeTimers, 20);
      vitest.expect(results).toEqual(['refused']);
      context.fakeTimers.advance(700_000);
      void store.dropExpired();
      await fakes.advance(context.fakeTimers, 20);
      vitest
        .expect(jobs.records.filter(({ value }) => value === undefined))
        .toHaveLength(3 * 2_000);
      void cancel('one-more');
      await fakes.advance(context.fakeTimers, 20);
      vitest.expect(results).toEqual(['refused', 'durable']);
    },
  );

  vitest.it(
    'finds the store available again within 600 ms after it recovers (guards against refusals after an outage)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      context.store.streams.jobs.failure = 'status 503';
      const refused = accept(context, store, 'a');
      await fakes.advance(context.fakeTimers, 50);
      vitest.expect(refused.outcome).toBe('refused');
      context.store.streams.jobs.failure = undefined;
      await fakes.advance(context.fakeTimers, 600);
      vitest.expect(store.getHealth().unavailable).toBe(false);
    },
  );

  vitest.it(
    'that ended before the retention period leaves no records (guards against a store that fills up)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      accept(context, store, 'a');
      accept(context, store, 'b');
      await fakes.advance(context.fakeTimers, 50);
      store.recordFinal('a', 'completed');
      context.fakeTimers.advance(500_000);
      void store.dropExpired();
      await fakes.advance(context.fakeTimers, 50);
      vitest.expect(store.find('a')).toMatchObject({ final: 'completed' });
      context.fakeTimers.advance(200_000);
      void store.dropExpired();
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

vitest.describe('a job whose records an owner has dropped', () => {
  vitest.it(
    'is forgotten by a node that did not follow the stream meanwhile (guards against TWICE: as the next owner, it starts an ended job once more)',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      for (const id of ['ended', 'open']) accept(context, store, id);
      await fakes.advance(context.fakeTimers, 50);
      await store.refresh();
      const { jobs } = context.store.streams;
      const ended = [
        ...records.buildFinal('ended', 'completed'),
        ...records.buildForgotten('ended'),
      ];
      for (const { key, value } of ended) jobs.add(key, value);
      const read = jobs.read.bind(jobs);
      jobs.read = () => {
        jobs.read = read;
        return Promise.resolve({ outcome: 'trimmed' });
      };
      await store.refresh();
      vitest.expect(store.find('ended')).toBeUndefined();
      vitest.expect(store.find('open')?.job).toBeDefined();
      store.close();
    },
  );
});

vitest.describe('a job of a workspace', () => {
  const jobOfA = { ...createJob('a'), workspace: 'a', submitter: 'f' };
  const callerB = { workspace: 'b', submitter: 'g' };

  vitest.it(
    'keeps its workspace after its end, for a node that only reads its newest records (guards against a new owner that tells any workspace how it ended)',
    async () => {
      const context = fakes.createFakeContext();
      const { jobs } = context.store.streams;
      const ended = records.buildFinal('a', 'completed', {
        queue: 'queue',
        workspace: 'a',
      });
      for (const { key, value } of [records.buildAccepted(jobOfA), ...ended])
        jobs.add(key, value);
      const store = jobStores.createJobStore(context);
      const read = store.refresh();
      await fakes.advance(context.fakeTimers, 10);
      await read;
      vitest.expect(store.find('a')).toMatchObject({ final: 'completed' });
      vitest.expect(store.find('a')?.job).toBeUndefined();
      vitest.expect(store.findReadable('a', callerB)).toBeUndefined();
      vitest.expect(store.findReadable('a', { workspace: 'a' })).toBeDefined();
    },
  );

  vitest.it.each(['in the order of the stream', 'by its newest records'])(
    'is not cancelled by another workspace before its acceptance, read %s (guards against a workspace that cancels ids that it guesses)',
    async (how) => {
      const context = fakes.createFakeContext();
      const { jobs } = context.store.streams;
      const store = jobStores.createJobStore(context);
      const read = async () => {
        void store.refresh();
        await fakes.advance(context.fakeTimers, 10);
      };
      if (how === 'in the order of the stream') await read();
      for (const [id, caller] of [
        ['a', callerB],
        ['b', { workspace: 'a' }],
      ] as const) {
        const cancellation = records.buildCancelled(id, caller);
        jobs.add(cancellation.key, cancellation.value);
        if (how === 'in the order of the stream') await read();
        const accepted = records.buildAccepted({ ...jobOfA, id });
        jobs.add(accepted.key, accepted.value);
      }
      await read();
      vitest.expect(store.find('a')?.cancelled).toBe(false);
      vitest.expect(store.find('b')?.cancelled).toBe(true);
    },
  );

  vitest.it(
    'outlasts a record of another workspace with its id, which a node wrote that knew neither the job nor the owner (guards against a job that is lost with the next change of owner)',
    async () => {
      const context = fakes.createFakeContext();
      const { jobs } = context.store.streams;
      const store = jobStores.createJobStore(context);
      const changes: string[] = [];
      store.setObserver(({ change }) => changes.push(change));
      void store.accept(jobOfA, context.timers.getNow() + 2_700);
      await fakes.advance(context.fakeTimers, 100);
      const foreign = records.buildAccepted({ ...jobOfA, ...callerB });
      jobs.add(foreign.key, foreign.value);
      void store.refresh();
      await fakes.advance(context.fakeTimers, 100);
      vitest.expect(changes).toEqual(['accepted']);
      vitest.expect(store.find('a')?.job?.workspace).toBe('a');
      const newest = jobs.records.findLast(({ key }) => key === 'job:a');
      vitest
        .expect(records.parseJobChange(newest!))
        .toMatchObject({ job: { workspace: 'a' } });
    },
  );

  vitest.it(
    'is refused while another workspace submits one with its id to the same node',
    async () => {
      const context = fakes.createFakeContext();
      const store = jobStores.createJobStore(context);
      const untilMs = context.timers.getNow() + 2_700;
      const results = [
        store.accept(jobOfA, untilMs, { workspace: 'a' }),
        store.accept({ ...jobOfA, ...callerB }, untilMs, callerB),
      ];
      await fakes.advance(context.fakeTimers, 100);
      vitest
        .expect((await Promise.all(results)).map(({ outcome }) => outcome))
        .toEqual(['durable', 'in-use']);
    },
  );
});
