/** The gauges of workspaces. */
import * as observability from '@flamingoward/observability';
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

  vitest.it(
    'show use, limit and waiting steps, and 0 once the owner is another node (guards against two nodes that report one workspace)',
    () => {
      const metrics = observability.createMetrics();
      const gauges = workspaceMetrics.createWorkspaceMetrics(metrics);
      gauges.set(
        [],
        [
          {
            name: 'small',
            used: { cores: 1.5, memoryMb: 200, gpus: 0 },
            limit: { cores: 4, memoryMb: Infinity, gpus: 0 },
            unrecorded: { cores: 0, memoryMb: 0, gpus: 0 },
            waitingSteps: 7,
          },
        ],
      );
      const text = metrics.render();
      vitest.expect(text).toMatch(/workspace_steps_waiting\{.*\} 7\n/u);
      vitest.expect(text).toMatch(/workspace_used\{.*cores.*\} 1\.5\n/u);
      vitest.expect(text).toMatch(/workspace_limit\{.*cores.*\} 4\n/u);
      vitest.expect(text).toMatch(/workspace_limit\{.*memoryMb.*\} 0\n/u);
      gauges.set([], []);
      const later = metrics.render();
      vitest.expect(later).toMatch(/workspace_steps_waiting\{.*\} 0\n/u);
      vitest.expect(later).toMatch(/workspace_used\{.*cores.*\} 0\n/u);
    },
  );
});
