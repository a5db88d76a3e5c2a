/**
 * Learned run times: the time that a task of a step takes on a VM of usual speed. An
 * estimate combines three sources in proportion to their measured accuracy: the declared
 * estimate, earlier steps of the same queue and image, and the runs of the step itself,
 * including those that are still running. All calculations use logarithms of times, since
 * errors are factors, and medians, since a few tasks take several times as long as the
 * others.
 */
import * as distribution from './runTimeDistribution.js';
import * as keyed from './runTimeMoments.js';
import type * as tables from './tables.js';
import type * as types from './types.js';

/** Spread of declared estimates around true times before any is measured, as a standard deviation of logarithms. */
const DECLARED_SPREAD = 0.3;
/** Spread of the ratio of actual to declared times between the steps of one job; assumed, as errors of one caller are alike. */
const JOB_RATIO_SPREAD = 0.3;
/** Spread between the tasks of a step before it is measured, and the number of tasks that this counts as. */
const TASK_SPREAD = 0.25;
const TASK_SPREAD_WEIGHT = 20;
/** Limits on the measured spread between the tasks of a step. */
const MIN_TASK_SPREAD = 0.08;
const MAX_TASK_SPREAD = 0.8;
/** A task that takes this many times the median of its step is a straggler. */
const STRAGGLER_FACTOR = 3;
/** Share of stragglers before it is measured, and the number of tasks that this counts as. */
const STRAGGLER_SHARE = 0.01;
const STRAGGLER_WEIGHT = 50;
/** Tasks that the spread and the share of stragglers of a queue remember. */
const MAX_QUEUE_TASKS = 1_000;
/** Number of tasks of one step that are samples; the error of a median of 32 is 6% at the usual spread. */
const MAX_STEP_SAMPLES = 32;
/** Siblings from which on deviations from their median are measured. */
const MIN_SIBLINGS = 3;
/** With fewer samples, a step counts as at most this many standard deviations from its prior: a sample may be a straggler. */
const MAX_DEVIATIONS = 2.5;
/** The same for what the keys learn: 1.5 leaves some of the true spread out, but 2.5 lets stragglers look like wrong estimates. */
const MAX_KEY_DEVIATIONS = 1.5;
/** Progress from which on the total time of a run is projected, in percent, and the step at which the projection is renewed. */
const MIN_PERCENT = 20;
const PERCENT_STEP = 20;
/** Progress up to which a run's own projection tells nothing of its remaining time, in percent. */
const UNTRUSTED_PERCENT = 10;
/** Run time below which a projection is too inaccurate, in ms: reports come twice a second. */
const MIN_PROJECTED_MS = 400;
/** Weight of an unfinished run relative to a finished one. */
const RUNNING_WEIGHT = 0.5;
/** A run without progress becomes a censored sample again when its age has grown by this factor. */
const CENSORED_AGE_FACTOR = 1.25;
/** Time for which the prior of a step is kept, in ms, so that its objective doesn't change in every round. */
const PRIOR_KEPT_MS = 1_000;
/** Relative change of an estimate below which the previous one is kept. */
const MIN_CHANGE = 0.05;
/** Deviations of tasks from the median of their step, by queue. */
interface Deviations {
  tasks: number;
  squares: number;
  stragglers: number;
}

/** A sample of one task of a step. */
interface Sample {
  /** Logarithm of the time on a VM of usual speed, in ms. */
  readonly log: number;
  readonly weight: number;
  /** Progress at which it was projected, in percent; 100 for a finished run. */
  readonly percent: number;
  readonly ranMs: number;
}

/** What is known of the run times of one step. */
export interface StepTimes {
  /** Latest sample of each task, by index. */
  readonly samples: Map<number, Sample>;
  prior: keyed.Belief;
  priorAtMs: number;
  belief: keyed.Belief;
  /** Estimate in use, in ms; follows `belief` when that differs enough. */
  medianMs: number;
  /** Largest number of samples that the keys have counted. */
  counted: number;
}

/** Learned run times of all queues. */
export interface RunTimes {
  readonly source: RunTimeSource;
  readonly keys: Map<string, keyed.Moments>;
  readonly queues: Map<types.QueueName, Deviations>;
  samples: number;
  /** Sums of absolute logarithms of the ratio of actual to expected times: with declared and with learned estimates. */
  declaredError: number;
  learnedError: number;
}

/** Declared run times are wrong by up to half in either direction; bounds the time of a task that isn't learned. */
export const DECLARED_ERROR_FACTOR = 1.5;

/** Source of the expected run times of tasks. */
export type RunTimeSource =
  /** The estimates that callers declare. */
  | 'declared'
  /** These, corrected by what finished and running tasks show. */
  | 'learned';

/** Creates run times without any samples. */
export function createRunTimes(source: RunTimeSource): RunTimes {
  return {
    source,
    keys: new Map(),
    queues: new Map(),
    samples: 0,
    declaredError: 0,
    learnedError: 0,
  };
}

/** Returns whether the run times of a step are learned: service tasks last, and filler tasks are paced. */
export function isLearned(
  { source }: RunTimes,
  { spec }: tables.StepRow,
): boolean {
  return (
    source === 'learned' && !spec.lasts && !spec.fills && spec.estimateMs > 0
  );
}

/** Estimates the median time of a task of a step on a VM of usual speed, in ms. */
export function estimateStepMs(
  times: RunTimes,
  step: tables.StepRow,
  nowMs: number,
): number {
  if (!isLearned(times, step)) return step.spec.estimateMs;
  return ensureTimes(times, step, nowMs).medianMs;
}

/** Estimates the time that the given share of the tasks of a step take at most, on a VM of usual speed, in ms. */
export function estimateQuantileMs(
  times: RunTimes,
  step: tables.StepRow,
  share: number,
  nowMs: number,
): number {
  const medianMs = estimateStepMs(times, step, nowMs);
  if (!isLearned(times, step)) return medianMs * DECLARED_ERROR_FACTOR;
  const shape = estimateShape(times, step);
  return distribution.computeQuantile(medianMs, share, shape);
}

/**
 * Estimates the remaining time of a run, in ms. Its own progress counts more and more as
 * it goes on; without progress, the expected remaining time grows once the run is so old
 * that it is probably a straggler. `speed` is the speed of its VM relative to the usual.
 */
export function estimateRemainingMs(
  times: RunTimes,
  run: tables.RunRow,
  speed: number,
  nowMs: number,
): number {
  const { step } = run.task;
  const medianMs = estimateStepMs(times, step, nowMs) / speed;
  const leftShare = 1 - run.percent / 100;
  if (run.runningSinceMs === undefined || !isWhole(times, run))
    return leftShare * medianMs;
  const ranMs = Math.max(0, nowMs - run.runningSinceMs);
  const shape = estimateShape(times, step);
  const byAgeMs = distribution.computeRemaining(medianMs, ranMs, shape);
  if (run.percent <= UNTRUSTED_PERCENT || ranMs < MIN_PROJECTED_MS)
    return byAgeMs;
  // The last report is the base of the projection: its percentage doesn't grow between reports.
  const reportedMs = Math.max(1, (run.listedMs ?? nowMs) - run.runningSinceMs);
  const projectedMs = (reportedMs / run.percent) * 100;
  const ownMs = Math.max(0, projectedMs - ranMs);
  const trust = 1 - UNTRUSTED_PERCENT / run.percent;
  return trust * ownMs + (1 - trust) * byAgeMs;
}

/** Learns from the progress of a run. */
export function observeProgress(
  times: RunTimes,
  run: tables.RunRow,
  logSpeed: number,
  nowMs: number,
): void {
  const { step } = run.task;
  if (run.runningSinceMs === undefined || !isSample(times, run)) return;
  const ranMs = nowMs - run.runningSinceMs;
  if (ranMs < MIN_PROJECTED_MS) return;
  const previous = step.times?.samples.get(run.task.index);
  let log: number;
  if (run.percent >= MIN_PERCENT && run.percent < 100) {
    if (run.percent < (previous?.percent ?? 0) + PERCENT_STEP) return;
    log = Math.log((ranMs / run.percent) * 100);
  } else {
    if (run.percent >= 100) return;
    const row = ensureTimes(times, step, nowMs);
    if (ranMs < row.medianMs / Math.exp(logSpeed)) return;
    if (ranMs < (previous?.ranMs ?? 0) * CENSORED_AGE_FACTOR) return;
    // Its time is censored at its age, so the expected time beyond that is added.
    log = Math.log(
      ranMs +
        distribution.computeRemaining(
          row.medianMs,
          ranMs,
          estimateShape(times, step),
        ),
    );
  }
  addSample(
    times,
    step,
    run.task.index,
    {
      log: log + logSpeed,
      weight: RUNNING_WEIGHT,
      percent: run.percent,
      ranMs,
    },
    nowMs,
  );
}

/** A finished run compared with what was expected of it without itself. */
export interface Outcome {
  /** Logarithm of the expected time over the actual one: the speed of the VM, as far as the expectation is right. */
  readonly logSpeed: number;
  readonly variance: number;
  /** Logarithm of the time of the run, in ms. */
  readonly logTime: number;
}

/** Learns from the end of a run; returns the comparison with its expected time, or undefined when the run is no sample. */
export function observeEnd(
  times: RunTimes,
  run: tables.RunRow,
  how: types.RunEnd,
  logSpeed: number,
  nowMs: number,
): Outcome | undefined {
  const { step, index } = run.task;
  if (!isLearned(times, step) || run.runningSinceMs === undefined)
    return undefined;
  const row = ensureTimes(times, step, nowMs);
  if (how !== 'done' || !isSample(times, run)) {
    if (row.samples.delete(index)) updateBelief(times, step, row);
    return undefined;
  }
  const ranMs = Math.max(1, nowMs - run.runningSinceMs);
  const log = Math.log(ranMs) + logSpeed;
  const others = [...row.samples].filter(([task]) => task !== index);
  const expected = computeBelief(
    times,
    step,
    row.prior,
    others.map(([, sample]) => sample),
  );
  countOutcome(times, step, log, expected, others.length);
  addSample(times, step, index, { log, weight: 1, percent: 100, ranMs }, nowMs);
  const { spread } = estimateShape(times, step);
  return {
    logSpeed: expected.log - Math.log(ranMs),
    variance: expected.variance + spread ** 2,
    logTime: Math.log(ranMs),
  };
}

function countOutcome(
  times: RunTimes,
  step: tables.StepRow,
  log: number,
  expected: keyed.Belief,
  siblings: number,
): void {
  const declaredLog = Math.log(step.spec.estimateMs);
  times.samples += 1;
  times.declaredError += Math.abs(log - declaredLog);
  times.learnedError += Math.abs(log - expected.log);
  if (siblings < MIN_SIBLINGS) return;
  const { queue } = step.occurrence.job.job;
  const row = times.queues.get(queue) ?? {
    tasks: 0,
    squares: 0,
    stragglers: 0,
  };
  times.queues.set(queue, row);
  if (row.tasks >= MAX_QUEUE_TASKS) {
    row.tasks /= 2;
    row.squares /= 2;
    row.stragglers /= 2;
  }
  const deviation = log - expected.log;
  row.tasks += 1;
  if (deviation > Math.log(STRAGGLER_FACTOR)) row.stragglers += 1;
  else row.squares += deviation ** 2 / (1 + Math.PI / 2 / siblings);
}

/** Returns whether a run began on this owner's order, from the start of its task, so that its time is known. */
function isWhole(times: RunTimes, run: tables.RunRow): boolean {
  return isLearned(times, run.task.step) && !run.startedEarlier && !run.resumed;
}

/** Returns whether the time of a run tells how long others of its step take. */
function isSample(times: RunTimes, run: tables.RunRow): boolean {
  if (!isWhole(times, run) || (run.pace ?? 100) < 100) return false;
  const { step, index } = run.task;
  const { spec } = step;
  const rack = run.vm.entry?.rack;
  if (spec.dataRack !== undefined && rack !== spec.dataRack) return false;
  // The members of a gang run at one speed and end together.
  if (!spec.gang) return true;
  if (index !== 0) return false;
  return (
    !spec.oneRack ||
    step.tasks.every(
      ({ run: member }) =>
        member === undefined || member.vm.entry?.rack === rack,
    )
  );
}

function ensureTimes(
  times: RunTimes,
  step: tables.StepRow,
  nowMs: number,
): StepTimes {
  const existing = step.times;
  if (existing !== undefined) {
    if (nowMs - existing.priorAtMs < PRIOR_KEPT_MS) return existing;
    existing.prior = estimatePrior(times, step);
    existing.priorAtMs = nowMs;
    updateBelief(times, step, existing);
    return existing;
  }
  const prior = estimatePrior(times, step);
  const row: StepTimes = {
    samples: new Map(),
    prior,
    priorAtMs: nowMs,
    belief: prior,
    medianMs: step.spec.estimateMs,
    counted: 0,
  };
  step.times = row;
  updateBelief(times, step, row);
  return row;
}

function addSample(
  times: RunTimes,
  step: tables.StepRow,
  index: number,
  sample: Sample,
  nowMs: number,
): void {
  const row = ensureTimes(times, step, nowMs);
  if (row.samples.size >= MAX_STEP_SAMPLES && !row.samples.has(index)) return;
  row.samples.set(index, sample);
  updateBelief(times, step, row);
  const tasks = row.samples.size;
  if (tasks <= row.counted) return;
  const weight =
    computeStepWeight(step, tasks) - computeStepWeight(step, row.counted);
  row.counted = tasks;
  const log = computeLimitedMedian(
    row.prior,
    [...row.samples.values()],
    estimateTaskSpread(times, step).spread ** 2 / tasks,
    MAX_KEY_DEVIATIONS,
  );
  const ratio = log - Math.log(step.spec.estimateMs);
  const keys = buildKeys(step);
  if (weight <= 0) return;
  for (const key of keys.times)
    keyed.addMoment(times.keys, key, log, weight, tasks);
  for (const key of keys.ratios)
    keyed.addMoment(times.keys, key, ratio, weight, tasks);
}

/**
 * Returns the weight of a step in its keys by the number of samples of its tasks, below 1
 * so that wide steps don't outvote others. The first few tasks of a wider step don't
 * count, as their median may be a straggler.
 */
function computeStepWeight({ spec }: tables.StepRow, tasks: number): number {
  if (spec.gang || spec.count < MIN_SIBLINGS) return tasks / (tasks + 1);
  if (tasks < MIN_SIBLINGS) return 0;
  return tasks ** 2 / (tasks ** 2 + MIN_SIBLINGS ** 2);
}

function updateBelief(
  times: RunTimes,
  step: tables.StepRow,
  row: StepTimes,
): void {
  row.belief = computeBelief(times, step, row.prior, [...row.samples.values()]);
  const medianMs = Math.exp(row.belief.log);
  if (Math.abs(medianMs / row.medianMs - 1) >= MIN_CHANGE)
    row.medianMs = medianMs;
}

/** Combines the prior of a step with the samples of its tasks. */
function computeBelief(
  times: RunTimes,
  step: tables.StepRow,
  prior: keyed.Belief,
  samples: readonly Sample[],
): keyed.Belief {
  if (samples.length === 0) return prior;
  const { spread } = estimateTaskSpread(times, step);
  const weight = samples.reduce((sum, sample) => sum + sample.weight, 0);
  const variance = Math.max(keyed.MIN_VARIANCE, spread ** 2 / weight);
  const log = computeLimitedMedian(prior, samples, variance, MAX_DEVIATIONS);
  return keyed.mergeBeliefs(prior, { log, variance });
}

/** Computes the median of the samples of a step; a few samples are limited to what is plausible. */
function computeLimitedMedian(
  prior: keyed.Belief,
  samples: readonly Sample[],
  variance: number,
  deviations: number,
): number {
  const log = computeMedian(samples);
  if (samples.length >= MIN_SIBLINGS) return log;
  const limit = deviations * Math.sqrt(prior.variance + variance);
  return Math.min(prior.log + limit, Math.max(prior.log - limit, log));
}

function computeMedian(samples: readonly Sample[]): number {
  const logs = samples.map(({ log }) => log).sort((a, b) => a - b);
  const middle = (logs.length - 1) / 2;
  const low = logs[Math.floor(middle)] ?? 0;
  const high = logs[Math.ceil(middle)] ?? low;
  return (low + high) / 2;
}

/** Estimates the time of a step before any of its tasks has run. */
function estimatePrior(times: RunTimes, step: tables.StepRow): keyed.Belief {
  const keys = buildKeys(step);
  const noise = estimateTaskSpread(times, step).spread ** 2;
  let ratio: keyed.Belief = { log: 0, variance: DECLARED_SPREAD ** 2 };
  for (const key of keys.ratios)
    ratio = keyed.mergeMoments(times.keys.get(key), ratio, noise);
  const jobRatio = measureJobRatio(step);
  if (jobRatio !== undefined) ratio = keyed.mergeBeliefs(ratio, jobRatio);
  const declared = {
    log: Math.log(step.spec.estimateMs) + ratio.log,
    variance: Math.max(keyed.MIN_VARIANCE, ratio.variance),
  };
  let known: keyed.Belief | undefined;
  for (const key of keys.times) {
    const moments = times.keys.get(key);
    if (moments === undefined || moments.weight < 1) continue;
    const own = keyed.measureMoments(moments, noise);
    // With few steps, the variance between them is nearly unknown and taken to be large.
    const base = known ?? { log: own.log, variance: 1 };
    known = keyed.mergeMoments(moments, base, noise);
  }
  return known === undefined ? declared : keyed.mergeBeliefs(declared, known);
}

/** Measures the ratio of actual to declared times of the other steps of a job; undefined before one has run. */
function measureJobRatio(step: tables.StepRow): keyed.Belief | undefined {
  const { occurrence } = step;
  const { occurrences } = occurrence.job;
  const other = occurrences.findLast((row) => row !== occurrence);
  let sum = 0;
  let count = 0;
  for (const row of [...occurrence.steps, ...(other?.steps ?? [])]) {
    const { spec } = row;
    const samples = row.times?.samples.size ?? 0;
    if (row === step || row.times === undefined || spec.estimateMs <= 0)
      continue;
    if (samples < Math.min(MIN_SIBLINGS, spec.gang ? 1 : spec.count)) continue;
    sum += row.times.belief.log - Math.log(spec.estimateMs);
    count += 1;
  }
  if (count === 0) return undefined;
  return { log: sum / count, variance: JOB_RATIO_SPREAD ** 2 };
}

/**
 * Keys of a step, from coarse to fine. Ratios of actual to declared times are kept by
 * workspace, so that a workspace that declares wrong times only corrects its own.
 */
function buildKeys(step: tables.StepRow): {
  readonly times: readonly string[];
  readonly ratios: readonly string[];
} {
  const { queue, workspace } = step.occurrence.job.job;
  const { image } = step.spec;
  const kind = image === undefined ? `step:${step.index}` : `image:${image}`;
  return {
    times: [`t:${queue}`, `t:${queue}|${kind}`],
    ratios:
      workspace === undefined
        ? [`r:${queue}`]
        : [`r:${queue}`, `r:${queue}|${workspace}`],
  };
}

function estimateTaskSpread(
  times: RunTimes,
  step: tables.StepRow,
): distribution.Shape {
  const row = times.queues.get(step.occurrence.job.job.queue);
  const tasks = row?.tasks ?? 0;
  const variance =
    ((row?.squares ?? 0) + TASK_SPREAD ** 2 * TASK_SPREAD_WEIGHT) /
    (tasks + TASK_SPREAD_WEIGHT);
  return {
    spread: Math.min(
      MAX_TASK_SPREAD,
      Math.max(MIN_TASK_SPREAD, Math.sqrt(variance)),
    ),
    stragglers:
      ((row?.stragglers ?? 0) + STRAGGLER_SHARE * STRAGGLER_WEIGHT) /
      (tasks + STRAGGLER_WEIGHT),
  };
}

/** Estimates the shape of the distribution of a task's time, including the uncertainty of the step's median. */
function estimateShape(
  times: RunTimes,
  step: tables.StepRow,
): distribution.Shape {
  const { spread, stragglers } = estimateTaskSpread(times, step);
  const variance = step.times?.belief.variance ?? DECLARED_SPREAD ** 2;
  return { spread: Math.sqrt(spread ** 2 + variance), stragglers };
}
