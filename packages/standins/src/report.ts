/**
 * Builds and prints the report of a replay: waiting times, answers, final states of jobs,
 * packing, and checks that nothing ran twice, was lost, or exceeded a limit.
 */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import type * as core from '@flamingoward/core';
import type * as platforms from './platform.js';
import * as replays from './replay.js';

/** Waiting times of one class, in ms. */
export interface WaitRow {
  readonly label: string;
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Mean share of resources in use in one pool of workers, 0 to 1. */
export interface PackingRow {
  readonly pool: string;
  readonly samples: number;
  readonly cores: number;
  readonly memory: number;
  readonly gpus: number;
}

/** Result of one check. */
export interface Check {
  readonly name: string;
  readonly passed: boolean;
  readonly details: string;
}

/** Waiting times of the requests that arrived in one second of the trace, in ms. */
export interface PerSecondRow {
  readonly second: number;
  readonly requests: number;
  /** Requests that needed more than one try. */
  readonly retried: number;
  readonly p50: number;
  readonly p99: number;
}

/** Contents of the report. */
export interface Report {
  readonly waits: readonly WaitRow[];
  readonly requestsBySecond: readonly PerSecondRow[];
  /** The same for tasks, by the second of their job's submission. */
  readonly tasksBySecond: readonly PerSecondRow[];
  readonly answers: Readonly<Record<string, number>>;
  readonly jobs: Readonly<Record<string, number>>;
  readonly packing: readonly PackingRow[];
  readonly checks: readonly Check[];
  readonly log: platforms.PlatformAudit['log'] | undefined;
}

/** Builds the report; without an audit it contains only what the callers saw. */
export function buildReport(
  result: replays.ReplayResult,
  audit: platforms.PlatformAudit | undefined,
): Report {
  return {
    waits: [...measureRequests(result), ...measureTasks(result, audit)],
    requestsBySecond: measureRequestSeconds(result),
    tasksBySecond: measureTaskSeconds(result, audit),
    answers: countBy(
      result.requests.map(
        ({ line, result: each }) => `${line.label} ${each.answer}`,
      ),
    ),
    jobs: countBy(
      result.jobs.map(
        ({ line, result: each }) =>
          `${line.label} ${each.answer === 'accepted' ? each.state : each.answer}`,
      ),
    ),
    packing: audit === undefined ? [] : measurePacking(audit.fleet.samples),
    checks: [
      ...checkCallers(result),
      ...(audit === undefined ? [] : checkPlatform(audit, result)),
    ],
    log: audit?.log,
  };
}

/** Returns whether every check passed. */
export function hasPassed(report: Report): boolean {
  return report.checks.every((check) => check.passed);
}

/** Renders the report as text. */
export function renderReport(report: Report): string {
  const lines = [
    'waiting time in ms      count     p50     p90     p99     max',
    ...report.waits.map(
      (row) =>
        `  ${row.label.padEnd(20)}${[
          row.count,
          row.p50,
          row.p90,
          row.p99,
          row.max,
        ]
          .map((value) => String(value).padStart(7))
          .join(' ')}`,
    ),
    'requests by second of arrival: requests, retried, wait p50 and p99 in ms',
    ...renderSeconds(report.requestsBySecond),
    'tasks by second of submission: tasks, retried, wait p50 and p99 in ms',
    ...renderSeconds(report.tasksBySecond),
    'answers',
    ...renderCounts(report.answers),
    'jobs',
    ...renderCounts(report.jobs),
    'packing (mean share in use)  cores  memory    gpus',
    ...report.packing.map(
      (row) =>
        `  ${row.pool.padEnd(24)}${[row.cores, row.memory, row.gpus]
          .map((share) => `${(100 * share).toFixed(1)}%`.padStart(7))
          .join(' ')}`,
    ),
  ];
  if (report.log !== undefined)
    lines.push(
      `log: appends=${report.log.appends} records=${report.log.records} reads=${report.log.reads} bytes_in=${report.log.bytesIn}`,
    );
  lines.push(
    'checks',
    ...report.checks.map(
      (check) =>
        `  ${check.passed ? 'pass' : 'FAIL'} ${check.name}: ${check.details}`,
    ),
  );
  return `${lines.join('\n')}\n`;
}

function renderSeconds(rows: readonly PerSecondRow[]): string[] {
  return rows.map(
    (row) =>
      `  ${[row.second, row.requests, row.retried, row.p50, row.p99]
        .map((value) => String(value).padStart(6))
        .join(' ')}`,
  );
}

function renderCounts(counts: Readonly<Record<string, number>>): string[] {
  return Object.entries(counts)
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([name, count]) => `  ${name.padEnd(32)}${String(count).padStart(7)}`);
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

/** Waiting time of a request: its total time minus the service time at the backend server. */
function measureRequests(result: replays.ReplayResult): WaitRow[] {
  const waits = new Map<string, number[]>();
  for (const { line, result: each } of result.requests)
    if (each.answer === 'done')
      addWait(waits, line.label, each.totalMs - line.workMs);
  return formatWaits(waits);
}

interface Wait {
  readonly atMs: number;
  readonly waitMs: number;
  readonly retried: boolean;
}

function measureRequestSeconds(result: replays.ReplayResult): PerSecondRow[] {
  return measureSeconds(
    result.requests.flatMap(({ line, result: each }) =>
      each.answer === 'done'
        ? {
            atMs: line.atMs,
            waitMs: each.totalMs - line.workMs,
            retried: each.tries > 1,
          }
        : [],
    ),
  );
}

function measureTaskSeconds(
  result: replays.ReplayResult,
  audit: platforms.PlatformAudit | undefined,
): PerSecondRow[] {
  return measureSeconds(
    listTaskWaits(result, audit).map(({ line, waitMs }) => ({
      atMs: line.atMs,
      waitMs,
      retried: false,
    })),
  );
}

/** Groups waits by second, which shows delays around an event such as the kill of a daemon. */
function measureSeconds(waits: readonly Wait[]): PerSecondRow[] {
  const seconds = new Map<number, Wait[]>();
  for (const wait of waits) {
    const second = Math.floor(wait.atMs / 1_000);
    const inSecond = seconds.get(second);
    if (inSecond === undefined) seconds.set(second, [wait]);
    else inSecond.push(wait);
  }
  return [...seconds]
    .sort(([a], [b]) => a - b)
    .map(([second, inSecond]) => {
      const histogram = buildHistogram(
        inSecond.map((wait) => Math.max(0, wait.waitMs)),
      );
      return {
        second,
        requests: inSecond.length,
        retried: inSecond.filter((wait) => wait.retried).length,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
      };
    });
}

function buildHistogram(values: readonly number[]): hdr.Histogram {
  const histogram = hdr.build({ useWebAssembly: false });
  for (const value of values) histogram.recordValue(Math.round(value));
  return histogram;
}

function measureTasks(
  result: replays.ReplayResult,
  audit: platforms.PlatformAudit | undefined,
): WaitRow[] {
  const waits = new Map<string, number[]>();
  for (const { line, waitMs } of listTaskWaits(result, audit))
    addWait(waits, `${line.label} tasks`, waitMs);
  return formatWaits(waits);
}

/** Waiting time of each task: from the acceptance of its job to its first start. */
function listTaskWaits(
  result: replays.ReplayResult,
  audit: platforms.PlatformAudit | undefined,
): readonly {
  readonly line: replays.ReplayResult['jobs'][number]['line'];
  readonly waitMs: number;
}[] {
  const firstStart = new Map<string, Map<number, number>>();
  for (const start of audit?.fleet.starts ?? []) {
    const tasks = firstStart.get(start.jobId) ?? new Map<number, number>();
    firstStart.set(start.jobId, tasks);
    const earliestMs = tasks.get(start.index) ?? Infinity;
    tasks.set(start.index, Math.min(earliestMs, start.startedMs));
  }
  return result.jobs.flatMap(({ line, result: each }) => {
    if (each.answer !== 'accepted') return [];
    const starts = firstStart.get(each.id)?.values() ?? [];
    return [...starts].map((startedMs) => ({
      line,
      waitMs: startedMs - each.acceptedMs,
    }));
  });
}

function addWait(
  waits: Map<string, number[]>,
  label: string,
  waitMs: number,
): void {
  const values = waits.get(label);
  // A task may start before the caller has received the acceptance of its job.
  const value = Math.max(0, waitMs);
  if (values === undefined) waits.set(label, [value]);
  else values.push(value);
}

function formatWaits(waits: ReadonlyMap<string, readonly number[]>): WaitRow[] {
  return [...waits].map(([label, values]) => {
    const histogram = buildHistogram(values);
    return {
      label,
      count: histogram.totalCount,
      p50: histogram.getValueAtPercentile(50),
      p90: histogram.getValueAtPercentile(90),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
    };
  });
}

/** Computes the mean share in use over the samples, which are equally spaced in time. */
function measurePacking(
  samples: platforms.PlatformAudit['fleet']['samples'],
): PackingRow[] {
  const pools = new Set(samples.map((sample) => sample.pool));
  return [...pools].map((pool) => {
    const ofPool = samples.filter((sample) => sample.pool === pool);
    const measureShare = (name: core.resources.ResourceName) => {
      const size = ofPool.reduce((sum, each) => sum + each.size[name], 0);
      const used = ofPool.reduce((sum, each) => sum + each.used[name], 0);
      return size === 0 ? 0 : used / size;
    };
    return {
      pool,
      samples: ofPool.length,
      cores: measureShare('cores'),
      memory: measureShare('memoryMb'),
      gpus: measureShare('gpus'),
    };
  });
}

function checkCallers(result: replays.ReplayResult): Check[] {
  const unanswered = result.requests.filter(
    (each) => each.result.answer === 'none',
  );
  const mismatched = result.requests.filter(
    ({ result: each }) => each.answer === 'done' && !each.matches,
  );
  const unfinished = result.jobs.filter(
    ({ result: each }) =>
      each.answer === 'none' ||
      (each.answer === 'accepted' && each.state === 'accepted'),
  );
  return [
    createCheck(
      'every request has an answer',
      unanswered.map(
        ({ line, result: each }) =>
          `${line.id} (${each.answer === 'none' ? each.reason : ''})`,
      ),
    ),
    createCheck(
      'every answer is complete and belongs to its request',
      mismatched.map(({ line }) => line.id),
    ),
    createCheck(
      'every job has ended or was refused',
      unfinished.map(({ line }) => line.id),
    ),
  ];
}

function checkPlatform(
  audit: platforms.PlatformAudit,
  result: replays.ReplayResult,
): Check[] {
  const executions = new Map<string, number>();
  for (const backend of audit.backends)
    for (const [token, count] of Object.entries(backend.executions))
      executions.set(token, (executions.get(token) ?? 0) + count);
  const keyedRequests = result.requests.filter(
    ({ line }) => line.key !== undefined,
  );
  const keyedResults = keyedRequests.map(({ line, result: each }) => ({
    id: line.id,
    // A try whose connection broke may have run, so the refusal of a later try proves nothing.
    notRun: each.answer === 'not-run' && each.brokenConnections === 0,
    executions: executions.get(replays.formatToken(result.run, line.id)) ?? 0,
  }));
  return [
    createCheck('no worker is over its size', audit.fleet.overSize),
    createCheck('no task runs in two places', audit.fleet.doubledTasks),
    createCheck(
      'each keyed request runs at most once',
      keyedResults.filter((each) => each.executions > 1).map((each) => each.id),
    ),
    createCheck(
      'a request that is not run never ran',
      keyedResults
        .filter((each) => each.notRun && each.executions > 0)
        .map((each) => each.id),
    ),
    createCheck(
      'no backend server has more busy slots than it has slots',
      audit.backends
        .filter((each) => each.maxBusy > each.slots)
        .map((each) => `${each.id} had ${each.maxBusy} of ${each.slots}`),
    ),
    createCheck(
      'no backend server has more connections than it accepts',
      audit.backends
        .filter((each) => each.maxConnections > each.connectionLimit)
        .map(
          (each) =>
            `${each.id} had ${each.maxConnections} of ${each.connectionLimit}`,
        ),
    ),
  ];
}

function createCheck(name: string, violations: readonly string[]): Check {
  const examples = violations.slice(0, 5).join(', ');
  return {
    name,
    passed: violations.length === 0,
    details:
      violations.length === 0 ? 'ok' : `${violations.length}: ${examples}`,
  };
}

/** Fetches the lines of a daemon's metrics about its own cost: processor, memory and bytes. */
export async function fetchCost(address: string, key: string): Promise<string> {
  try {
    const answer = await undici.request(`http://${address}/metrics`, {
      headers: { authorization: `Bearer ${key}` },
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200)
      return `cost of ${address}: status ${answer.statusCode}\n`;
    const lines = text
      .split('\n')
      .filter((line) => /^[^#]*(cpu|resident|rss|bytes)/.test(line));
    return `cost of ${address}\n${lines.map((line) => `  ${line}\n`).join('')}`;
  } catch (error) {
    return `cost of ${address}: ${String(error)}\n`;
  }
}
