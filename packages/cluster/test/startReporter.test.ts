/** The line about jobs whose decided start no VM has confirmed. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as startReporters from '../src/startReporter.js';
import * as fakes from './fakes.js';

vitest.describe('the line about unconfirmed starts', () => {
  vitest.it(
    'names each queue whose oldest one is a second old (guards against jobs that count as started and leave no line)',
    async () => {
      const context = fakes.createFakeContext();
      let starts: readonly core.workloads.StartSummary[] = [];
      const reporter = startReporters.createStartReporter(context, {
        fence: 7,
        measureStarts: () => starts,
      });
      reporter.start();
      starts = [
        {
          queue: 'slow',
          waiting: 0,
          unresolved: 2,
          unconfirmed: 9,
          oldestMs: 1_000.4,
        },
        {
          queue: 'usual',
          waiting: 4,
          unresolved: 0,
          unconfirmed: 3,
          oldestMs: 999,
        },
      ];
      await fakes.advance(context.fakeTimers, 1_000);
      reporter.close();
      await fakes.advance(context.fakeTimers, 1_000);
      vitest
        .expect(
          context.lines
            .filter(({ event }) => event === 'starts.unconfirmed')
            .map(({ fields }) => fields),
        )
        .toEqual([
          {
            fence: 7,
            queue: 'slow',
            waiting: 0,
            unresolved: 2,
            unconfirmed: 9,
            oldestMs: 1_000,
          },
        ]);
    },
  );
});
