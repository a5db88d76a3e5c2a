/** A fake worker without admission control: it enforces leases and nothing else. */
import * as core from '@flamingoward/core';

interface Task {
  report: core.workers.AttemptReport;
  readonly endsMs: number;
  readonly exit: 'done' | 'failed';
}

interface PendingSync {
  readonly dueMs: number;
  readonly since: number | undefined;
  readonly answer: (report: core.workers.SyncReport) => void;
}

export class FakeWorker {
  readonly tasks = new Map<string, Task>();
  /** Attempts that began, as `job#index`, over all incarnations of the worker. */
  readonly startedTasks: string[] = [];
  private sessions: core.workers.SeenSession[] = [];
  private pendingSyncs: PendingSync[] = [];
  private version = 0;
  private incarnations = 1;

  constructor(
    readonly vm: core.workers.VmRecord,
    /** Reads the worker's clock, which differs in offset and rate from all others. */
    readonly readClock: () => number,
    readonly checksStartBy = true,
  ) {}

  getIncarnation(): string {
    return `${this.vm.id}/${this.incarnations}`;
  }

  reboot(): void {
    this.incarnations += 1;
    this.tasks.clear();
    this.sessions = [];
    this.pendingSyncs = [];
    this.version = 0;
  }

  listRunning(): core.workers.AttemptReport[] {
    return [...this.tasks.values()]
      .map((task) => task.report)
      .filter((report) => report.state !== 'ended');
  }

  /** Ends attempts whose lease or run time is over, then answers the long polls that are due. */
  step(): void {
    const clockMs = this.readClock();
    for (const task of this.tasks.values()) {
      if (task.report.state === 'ended') continue;
      if (task.report.leaseUntilMs < clockMs) this.end(task, 'lapsed');
      else if (task.report.state === 'stopping') this.end(task, 'stopped');
      else if (task.endsMs < clockMs) this.end(task, task.exit);
    }
    const due = this.pendingSyncs.filter(
      (sync) => sync.dueMs <= clockMs || sync.since !== this.version,
    );
    this.pendingSyncs = this.pendingSyncs.filter((sync) => !due.includes(sync));
    for (const sync of due) sync.answer(this.buildReport());
  }

  sync(
    request: core.workers.SyncRequest,
    answer: (report: core.workers.SyncReport) => void,
  ): void {
    this.recordSession(request.session);
    const clockMs = this.readClock();
    for (const id of request.forget) this.tasks.delete(id);
    for (const task of this.tasks.values()) {
      const until = Math.max(
        task.report.leaseUntilMs,
        request.renewUntilMs ?? 0,
      );
      if (task.report.state !== 'ended' && task.report.leaseUntilMs >= clockMs)
        task.report = { ...task.report, leaseUntilMs: until };
    }
    const since = request.sinceVersion ?? this.version;
    this.pendingSyncs.push({ dueMs: clockMs + request.waitMs, since, answer });
    if (request.waitMs === 0) this.step();
  }

  start(request: core.workers.StartRequest): core.workers.StartAnswer {
    this.recordSession(request.session);
    const clockMs = this.readClock();
    if (request.boot !== this.getIncarnation())
      return { started: false, reason: 'boot' };
    if (this.tasks.has(request.attemptId))
      return { started: false, reason: 'known' };
    const late = this.checksStartBy && clockMs > request.startByMs;
    if (late || clockMs > request.leaseUntilMs)
      return { started: false, reason: 'lapsed' };
    this.startedTasks.push(`${request.jobId}#${request.index}`);
    const { attemptId, jobId, index, size, leaseUntilMs, work } = request;
    this.tasks.set(attemptId, {
      report: {
        attemptId,
        jobId,
        index,
        state: 'running',
        size,
        used: size,
        leaseUntilMs,
        startedMs: clockMs,
      },
      endsMs: clockMs + Number(work.runMs ?? 3_000),
      exit: 'done',
    });
    this.version += 1;
    return { started: true, clockMs };
  }

  stop(attempt: string): void {
    const task = this.tasks.get(attempt);
    if (task?.report.state !== 'running') return;
    task.report = { ...task.report, state: 'stopping' };
    this.version += 1;
  }

  private end(
    task: Task,
    exit: NonNullable<core.workers.AttemptReport['exit']>,
  ): void {
    task.report = { ...task.report, state: 'ended', exit };
    this.version += 1;
  }

  private recordSession(session: core.workers.WorkerSession): void {
    const others = this.sessions.filter(
      (seen) => core.compareSessions(seen, session) !== 0,
    );
    this.sessions = [...others, { ...session, lastSeenMs: this.readClock() }];
  }

  private buildReport(): core.workers.SyncReport {
    return {
      boot: this.getIncarnation(),
      clockMs: this.readClock(),
      version: this.version,
      sessions: this.sessions,
      tasks: [...this.tasks.values()].map((task) => task.report),
    };
  }
}
