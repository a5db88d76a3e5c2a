/** Folding the streams of jobs and tasks into tables, ends of jobs, and job ids. */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

const spec: core.jobs.JobSpec = {
  kind: 'batch',
  name: 'cut',
  team: 'roof',
  jobClass: 'plain',
  count: 3,
  size: { cores: 1, memoryMb: 1, gpus: 0 },
  declaredMs: 1_000,
  work: {},
};
const epoch = (offset: number): core.ids.Epoch => ({ offset, provisional: 0 });
const accepted: core.records.JobRecord = {
  type: 'accepted',
  job: 'j',
  spec,
  urgency: 'normal',
  shard: 'workers/muscat',
  release: 'r1',
  acceptedMs: 1,
};
const cancel: core.records.JobRecord = { type: 'cancel', job: 'j', by: 'x' };

function end(offset: number): core.records.JobRecord {
  const reason = `epoch ${offset}`;
  return {
    type: 'ended',
    job: 'j',
    state: 'done',
    reason,
    epoch: epoch(offset),
  };
}

function carry(offset: number): core.records.JobRecord {
  const table = fold([accepted]);
  const job = table.jobs.get('j')!;
  return { type: 'carried', job, epoch: epoch(offset) };
}

function fold(bodies: readonly core.records.JobRecord[]): core.JobTable {
  const table = core.createJobTable();
  bodies.forEach((body, offset) => {
    core.applyJobRecord(table, { offset, id: `${offset}`, body }, 0);
  });
  return table;
}

// Guards against an ended job that is restored and a cancellation that is lost when records
// are repeated, late, or carried forward by a replaced owner.
vitest.test(
  'an end and a cancellation of a job are never undone by other records',
  () => {
    const others = [accepted, cancel, end(3), end(4), carry(2), carry(5)];
    const anyRecords = fc.array(fc.constantFrom(...others), { maxLength: 8 });
    fc.assert(
      fc.property(anyRecords, anyRecords, (before, after) => {
        const table = fold([...before, accepted, end(4), ...after]);
        const job = table.jobs.get('j');
        const firstEnd = before.find((body) => body.type === 'ended');
        const endReason = firstEnd?.reason ?? 'epoch 4';
        vitest.expect(table.ended.has('j')).toBe(true);
        if (job !== undefined) vitest.expect(job).toMatchObject({ endReason });
        const cancelled = fold([...before, cancel, accepted, ...after]);
        const open = cancelled.jobs.get('j');
        if (open !== undefined && !cancelled.ended.has('j'))
          vitest.expect(open.cancelRequested).toBe(true);
      }),
      { seed: 7, numRuns: 300 },
    );
  },
);

// Guards against a replaced owner that restores a job whose end is no longer retained.
vitest.test(
  'a carried record of an older epoch than the last one of its shard is ignored',
  () => {
    const other: core.records.JobRecord = {
      type: 'carried',
      epoch: epoch(6),
      job: { ...fold([accepted]).jobs.get('j')!, id: 'k' },
    };
    vitest.expect([...fold([other, carry(5)]).jobs.keys()]).toEqual(['k']);
    vitest.expect([...fold([other, carry(6)]).jobs.keys()]).toEqual(['k', 'j']);
  },
);

// Guards against running a job again when its submission is repeated after it ended.
vitest.test(
  'ended jobs are dropped after one hour and their ids after one day',
  () => {
    const table = fold([accepted, end(1)]);
    vitest.expect(core.dropEndedJobs(table, 3_600_000)).toEqual([]);
    vitest.expect(core.dropEndedJobs(table, 3_600_001)).toEqual(['j']);
    const again = { offset: 9, id: '9', body: accepted };
    vitest
      .expect(core.applyJobRecord(table, again, 3_600_001))
      .toEqual({ change: 'none' });
    core.dropEndedJobs(table, 86_400_001);
    vitest.expect(table.ended.size).toBe(0);
  },
);

function foldTasks(bodies: readonly core.records.TaskRecord[]): core.TaskTable {
  const table = core.createTaskTable();
  bodies.forEach((body, offset) => {
    core.applyTaskRecord(table, { offset, id: `${offset}`, body });
  });
  return table;
}

function ends(
  index: number,
  result: core.jobs.TaskResult,
): core.records.TaskRecord {
  return { type: 'ends', epoch: epoch(1), ends: [{ job: 'j', index, result }] };
}

// Guards against a late record of another owner that changes the end of a task.
vitest.test('the first end of a task counts, unless it was unknown', () => {
  const table = foldTasks([
    ends(2, 'done'),
    ends(2, 'failed'),
    ends(0, 'unknown'),
    ends(0, 'done'),
  ]);
  vitest.expect(core.listTaskEnds(table, 'j')).toEqual([
    { index: 0, result: 'done' },
    { index: 2, result: 'done' },
  ]);
  vitest.expect(core.countTaskEnds(table, 'j')).toBe(2);
});

// Guards against counting an end that a replaced owner reports after the new owner has
// accounted for all tasks and may have restarted the task.
vitest.test(
  'records of a replaced owner count until the new owner has settled',
  () => {
    const settled = { type: 'settled', epoch: epoch(2) } as const;
    const table = foldTasks([
      ends(0, 'done'),
      settled,
      ends(1, 'done'),
      { ...ends(2, 'done'), epoch: epoch(2) },
    ]);
    const counted = core.listTaskEnds(table, 'j').map((task) => task.index);
    vitest.expect(counted).toEqual([0, 2]);
  },
);

// Guards against a job that ends before its tasks have, or as done although one failed.
vitest.test(
  'a job ends once all its tasks have, with a state derived from their results',
  () => {
    const job = fold([accepted]).jobs.get('j')!;
    const decide = (...results: core.jobs.TaskResult[]) =>
      core.decideJobEnd(
        job,
        results.map((result, index) => ({ index, result })),
      )?.state;
    vitest.expect(decide('done', 'done')).toBeUndefined();
    vitest.expect(decide('done', 'done', 'done')).toBe('done');
    vitest.expect(decide('done', 'failed', 'done')).toBe('failed');
    vitest.expect(decide('done', 'failed', 'unknown')).toBe('unknown');
    const cancelled = { ...job, cancelRequested: true };
    const stopped = [0, 1, 2].map((index) => ({
      index,
      result: 'stopped' as const,
    }));
    vitest
      .expect(core.decideJobEnd(cancelled, stopped)?.state)
      .toBe('cancelled');
  },
);

// Guards against submissions of different teams or keys that get the same job id.
vitest.test('a job id depends on the team and the key alone', () => {
  vitest
    .expect(core.computeJobId('roof', 'k'))
    .toBe(core.computeJobId('roof', 'k'));
  vitest
    .expect(core.computeJobId('roof', 'k'))
    .not.toBe(core.computeJobId('roo', 'fk'));
});
