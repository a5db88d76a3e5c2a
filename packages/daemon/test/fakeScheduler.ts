/** A minimal scheduler for tests of the owner of a shard: first fit, in order of arrival. */
import * as core from '@flamingoward/core';

interface FakeTask {
  state: 'waiting' | 'held' | 'live' | 'ended';
  attemptId?: string;
  worker?: string;
  size?: core.resources.Resources;
  stopping?: boolean;
  result?: core.jobs.TaskResult;
}

interface FakeJob {
  job: core.jobs.Job;
  tasks: FakeTask[];
  cancelled: boolean;
  ended: boolean;
}

/** Number of attempts of all schedulers, so that two owners never use the same attempt id, which would hide a second start. */
let attemptCount = 0;

export function createFakeScheduler(
  atMostOnce: (job: core.jobs.Job) => boolean,
): core.scheduling.Scheduler {
  const jobs = new Map<string, FakeJob>();
  const workers = new Map<string, { cores: number; usable: boolean }>();

  function findTask(attemptId: string): FakeTask | undefined {
    for (const fakeJob of jobs.values())
      for (const task of fakeJob.tasks)
        if (task.state === 'live' && task.attemptId === attemptId) return task;
    return undefined;
  }

  function computeFreeCores(worker: string): number {
    let free = workers.get(worker)?.cores ?? 0;
    for (const fakeJob of jobs.values())
      for (const task of fakeJob.tasks)
        if (task.state === 'live' && task.worker === worker)
          free -= task.size?.cores ?? 0;
    return free;
  }

  function apply(event: core.scheduling.SchedulerEvent): void {
    switch (event.event) {
      case 'worker.listed': {
        const usable = workers.get(event.worker.id)?.usable ?? false;
        const cores = event.worker.size?.cores ?? 0;
        workers.set(event.worker.id, { cores, usable });
        return;
      }
      case 'worker.usable': {
        const worker = workers.get(event.worker);
        if (worker !== undefined) worker.usable = event.usable;
        return;
      }
      case 'worker.removed':
        workers.delete(event.worker);
        return;
      case 'job.accepted': {
        const tasks = Array.from(
          { length: event.job.spec.count },
          (): FakeTask => ({ state: 'waiting' }),
        );
        for (const { index, result } of event.ended)
          tasks[index] = { state: 'ended', result };
        const { job } = event;
        jobs.set(job.id, { job, tasks, cancelled: false, ended: false });
        return;
      }
      case 'job.cancelled': {
        const fakeJob = jobs.get(event.job);
        if (fakeJob !== undefined) fakeJob.cancelled = true;
        return;
      }
      case 'task.held':
      case 'task.freed': {
        const task = jobs.get(event.job)?.tasks[event.index];
        if (task === undefined || task.state === 'ended') return;
        task.state = event.event === 'task.held' ? 'held' : 'waiting';
        return;
      }
      case 'task.adopted': {
        const task = jobs.get(event.job)?.tasks[event.index];
        if (task === undefined) throw new Error(`adopted ${event.job} unknown`);
        if (task.state === 'live')
          throw new Error(`${event.job} adopted twice`);
        const { attemptId, worker, size } = event;
        Object.assign(task, { state: 'live', attemptId, worker, size });
        return;
      }
      case 'task.not-started': {
        const task = findTask(event.attemptId);
        if (task === undefined) throw new Error(`${event.attemptId} unknown`);
        task.state = 'waiting';
        return;
      }
      case 'task.ended': {
        const task = findTask(event.attemptId);
        if (task === undefined) throw new Error(`${event.attemptId} unknown`);
        const final = event.result === 'done' || event.result === 'unknown';
        task.state = final ? 'ended' : 'waiting';
        task.stopping = false;
        if (final) task.result = event.result;
        return;
      }
      case 'task.started':
      case 'worker.reported':
      case 'release.changed':
      case 'team.quota':
        return;
    }
  }

  function tick(): core.scheduling.SchedulerCommand[] {
    const commands: core.scheduling.SchedulerCommand[] = [];
    for (const fakeJob of jobs.values()) tickJob(fakeJob, commands);
    return commands;
  }

  function tickJob(
    fakeJob: FakeJob,
    commands: core.scheduling.SchedulerCommand[],
  ): void {
    const { job, tasks } = fakeJob;
    if (fakeJob.ended) return;
    for (const [index, task] of tasks.entries()) {
      if (
        fakeJob.cancelled &&
        task.state === 'live' &&
        task.stopping !== true
      ) {
        task.stopping = true;
        commands.push({
          command: 'stop',
          attemptId: task.attemptId!,
          worker: task.worker!,
          why: 'cancelled',
          checkpoint: false,
        });
      }
      if (fakeJob.cancelled && task.state === 'waiting')
        Object.assign(task, { state: 'ended', result: 'stopped' });
      if (task.state !== 'waiting') continue;
      const { size } = job.spec;
      const worker = [...workers].find(
        ([id, { usable }]) => usable && computeFreeCores(id) >= size.cores,
      )?.[0];
      if (worker === undefined) continue;
      attemptCount += 1;
      const attemptId = `${job.id}.${index}.${attemptCount}`;
      Object.assign(task, { state: 'live', attemptId, worker, size });
      commands.push({
        command: 'start',
        job: job.id,
        index,
        attemptId,
        worker,
        size,
        atMostOnce: atMostOnce(job),
        work: job.spec.work,
      });
    }
    if (!tasks.every((task) => task.state === 'ended')) return;
    fakeJob.ended = true;
    const unknown = tasks.some((task) => task.result === 'unknown');
    const done = tasks.every((task) => task.result === 'done');
    const state = done ? 'done' : unknown ? 'unknown' : 'cancelled';
    commands.push({ command: 'end-job', job: job.id, state, reason: state });
  }

  return {
    apply,
    tick,
    check: () => ({ admitted: true, expectedWaitMs: 0 }),
    listTaskStates: (job) =>
      jobs
        .get(job)
        ?.tasks.map((task) =>
          task.state === 'ended'
            ? { state: 'ended', result: task.result ?? 'unknown' }
            : { state: 'waiting', sinceMs: 0 },
        ),
    explain: () => [],
    getTeamUse: () => new Map(),
    dump: () => [...jobs.keys()],
  };
}
