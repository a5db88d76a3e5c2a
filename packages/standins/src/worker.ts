/**
 * Stand-in for a worker. It runs attempts under leases measured on its own clock and
 * records the sessions that contacted it. It starts attempts even beyond its size, so that
 * the audit detects a scheduler that overcommits it.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import type * as fleets from './fleet.js';
import * as serving from './serve.js';

/** Identity and size of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly size: core.resources.Resources;
  /** Pool that the worker's use is sampled with. */
  readonly pool: string;
  readonly fleet: fleets.Fleet;
  /** Delay of the reported use behind the actual use, in ms. */
  readonly usageLagMs?: number;
}

/** Faults to inject. */
export interface WorkerControl {
  /** Every attempt that is started or throttled from now on ends as failed. */
  readonly failTasks?: boolean;
  /** Accept requests and never answer, as behind a network partition; attempts keep running. */
  readonly silent?: boolean;
}

/** Counts of a worker since its start. */
export interface WorkerAudit {
  readonly id: string;
  readonly size: core.resources.Resources;
  /** Peak declared use of each resource. */
  readonly maxDeclared: core.resources.Resources;
  readonly starts: number;
  /** Starts refused because their deadline or lease had passed. */
  readonly lapsed: number;
}

interface Attempt {
  readonly request: core.workers.StartRequest;
  state: core.workers.AttemptReport['state'];
  leaseUntilMs: number;
  readonly startedMs: number;
  exit?: NonNullable<core.workers.AttemptReport['exit']>;
  checkpoint?: number;
  /** Work completed by `progressAtMs`, in ms of unthrottled run time. */
  progressMs: number;
  progressAtMs: number;
  /** Share of full speed, 0 to 1. */
  speed: number;
  /** Changes of the actual use, oldest first. */
  readonly usage: {
    readonly atMs: number;
    readonly used: core.resources.Resources;
  }[];
  endTimer?: NodeJS.Timeout;
  leaseTimer?: NodeJS.Timeout;
}

const DEFAULT_USAGE_LAG_MS = 2_000;
const DEFAULT_STOP_DURATION_MS = 50;
/** Lower bound of a throttled attempt's speed, so that the attempt still ends. */
const MIN_SPEED = 0.01;

export class WorkerStandin {
  readonly #options: WorkerOptions;
  readonly #attempts = new Map<string, Attempt>();
  readonly #sessions = new Map<string, core.workers.SeenSession>();
  readonly #syncWaiters = new Set<() => void>();
  #faults: WorkerControl = {};
  #incarnation = createIncarnation();
  /** Each incarnation has its own clock, with a random offset. */
  #clockOffsetMs = createClockOffset();
  #version = 1;
  #maxDeclared: core.resources.Resources = { cores: 0, memoryMb: 0, gpus: 0 };
  #starts = 0;
  #lapsedStarts = 0;
  #server: serving.Server | undefined;

  constructor(options: WorkerOptions) {
    this.#options = options;
    options.fleet.addWorker(options.pool, options.size);
  }

  /** Starts listening and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) =>
      this.handle(incoming, response),
    );
    return this.#server.address;
  }

  /** Stops listening and loses all attempts, as a failed VM does. */
  async stop(): Promise<void> {
    this.reset();
    await this.#server?.stop();
  }

  /** Replaces the injected faults. */
  setFaults(faults: WorkerControl): void {
    this.#faults = faults;
  }

  /** Loses all attempts and sessions and begins a new incarnation with a new clock. */
  reset(): void {
    for (const attempt of this.#attempts.values())
      if (attempt.state !== 'ended') this.#endAttempt(attempt, 'stopped');
    this.#attempts.clear();
    this.#sessions.clear();
    this.#incarnation = createIncarnation();
    this.#clockOffsetMs = createClockOffset();
    this.#version = 1;
  }

  /** Returns the counts since the start. */
  getAudit(): WorkerAudit {
    return {
      id: this.#options.id,
      size: this.#options.size,
      maxDeclared: this.#maxDeclared,
      starts: this.#starts,
      lapsed: this.#lapsedStarts,
    };
  }

  /** Returns the bytes of all connections since the start; undefined before it. */
  getTraffic(): serving.Traffic | undefined {
    return this.#server?.getTraffic();
  }

  /** Answers one request, subject to the injected faults. */
  async handle(
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.getAudit());
      return;
    }
    const body = serving.parseBody(incoming);
    if (incoming.path === '/-/control') {
      this.setFaults(body as WorkerControl);
      serving.respondJson(response, 200, this.#faults);
      return;
    }
    if (this.#faults.silent === true) return;
    if (incoming.path === '/sync')
      await this.#handleSync(body as core.workers.SyncRequest, response);
    else if (incoming.path === '/tasks')
      this.#startAttempt(body as core.workers.StartRequest, response);
    else this.#runCommand(incoming.path, body, response);
  }

  #getClockMs(): number {
    return Math.round(performance.now() + this.#clockOffsetMs);
  }

  #recordSession(session: core.workers.WorkerSession | undefined): void {
    if (session === undefined) return;
    const { instance, epoch } = session;
    const lastSeenMs = this.#getClockMs();
    this.#sessions.set(instance, { instance, epoch, lastSeenMs });
  }

  /** Renews leases, drops forgotten attempts, and waits for a change when the caller has the current version. */
  async #handleSync(
    request: core.workers.SyncRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#recordSession(request.session);
    for (const id of request.forget)
      if (this.#attempts.get(id)?.state === 'ended') this.#attempts.delete(id);
    if (request.renewUntilMs !== undefined) this.#renew(request.renewUntilMs);
    if (request.sinceVersion === this.#version && request.waitMs > 0)
      await this.#waitForChange(request.waitMs, response);
    if (response.destroyed || this.#faults.silent === true) return;
    serving.respondJson(response, 200, this.#report());
  }

  #renew(untilMs: number): void {
    for (const attempt of this.#attempts.values())
      if (attempt.state !== 'ended')
        attempt.leaseUntilMs = Math.max(attempt.leaseUntilMs, untilMs);
  }

  #waitForChange(
    limitMs: number,
    response: http.ServerResponse,
  ): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        clearTimeout(timer);
        this.#syncWaiters.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, limitMs);
      this.#syncWaiters.add(resume);
      response.on('close', resume);
    });
  }

  #notifyChange(): void {
    this.#version += 1;
    for (const resume of [...this.#syncWaiters]) resume();
  }

  #report(): core.workers.SyncReport {
    return {
      boot: this.#incarnation,
      clockMs: this.#getClockMs(),
      version: this.#version,
      sessions: [...this.#sessions.values()],
      tasks: [...this.#attempts.values()].map((attempt) =>
        this.#reportAttempt(attempt),
      ),
    };
  }

  #reportAttempt(attempt: Attempt): core.workers.AttemptReport {
    const { request } = attempt;
    const seenMs =
      this.#getClockMs() - (this.#options.usageLagMs ?? DEFAULT_USAGE_LAG_MS);
    const used = attempt.usage.findLast((each) => each.atMs <= seenMs)?.used;
    return {
      attemptId: request.attemptId,
      jobId: request.jobId,
      index: request.index,
      state: attempt.state,
      size: request.size,
      used: used ?? { cores: 0, memoryMb: 0, gpus: 0 },
      leaseUntilMs: attempt.leaseUntilMs,
      startedMs: attempt.startedMs,
      ...(attempt.exit === undefined ? {} : { exit: attempt.exit }),
      ...(attempt.checkpoint === undefined
        ? {}
        : { checkpoint: attempt.checkpoint }),
    };
  }

  #startAttempt(
    request: core.workers.StartRequest,
    response: http.ServerResponse,
  ): void {
    this.#recordSession(request.session);
    const refusal = this.#checkStart(request);
    if (refusal !== undefined) {
      if (refusal === 'lapsed') this.#lapsedStarts += 1;
      serving.respondJson(response, 409, { reason: refusal });
      return;
    }
    const nowMs = this.#getClockMs();
    const { fleet, id, pool } = this.#options;
    const attempt: Attempt = {
      request,
      state: 'running',
      leaseUntilMs: request.leaseUntilMs,
      startedMs: nowMs,
      progressMs:
        fleet.getCheckpoint(request.jobId, request.index) *
        getNumber(request.work, 'actualMs', 0),
      progressAtMs: nowMs,
      speed: 1,
      usage: listUsage(request, nowMs),
    };
    this.#attempts.set(request.attemptId, attempt);
    this.#starts += 1;
    fleet.recordStart(id, pool, request);
    this.#updateDeclaredUse();
    this.#scheduleEnd(attempt);
    this.#scheduleLease(attempt);
    this.#notifyChange();
    serving.respondJson(response, 201, { clockMs: nowMs });
  }

  #checkStart(
    request: core.workers.StartRequest,
  ): 'boot' | 'known' | 'lapsed' | undefined {
    const nowMs = this.#getClockMs();
    if (request.boot !== this.#incarnation) return 'boot';
    if (this.#attempts.has(request.attemptId)) return 'known';
    if (nowMs > request.startByMs || nowMs >= request.leaseUntilMs)
      return 'lapsed';
    return undefined;
  }

  #updateDeclaredUse(): void {
    let cores = 0;
    let memoryMb = 0;
    let gpus = 0;
    for (const { state, request } of this.#attempts.values()) {
      if (state === 'ended') continue;
      cores += request.size.cores;
      memoryMb += request.size.memoryMb;
      gpus += request.size.gpus;
    }
    const { size, fleet, id } = this.#options;
    this.#maxDeclared = {
      cores: Math.max(this.#maxDeclared.cores, cores),
      memoryMb: Math.max(this.#maxDeclared.memoryMb, memoryMb),
      gpus: Math.max(this.#maxDeclared.gpus, gpus),
    };
    // The tolerance covers rounding of sums of fractional cores.
    const isOverSize =
      cores > size.cores + 1e-6 || memoryMb > size.memoryMb || gpus > size.gpus;
    if (isOverSize) fleet.recordOverSize(id);
  }

  /** Schedules the end of the remaining work; an attempt without `actualMs` runs until it is stopped. */
  #scheduleEnd(attempt: Attempt): void {
    clearTimeout(attempt.endTimer);
    const actualMs = getNumber(attempt.request.work, 'actualMs', 0);
    if (actualMs <= 0) return;
    const remainingMs =
      Math.max(0, actualMs - attempt.progressMs) / attempt.speed;
    const failed =
      this.#faults.failTasks === true || attempt.request.work.exit === 'failed';
    attempt.endTimer = setTimeout(() => {
      this.#endAttempt(attempt, failed ? 'failed' : 'done');
    }, remainingMs);
    attempt.endTimer.unref();
  }

  /** Ends the attempt when its lease expires; a renewal in between reschedules the check. */
  #scheduleLease(attempt: Attempt): void {
    const remainingMs = attempt.leaseUntilMs - this.#getClockMs();
    attempt.leaseTimer = setTimeout(
      () => {
        if (attempt.leaseUntilMs > this.#getClockMs())
          this.#scheduleLease(attempt);
        else this.#endAttempt(attempt, 'lapsed');
      },
      Math.max(0, remainingMs),
    );
    attempt.leaseTimer.unref();
  }

  #endAttempt(
    attempt: Attempt,
    exit: NonNullable<core.workers.AttemptReport['exit']>,
  ): void {
    if (attempt.state === 'ended') return;
    clearTimeout(attempt.endTimer);
    clearTimeout(attempt.leaseTimer);
    attempt.state = 'ended';
    attempt.exit = exit;
    const { fleet, id, pool } = this.#options;
    fleet.recordEnd(id, pool, attempt.request, exit);
    this.#notifyChange();
  }

  #runCommand(
    path: string,
    body: unknown,
    response: http.ServerResponse,
  ): void {
    const match = /^\/tasks\/([^/]+)\/(stop|checkpoint|throttle)$/.exec(path);
    const fields = body as {
      session?: core.workers.WorkerSession;
      share?: number;
    };
    this.#recordSession(fields.session);
    const attempt = this.#attempts.get(decodeURIComponent(match?.[1] ?? ''));
    if (match === null || attempt === undefined) {
      serving.respondJson(response, 404, { error: 'no such attempt' });
      return;
    }
    if (match[2] === 'stop') this.#stopAttempt(attempt);
    else if (match[2] === 'checkpoint') this.#recordCheckpoint(attempt);
    else this.#throttle(attempt, fields.share ?? 1);
    serving.respondJson(response, 202, {});
  }

  #stopAttempt(attempt: Attempt): void {
    if (attempt.state !== 'running') return;
    attempt.state = 'stopping';
    clearTimeout(attempt.endTimer);
    const stopMs = getNumber(
      attempt.request.work,
      'stopMs',
      DEFAULT_STOP_DURATION_MS,
    );
    attempt.endTimer = setTimeout(() => {
      this.#endAttempt(attempt, 'stopped');
    }, stopMs);
    attempt.endTimer.unref();
    this.#notifyChange();
  }

  #recordCheckpoint(attempt: Attempt): void {
    if (attempt.state !== 'running') return;
    this.#updateProgress(attempt);
    const { request } = attempt;
    const actualMs = getNumber(request.work, 'actualMs', 0);
    const share = actualMs > 0 ? Math.min(1, attempt.progressMs / actualMs) : 0;
    attempt.checkpoint = share;
    this.#options.fleet.recordCheckpoint(request.jobId, request.index, share);
    this.#notifyChange();
  }

  #throttle(attempt: Attempt, share: number): void {
    if (attempt.state !== 'running') return;
    this.#updateProgress(attempt);
    attempt.speed = Math.min(1, Math.max(MIN_SPEED, share));
    const used = attempt.usage.at(-1)?.used ?? attempt.request.size;
    const cores = Math.min(
      used.cores,
      attempt.request.size.cores * attempt.speed,
    );
    attempt.usage.push({ atMs: this.#getClockMs(), used: { ...used, cores } });
    this.#scheduleEnd(attempt);
    this.#notifyChange();
  }

  #updateProgress(attempt: Attempt): void {
    const nowMs = this.#getClockMs();
    attempt.progressMs += (nowMs - attempt.progressAtMs) * attempt.speed;
    attempt.progressAtMs = nowMs;
  }
}

/** Returns the actual use over time: `actualCores` and `actualMemoryMb`, preceded by the declared size until `growAfterMs`. */
function listUsage(
  request: core.workers.StartRequest,
  nowMs: number,
): Attempt['usage'] {
  const { size, work } = request;
  const actual = {
    cores: getNumber(work, 'actualCores', size.cores),
    memoryMb: getNumber(work, 'actualMemoryMb', size.memoryMb),
    gpus: size.gpus,
  };
  const growAfterMs = getNumber(work, 'growAfterMs', 0);
  if (growAfterMs <= 0) return [{ atMs: nowMs, used: actual }];
  return [
    { atMs: nowMs, used: size },
    { atMs: nowMs + growAfterMs, used: actual },
  ];
}

function getNumber(
  work: core.workers.StartRequest['work'],
  name: string,
  fallback: number,
): number {
  const value = work[name];
  return typeof value === 'number' ? value : fallback;
}

function createIncarnation(): string {
  return crypto.randomBytes(6).toString('hex');
}

function createClockOffset(): number {
  return crypto.randomInt(1, 1_000_000_000);
}
