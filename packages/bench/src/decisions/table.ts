/**
 * Replays each trace with each policy, formats the measurements as a text table and
 * compares those of flamingoward with the targets of docs/design.md.
 */
import * as core from '@flamingoward/core';
import * as baseline from './baseline.js';
import type * as meters from './meters.js';
import * as replay from './replay.js';
import type * as trace from './trace.js';
import * as traces from './traces.js';

const MAX_STARTS_PER_TICK = 500;
const options = { maxStartsPerTick: MAX_STARTS_PER_TICK, seed: 1 };

/** The scheduler, the baselines, and the scheduler without admission control. */
export const policies: readonly replay.Policy[] = [
  {
    name: 'flamingoward',
    create: () => core.createScheduler(options),
    hasAdmissionControl: true,
  },
  {
    name: 'first fit',
    create: () =>
      baseline.createBaseline(baseline.firstFit, MAX_STARTS_PER_TICK),
    hasAdmissionControl: false,
  },
  {
    name: 'priority best fit',
    create: () =>
      baseline.createBaseline(baseline.priorityBestFit, MAX_STARTS_PER_TICK),
    hasAdmissionControl: false,
  },
  {
    name: 'no admission',
    create: () => core.createScheduler(options),
    hasAdmissionControl: false,
  },
];

/** Returns a percentile by nearest rank, or undefined for an empty list. */
export function selectPercentile(
  values: readonly number[],
  percent: number,
): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil((percent / 100) * sorted.length) - 1;
  return sorted[Math.max(0, rank)];
}

/** Measurements of one trace with one policy. */
export interface Row {
  readonly trace: string;
  readonly policy: string;
  readonly urgentP50Ms: number | undefined;
  readonly urgentP999Ms: number | undefined;
  readonly gangP50Ms: number | undefined;
  readonly gangMaxMs: number | undefined;
  /** Use of the scarcest resource as a share of its upper bound. */
  readonly packingShare: number | undefined;
  /** Lowest core time of any class but the flooding one, as a share of the smaller of its demand and its floor. */
  readonly floorShare: number | undefined;
  readonly refused: number;
  readonly refusedFlood: number;
  readonly preempted: number;
  readonly failedRuns: number;
  readonly done: number;
  readonly failed: number;
  readonly limitViolations: number;
}

function computePackingShare(result: meters.Meters): number {
  let scarcest: core.resources.ResourceName = 'cores';
  let highestShare = 0;
  for (const name of core.resources.resourceNames) {
    const share = result.demandMs[name] / Math.max(1, result.capacity[name]);
    if (share <= highestShare) continue;
    highestShare = share;
    scarcest = name;
  }
  const used = core.ids.urgencies.reduce(
    (sum, urgency) => sum + result.usedMs[urgency][scarcest],
    0,
  );
  return used / result.boundMs[scarcest];
}

function computeFloorShare(
  source: trace.Trace,
  result: meters.Meters,
  policy: replay.Policy,
): number {
  const withoutFlood = new replay.Replay(source, policy, false).run();
  const spanMs = source.window.toMs - source.window.fromMs;
  const floodUrgency = source.jobs.find((job) => job.flood === true)?.urgency;
  let lowestShare = 1;
  for (const urgency of core.ids.urgencies) {
    if (urgency === floodUrgency) continue;
    const entry = source.classes.find((other) => other.urgency === urgency);
    const floorMs = (entry?.floor ?? 0) * withoutFlood.capacity.cores * spanMs;
    const demandMs = withoutFlood.usedMs[urgency].cores;
    const guaranteedMs = Math.min(floorMs, demandMs);
    if (guaranteedMs > 0)
      lowestShare = Math.min(
        lowestShare,
        result.usedMs[urgency].cores / guaranteedMs,
      );
  }
  return lowestShare;
}

function measureRow(source: trace.Trace, policy: replay.Policy): Row {
  const result = new replay.Replay(source, policy, true).run();
  const { measures } = source;
  return {
    trace: source.name,
    policy: policy.name,
    urgentP50Ms: selectPercentile(result.urgentWaitsMs, 50),
    urgentP999Ms: selectPercentile(result.urgentWaitsMs, 99.9),
    gangP50Ms: selectPercentile(result.gangWaitsMs, 50),
    gangMaxMs: selectPercentile(result.gangWaitsMs, 100),
    packingShare: measures.includes('packing')
      ? computePackingShare(result)
      : undefined,
    floorShare: measures.includes('floors')
      ? computeFloorShare(source, result, policy)
      : undefined,
    refused: result.refused,
    refusedFlood: result.refusedFlood,
    preempted: result.preemptions,
    failedRuns: result.failedRuns,
    done: result.jobsDone,
    failed: result.jobsFailed,
    limitViolations: result.limitViolations,
  };
}

/** Measures all policies with each trace whose name contains `nameFilter`; an empty filter selects all. */
export function measureRows(nameFilter: string): readonly Row[] {
  return traces
    .buildTraces()
    .filter((source) => source.name.includes(nameFilter))
    .flatMap((source) => policies.map((policy) => measureRow(source, policy)));
}

function formatMs(value: number | undefined): string {
  return value === undefined ? '-' : String(Math.round(value));
}

function formatShare(value: number | undefined): string {
  return value === undefined ? '-' : `${(value * 100).toFixed(1)}%`;
}

const headings = [
  'trace',
  'policy',
  'urgent p50 ms',
  'urgent p99.9 ms',
  'gang p50 ms',
  'gang max ms',
  'packing',
  'kept',
  'refused',
  'of flood',
  'preempted',
  'failed runs',
  'done',
  'failed',
  'exceeded',
];

function formatRow(row: Row): string[] {
  return [
    row.trace,
    row.policy,
    formatMs(row.urgentP50Ms),
    formatMs(row.urgentP999Ms),
    formatMs(row.gangP50Ms),
    formatMs(row.gangMaxMs),
    formatShare(row.packingShare),
    formatShare(row.floorShare),
    ...[
      row.refused,
      row.refusedFlood,
      row.preempted,
      row.failedRuns,
      row.done,
      row.failed,
      row.limitViolations,
    ].map(String),
  ];
}

/** Formats the rows as a text table. */
export function formatTable(rows: readonly Row[]): string {
  const cells = [headings, ...rows.map(formatRow)];
  const widths = headings.map((_, at) =>
    Math.max(...cells.map((line) => line[at]?.length ?? 0)),
  );
  const lines = cells.map(
    (line) =>
      `| ${line.map((cell, at) => cell.padEnd(widths[at] ?? 0)).join(' | ')} |`,
  );
  const rule = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [lines[0], rule, ...lines.slice(1)].join('\n');
}

/** Name of the trace in which urgent jobs cause the overload. */
const OVERLOAD_TRACE = 'flood urgent';
const URGENT_TARGET_MS = 1_600;
const PACKING_TARGET = 0.95;
const FLOOR_SHARE_TARGET = 0.9;

function formatTarget(name: string, isMet: boolean): string {
  return `${isMet ? 'met    ' : 'not met'}  ${name}`;
}

/** Lists the targets of section 14 of docs/design.md, each with met, not met or n/a. */
export function formatTargets(rows: readonly Row[]): string {
  const ownRows = rows.filter((row) => row.policy === 'flamingoward');
  const lines: string[] = [];
  for (const row of ownRows) {
    if (row.trace === OVERLOAD_TRACE)
      lines.push(
        `n/a      ${row.trace}: urgent demand is above the fleet, so no start time is promised`,
      );
    else if (row.urgentP999Ms !== undefined)
      lines.push(
        formatTarget(
          `${row.trace}: urgent start p99.9 at most ${URGENT_TARGET_MS} ms`,
          row.urgentP999Ms <= URGENT_TARGET_MS,
        ),
      );
    if (row.packingShare !== undefined) {
      const baselineRows = rows.filter(
        ({ trace: name, policy }) =>
          name === row.trace &&
          policy !== 'flamingoward' &&
          policy !== 'no admission',
      );
      const bestBaseline = Math.max(
        ...baselineRows.map(({ packingShare: packing }) => packing ?? 0),
      );
      const name = `${row.trace}: packing at least 95% of the bound and above the baselines`;
      lines.push(
        formatTarget(
          name,
          row.packingShare >= PACKING_TARGET && row.packingShare > bestBaseline,
        ),
      );
    }
    if (row.floorShare !== undefined)
      lines.push(
        formatTarget(
          `${row.trace}: each class keeps at least 90% of the smaller of demand and floor`,
          row.floorShare >= FLOOR_SHARE_TARGET,
        ),
      );
    lines.push(
      formatTarget(
        `${row.trace}: limits never exceeded`,
        row.limitViolations === 0,
      ),
    );
  }
  return lines.join('\n');
}
