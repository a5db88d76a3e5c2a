/**
 * Stand-in for a worker: it runs attempts under leases on its own clock, records the
 * sessions that contacted it, and accepts whatever it is given.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import type * as fleets from './fleet.js';
import * as serving from './serve.js';

/** What a worker is. */
export interface WorkerOptions {
  readonly id: string;
  readonly size: core.resources.Resources;
  /** Kind of worker, for the samples of use. */
  readonly pool: string;
  readonly fleet: fleets.Fleet;
  /** Delay until the reported use shows a change, in ms. */
  readonly usageLagMs?: number;
}

/** Faults that a worker shows. */
export interface WorkerControl {
  /** Every attempt started from now on fails at its end. */
  readonly failTasks?: boolean;
  /** Accept requests and never answer, as behind a network partition; attempts go on. */
  readonly silent?: boolean;
}

/** What a worker counted. */
export interface WorkerAudit {
  readonly id: string;
  readonly size: core.resources.Resources;
  /** Largest declared use ever, for each resource. */
  readonly maxDeclared: core.resources.Resources;
  readonly starts: number;
  readonly lapsed: number;
}

interface Attempt {
  readonly request: core.workers.StartRequest;
  state: core.workers.AttemptReport['state'];
  leaseUntilMs: number;
  readonly startedMs: number;
  exit?: NonNullable<core.workers.AttemptReport['exit']>;
  checkpoint?: number;
  /** Work done, in ms of unthrottled run time, up to `progressAtMs`. */
  progressMs: number;
  progressAtMs: number;
  /** Share of full speed, 0 to 1. */
  speed: number;
  /** Actual use from a time on, oldest first. */
  readonly use: {
    readonly atMs: number;
    readonly used: core.resources.Resources;
  }[];
  endTimer?: NodeJS.Timeout;
  leaseTimer?: NodeJS.Timeout;
}

/** Default delay until reported use shows a change. */
const USAGE_LAG_MS = 2_000;
/** Time that an attempt takes to stop. */
const STOP_MS = 50;
/** Smallest speed of a throttled attempt, so that its end stays finite. */
const MIN_SPEED = 0.01;

/** One worker. */
export class WorkerStandin {
  readonly #options: WorkerOptions;
  readonly #attempts = new Map<string, Attempt>();
  readonly #sessions = new Map<string, core.workers.SeenSession>();
  readonly #waiting = new Set<() => void>();
  #control: WorkerControl = {};
  #boot = createBoot();
  /** Each run of a worker has its own clock. */
  #clockOffsetMs = createClockOffset();
  #version = 1;
  #maxDeclared: core.resources.Resources = { cores: 0, memoryMb: 0, gpus: 0 };
  #starts = 0;
  #lapsed = 0;
  #server: serving.Server | undefined;

  constructor(options: WorkerOptions) {
    this.#options = options;
    options.fleet.addWorker(options.pool, options.size);
  }

  /** Starts to serve and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) =>
      this.handle(incoming, response),
    );
    return this.#server.address;
  }

  /** Stops serving and loses all attempts, as a VM that fails. */
  async stop(): Promise<void> {
    this.reset();
    await this.#server?.stop();
  }

  /** Replaces the switches. */
  set(control: WorkerControl): void {
    this.#control = control;
  }

  /** Loses all attempts and begins a new run with a new clock. */
  reset(): void {
    for (const attempt of this.#attempts.values())
      if (attempt.state !== 'ended') this.#endAttempt(attempt, 'stopped');
    this.#attempts.clear();
    this.#sessions.clear();
    this.#boot = createBoot();
    this.#clockOffsetMs = createClockOffset();
    this.#version = 1;
  }

  /** Returns what was counted. */
  readAudit(): WorkerAudit {
    return {
      id: this.#options.id,
      size: this.#options.size,
      maxDeclared: this.#maxDeclared,
      starts: this.#starts,
      lapsed: this.#lapsed,
    };
  }

  /** Bytes of all calls since the start; undefined before it. */
  readTraffic(): serving.Traffic | undefined {
    return this.#server?.readTraffic();
  }

  /** Answers one request. */
  async handle(
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.readAudit());
      return;
    }
    const body = serving.parseBody(incoming);
    if (incoming.path === '/-/control') {
      this.set(body as WorkerControl);
      serving.respondJson(response, 200, this.#control);
      return;
    }
    if (this.#control.silent === true) return;
    if (incoming.path === '/sync')
      await this.#handleSync(body as core.workers.SyncRequest, response);
    else if (incoming.path === '/tasks')
      this.#startAttempt(body as core.workers.StartRequest, response);
    else this.#runCommand(incoming.path, body, response);
  }

  #readClock(): number {
    return Math.round(performance.now() + this.#clockOffsetMs);
  }

  #noteSession(session: core.workers.WorkerSession | undefined): void {
    if (session === undefined) return;
    const { instance, epoch } = session;
    const lastSeenMs = this.#readClock();
    this.#sessions.set(instance, { instance, epoch, lastSeenMs });
  }

  async #handleSync(
    request: core.workers.SyncRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#noteSession(request.session);
    for (const id of request.forget)
      if (this.#attempts.get(id)?.state === 'ended') this.#attempts.delete(id);
    if (request.renewUntilMs !== undefined) this.#renew(request.renewUntilMs);
    if (request.sinceVersion === this.#version && request.waitMs > 0)
      await this.#waitForChange(request.waitMs, response);
    if (response.destroyed || this.#control.silent === true) return;
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
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.#waiting.add(wake);
      response.on('close', wake);
    });
  }

  #noteChange(): void {
    this.#version += 1;
    for (const wake of [...this.#waiting]) wake();
  }

  #report(): core.workers.SyncReport {
    return {
      boot: this.#boot,
      clockMs: this.#readClock(),
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
      this.#readClock() - (this.#options.usageLagMs ?? USAGE_LAG_MS);
    const used = attempt.use.findLast((each) => each.atMs <= seenMs)?.used;
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
    this.#noteSession(request.session);
    const refusal = this.#checkStart(request);
    if (refusal !== undefined) {
      if (refusal === 'lapsed') this.#lapsed += 1;
      serving.respondJson(response, 409, { reason: refusal });
      return;
    }
    const nowMs = this.#readClock();
    const { fleet, id, pool } = this.#options;
    const attempt: Attempt = {
      request,
      state: 'running',
      leaseUntilMs: request.leaseUntilMs,
      startedMs: nowMs,
      progressMs:
        fleet.readCheckpoint(request.jobId, request.index) *
        readNumber(request.work, 'actualMs', 0),
      progressAtMs: nowMs,
      speed: 1,
      use: listUse(request, nowMs),
    };
    this.#attempts.set(request.attemptId, attempt);
    this.#starts += 1;
    fleet.noteStart(id, pool, request);
    this.#measureDeclared();
    this.#scheduleEnd(attempt);
    this.#scheduleLease(attempt);
    this.#noteChange();
    serving.respondJson(response, 201, { clockMs: nowMs });
  }

  #checkStart(
    request: core.workers.StartRequest,
  ): 'boot' | 'known' | 'lapsed' | undefined {
    const nowMs = this.#readClock();
    if (request.boot !== this.#boot) return 'boot';
    if (this.#attempts.has(request.attemptId)) return 'known';
    if (nowMs > request.startByMs || nowMs >= request.leaseUntilMs)
      return 'lapsed';
    return undefined;
  }

  #measureDeclared(): void {
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
    // Sums of fractional cores may be off by rounding.
    const over =
      cores > size.cores + 1e-6 || memoryMb > size.memoryMb || gpus > size.gpus;
    if (over) fleet.noteOverSize(id);
  }

  /** An attempt without `actualMs` runs until it is stopped. */
  #scheduleEnd(attempt: Attempt): void {
    clearTimeout(attempt.endTimer);
    const actualMs = readNumber(attempt.request.work, 'actualMs', 0);
    if (actualMs <= 0) return;
    const leftMs = Math.max(0, actualMs - attempt.progressMs) / attempt.speed;
    const failed =
      this.#control.failTasks === true ||
      attempt.request.work.exit === 'failed';
    attempt.endTimer = setTimeout(() => {
      this.#endAttempt(attempt, failed ? 'failed' : 'done');
    }, leftMs);
    attempt.endTimer.unref();
  }

  #scheduleLease(attempt: Attempt): void {
    const leftMs = attempt.leaseUntilMs - this.#readClock();
    attempt.leaseTimer = setTimeout(
      () => {
        if (attempt.leaseUntilMs > this.#readClock())
          this.#scheduleLease(attempt);
        else this.#endAttempt(attempt, 'lapsed');
      },
      Math.max(0, leftMs),
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
    fleet.noteEnd(id, pool, attempt.request, exit);
    this.#noteChange();
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
    this.#noteSession(fields.session);
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
    const stopMs = readNumber(attempt.request.work, 'stopMs', STOP_MS);
    attempt.endTimer = setTimeout(() => {
      this.#endAttempt(attempt, 'stopped');
    }, stopMs);
    attempt.endTimer.unref();
    this.#noteChange();
  }

  #recordCheckpoint(attempt: Attempt): void {
    if (attempt.state !== 'running') return;
    this.#advance(attempt);
    const { request } = attempt;
    const actualMs = readNumber(request.work, 'actualMs', 0);
    const share = actualMs > 0 ? Math.min(1, attempt.progressMs / actualMs) : 0;
    attempt.checkpoint = share;
    this.#options.fleet.recordCheckpoint(request.jobId, request.index, share);
    this.#noteChange();
  }

  #throttle(attempt: Attempt, share: number): void {
    if (attempt.state !== 'running') return;
    this.#advance(attempt);
    attempt.speed = Math.min(1, Math.max(MIN_SPEED, share));
    const used = attempt.use.at(-1)?.used ?? attempt.request.size;
    const cores = Math.min(
      used.cores,
      attempt.request.size.cores * attempt.speed,
    );
    attempt.use.push({ atMs: this.#readClock(), used: { ...used, cores } });
    this.#scheduleEnd(attempt);
    this.#noteChange();
  }

  #advance(attempt: Attempt): void {
    const nowMs = this.#readClock();
    attempt.progressMs += (nowMs - attempt.progressAtMs) * attempt.speed;
    attempt.progressAtMs = nowMs;
  }
}

/** Actual use: the declared size, or `actualCores` and `actualMemoryMb` after `growAfterMs`. */
function listUse(
  request: core.workers.StartRequest,
  nowMs: number,
): Attempt['use'] {
  const { size, work } = request;
  const actual = {
    cores: readNumber(work, 'actualCores', size.cores),
    memoryMb: readNumber(work, 'actualMemoryMb', size.memoryMb),
    gpus: size.gpus,
  };
  const growAfterMs = readNumber(work, 'growAfterMs', 0);
  if (growAfterMs <= 0) return [{ atMs: nowMs, used: actual }];
  return [
    { atMs: nowMs, used: size },
    { atMs: nowMs + growAfterMs, used: actual },
  ];
}

function readNumber(
  work: core.workers.StartRequest['work'],
  name: string,
  fallback: number,
): number {
  const value = work[name];
  return typeof value === 'number' ? value : fallback;
}

function createBoot(): string {
  return crypto.randomBytes(6).toString('hex');
}

function createClockOffset(): number {
  return crypto.randomInt(1, 1_000_000_000);
}
