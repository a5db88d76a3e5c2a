/** Counts of waiting jobs around a change of owner. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import type * as jobStores from '../src/jobStore.js';
import * as waitingCounts from '../src/waitingCounts.js';
import * as fakes from './fakes.js';

const unfinished: jobStores.StoredJob = {
  id: 'job',
  job: {
    id: 'job',
    queue: 'queue',
    payload: '',
    steps: [],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs: 0,
    policy: fakes.queuePolicy,
  },
  cancelled: false,
  final: undefined,
  endedMs: undefined,
};

function createSetup() {
  const timers = core.createVirtualTimers(10_000);
  const setup = {
    own: undefined as ReadonlyMap<string, number> | undefined,
  };
  const counts = waitingCounts.createWaitingCounts(
    timers,
    { list: () => [unfinished, { ...unfinished, id: 'other' }] },
    () => setup.own,
  );
  return { timers, setup, counts };
}

vitest.describe('the count of waiting jobs', () => {
  vitest.it(
    'is not zero while a new owner does not know it yet (guards against MIXED: no jobs are said to wait after a change of owner)',
    () => {
      const { timers, counts } = createSetup();
      counts.record(3, [['queue', 7]]);
      timers.advance(500);
      counts.record(3, undefined);
      vitest.expect(counts.count('queue').waiting).toBe(7);
      timers.advance(2_000);
      counts.record(3, undefined);
      vitest.expect(counts.count('queue').waiting).toBe(2);
    },
  );

  vitest.it(
    'is that of all unfinished jobs at an owner that restores its tables',
    () => {
      const { setup, counts } = createSetup();
      vitest.expect(counts.count('queue').waiting).toBe(2);
      setup.own = new Map();
      vitest.expect(counts.count('queue').waiting).toBe(0);
    },
  );
});
