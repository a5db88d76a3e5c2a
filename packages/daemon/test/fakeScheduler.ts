/** First fit in order of arrival: the least that the owner of a shard needs from a scheduler. */
import * as core from '@flamingoward/core';

interface Slot {
  state: 'waiting' | 'held' | 'live' | 'ended';
  attemptId?: string;
  worker?: string;
  size?: core.resources.Resources;
  stopping?: boolean;
  result?: core.jobs.TaskResult;
}

interface Entry {
  job: core.jobs.Job;
  slots: Slot[];
  cancelled: boolean;
  ended: boolean;
}

/** Counts over all schedulers: an id that two owners use would hide a second start. */
let attempts = 0;

export function createFakeScheduler(
  atMostOnce: (job: core.jobs.Job) => boolean,
): core.scheduling.Scheduler {
  const jobs = new Map<string, Entry>();
  const workers = new Map<string, { cores: number; usable: boolean }>();

  function findSlot(attemptId: string): Slot | undefined {
    for (const entry of jobs.values())
      for (const slot of entry.slots)
        if (slot.state === 'live' && slot.attemptId === attemptId) return slot;
    return undefined;
  }

  function readFree(worker: string): number {
    let free = workers.get(worker)?.cores ?? 0;
    for (const entry of jobs.values())
      for (const slot of entry.slots)
        if (slot.state === 'live' && slot.worker === worker)
          free -= slot.size?.cores ?? 0;
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
        const slots = Array.from(
          { length: event.job.spec.count },
          (): Slot => ({ state: 'waiting' }),
        );
        for (const { index, result } of event.ended)
          slots[index] = { state: 'ended', result };
        const { job } = event;
        jobs.set(job.id, { job, slots, cancelled: false, ended: false });
        return;
      }
      case 'job.cancelled': {
        const entry = jobs.get(event.job);
        if (entry !== undefined) entry.cancelled = true;
        return;
      }
      case 'task.held':
      case 'task.freed': {
        const slot = jobs.get(event.job)?.slots[event.index];
        if (slot === undefined || slot.state === 'ended') return;
        slot.state = event.event === 'task.held' ? 'held' : 'waiting';
        return;
      }
      case 'task.adopted': {
        const slot = jobs.get(event.job)?.slots[event.index];
        if (slot === undefined) throw new Error(`adopted ${event.job} unknown`);
        if (slot.state === 'live')
          throw new Error(`${event.job} adopted twice`);
        const { attemptId, worker, size } = event;
        Object.assign(slot, { state: 'live', attemptId, worker, size });
        return;
      }
      case 'task.not-started': {
        const slot = findSlot(event.attemptId);
        if (slot === undefined) throw new Error(`${event.attemptId} unknown`);
        slot.state = 'waiting';
        return;
      }
      case 'task.ended': {
        const slot = findSlot(event.attemptId);
        if (slot === undefined) throw new Error(`${event.attemptId} unknown`);
        const final = event.result === 'done' || event.result === 'unknown';
        slot.state = final ? 'ended' : 'waiting';
        slot.stopping = false;
        if (final) slot.result = event.result;
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
    for (const entry of jobs.values()) tickJob(entry, commands);
    return commands;
  }

  function tickJob(
    entry: Entry,
    commands: core.scheduling.SchedulerCommand[],
  ): void {
    const { job, slots } = entry;
    if (entry.ended) return;
    for (const [index, slot] of slots.entries()) {
      if (entry.cancelled && slot.state === 'live' && slot.stopping !== true) {
        slot.stopping = true;
        commands.push({
          command: 'stop',
          attemptId: slot.attemptId!,
          worker: slot.worker!,
          why: 'cancelled',
          checkpoint: false,
        });
      }
      if (entry.cancelled && slot.state === 'waiting')
        Object.assign(slot, { state: 'ended', result: 'stopped' });
      if (slot.state !== 'waiting') continue;
      const { size } = job.spec;
      const worker = [...workers].find(
        ([id, { usable }]) => usable && readFree(id) >= size.cores,
      )?.[0];
      if (worker === undefined) continue;
      attempts += 1;
      const attemptId = `${job.id}.${index}.${attempts}`;
      Object.assign(slot, { state: 'live', attemptId, worker, size });
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
    if (!slots.every((slot) => slot.state === 'ended')) return;
    entry.ended = true;
    const unknown = slots.some((slot) => slot.result === 'unknown');
    const done = slots.every((slot) => slot.result === 'done');
    const state = done ? 'done' : unknown ? 'unknown' : 'cancelled';
    commands.push({ command: 'end-job', job: job.id, state, reason: state });
  }

  return {
    apply,
    tick,
    check: () => ({ admitted: true, expectedWaitMs: 0 }),
    readTasks: (job) =>
      jobs
        .get(job)
        ?.slots.map((slot) =>
          slot.state === 'ended'
            ? { state: 'ended', result: slot.result ?? 'unknown' }
            : { state: 'waiting', sinceMs: 0 },
        ),
    explain: () => [],
    readTeamUse: () => new Map(),
    dump: () => [...jobs.keys()],
  };
}
