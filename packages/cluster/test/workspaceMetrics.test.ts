/** The gauges of workspaces. */
import * as vitest from 'vitest';
import * as workspaceMetrics from '../src/workspaceMetrics.js';
import * as fakes from './fakes.js';

vitest.describe('the gauges of workspaces', () => {
  vitest.it(
    'are 0 once the process owns nothing (guards against shares of an owner that was replaced)',
    () => {
      const set = new Map<string, number>();
      const gauges = workspaceMetrics.createWorkspaceMetrics({
        ...fakes.createFakeContext().metrics,
        set: (name, labels, value) => {
          set.set([name, ...Object.values(labels)].join(' '), value);
        },
      });
      gauges.set(
        [
          {
            workspace: 'a',
            accepted: 5,
            excess: 2,
            pools: new Map([['p', { used: 0.5, entitled: 0.25 }]]),
          },
        ],
        [],
      );
      vitest.expect([...set]).toEqual([
        ['workspace_jobs_accepted a', 5],
        ['workspace_jobs_excess a', 2],
        ['workspace_share_used a p', 0.5],
        ['workspace_share_entitled a p', 0.25],
      ]);
      gauges.set([], []);
      vitest.expect([...set.values()]).toEqual([0, 0, 0, 0]);
    },
  );
});
