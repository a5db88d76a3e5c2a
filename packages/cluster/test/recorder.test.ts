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
      void recorder
        .write({ number: 1, progress, finals, dropped: ['job-x'] })
        .then(() => {
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
