/** The owner's batches when the store refuses large appends. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as recorders from '../src/recorder.js';
import * as records from '../src/records.js';
import * as fakes from './fakes.js';

function createContext(): fakes.FakeContext {
  const context = fakes.createFakeContext();
  const { maxAppendBytes } = context.settings;
  context.store.intercept = (_, given) => {
    const bytes = given.reduce(
      (sum, record) => sum + records.measureRecord(record),
      0,
    );
    return bytes <= maxAppendBytes
      ? undefined
      : Promise.resolve({ outcome: 'unknown', why: 'status 400' });
  };
  return context;
}

vitest.describe('a batch that is larger than one append may be', () => {
  vitest.it(
    'is written in parts (guards against a batch that no retry can write, so that nothing starts any more)',
    async () => {
      const context = createContext();
      const recorder = recorders.createRecorder(context, 7, () => undefined);
      const opened = recorder.open();
      await fakes.advance(context.fakeTimers, 50);
      await opened;
      const progress = new Map<string, string>();
      const finals = new Map<string, core.workloads.FinalState>();
      for (let index = 0; index < 40; index += 1)
        progress.set(`job-${index}`, '1'.repeat(60_000));
      for (let index = 0; index < 30_000; index += 1)
        finals.set(`ended-${index}`, 'completed');
      const result = { isDurable: false };
      void recorder.write({ progress, finals, dropped: ['job-x'] }).then(() => {
        result.isDurable = true;
      });
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(result.isDurable).toBe(true);
      const { streams } = context.store;
      vitest.expect(streams.progress.records).toHaveLength(41);
      vitest.expect(streams.jobs.records).toHaveLength(60_000);
    },
  );
});

vitest.describe('a record that the store rejects for good', () => {
  vitest.it(
    'is told of and keeps no other record waiting (guards against LOST: one job whose record is too large stops the work of all)',
    async () => {
      const context = fakes.createFakeContext();
      context.store.intercept = (_, given) =>
        given.some(({ value = '' }) => value.length > 1_000)
          ? Promise.resolve({ outcome: 'rejected', why: 'status 413' })
          : undefined;
      const recorder = recorders.createRecorder(context, 7, () => undefined);
      const progress = new Map<string, string>();
      for (let index = 0; index < 9; index += 1)
        progress.set(`job-${index}`, '1'.repeat(index === 4 ? 2_000 : 10));
      const results: unknown[] = [];
      for (const dropped of [['job-x'], []])
        void recorder
          .write({ progress, finals: new Map(), dropped })
          .then((rejected) => results.push(rejected));
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(results).toEqual([['job-4'], ['job-4']]);
      const stored = context.store.streams.progress.records;
      vitest
        .expect(new Set(stored.map(({ key }) => key)))
        .toEqual(
          new Set(
            [...progress.keys(), 'job-x'].filter((key) => key !== 'job-4'),
          ),
        );
    },
  );

  vitest.it(
    'is tried again if it is a final state, which only a faulty store rejects',
    async () => {
      const context = fakes.createFakeContext();
      let rejections = 0;
      context.store.intercept = () => {
        rejections += 1;
        return rejections > 3
          ? undefined
          : Promise.resolve({ outcome: 'rejected', why: 'status 400' });
      };
      const recorder = recorders.createRecorder(context, 7, () => undefined);
      const results: unknown[] = [];
      void recorder
        .write({
          progress: new Map(),
          finals: new Map([['job', 'completed']]),
          dropped: [],
        })
        .then((rejected) => results.push(rejected));
      await fakes.advance(context.fakeTimers, 1_000);
      vitest.expect(results).toEqual([[]]);
      vitest.expect(context.store.streams.jobs.records).toHaveLength(2);
    },
  );
});

vitest.describe('the end of a job', () => {
  vitest.it(
    'keeps the origin of a job of a workspace, and nothing of any other (guards against an end that the next owner tells to any workspace)',
    async () => {
      const context = fakes.createFakeContext();
      const recorder = recorders.createRecorder(
        context,
        7,
        () => undefined,
        (id) => (id === 'a' ? { queue: 'q', workspace: 'w' } : { queue: 'q' }),
      );
      const opened = recorder.open();
      await fakes.advance(context.fakeTimers, 50);
      await opened;
      void recorder.write({
        progress: new Map(),
        finals: new Map([
          ['a', 'completed'],
          ['b', 'failed'],
        ]),
        dropped: [],
      });
      await fakes.advance(context.fakeTimers, 50);
      vitest
        .expect(context.store.streams.jobs.records.map(records.parseJobChange))
        .toEqual([
          { change: 'final', id: 'a', state: 'completed' },
          {
            change: 'body-dropped',
            id: 'a',
            origin: { queue: 'q', workspace: 'w' },
          },
          { change: 'final', id: 'b', state: 'failed' },
          { change: 'body-dropped', id: 'b' },
        ]);
    },
  );
});
