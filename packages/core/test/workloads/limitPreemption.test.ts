/** Preemption under the limit of a workspace: a workspace that fills its limit with long tasks sends urgent ones. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const limit = { cores: 3, memoryMb: Infinity, gpus: Infinity };

function setUp(batch: Partial<core.workloads.StepSpec>) {
  const harness = harnesses.createHarness({});
  harness.scheduler.setWorkspaces(
    new Map([['small', { name: 'small', weight: 9, priority: 1, limit }]]),
  );
  harness.addVm('a');
  harness.addVm('b');
  const advance = (forMs: number): void => {
    for (let ms = 0; ms < forMs; ms += 100) harness.advance(100);
  };
  const addJob = (
    id: string,
    step: Partial<core.workloads.StepSpec>,
    priority: number,
    workspace = 'small',
  ): void => {
    harness.addJob(
      id,
      [harnesses.createStep(step)],
      harnesses.createPolicy({ priority }),
      undefined,
      workspace,
    );
  };
  addJob('batch', { count: 3, estimateMs: 60_000, ...batch }, 2);
  addJob('other', { count: 2, estimateMs: 60_000, ...batch }, 2, 'large');
  advance(1_000);
  const count = (prefix: string): number =>
    harness.listRuns().filter(({ task }) => task.startsWith(prefix)).length;
  return { advance, addJob, count };
}

vitest.describe('a workspace at its limit', () => {
  vitest.it(
    'stops one long task of its own for an urgent one (guards against urgent tasks that wait for batch work of their own workspace beside idle VMs)',
    () => {
      const { advance, addJob, count } = setUp({ savesProgress: true });
      addJob('urgent', {}, 0);
      advance(1_500);
      vitest.expect(count('urgent')).toBe(1);
      vitest.expect(count('batch')).toBe(2);
      vitest.expect(count('other')).toBe(2);
    },
  );

  vitest.it.each([
    { what: 'tasks that lose their work', batch: {}, priority: 0 },
    {
      what: 'tasks of the same priority',
      batch: { savesProgress: true },
      priority: 2,
    },
  ])(
    'stops no $what (guards against work that is thrown away)',
    ({ batch, priority }) => {
      const { advance, addJob, count } = setUp(batch);
      addJob('urgent', {}, priority);
      advance(3_000);
      vitest.expect(count('urgent')).toBe(0);
      vitest.expect(count('batch')).toBe(3);
    },
  );
});
