/** Counters, gauges and duration histograms of a process, rendered in the Prometheus text format. */
import * as module from 'node:module';
import type * as int32 from 'hdr-histogram-js/dist/Int32Histogram.js';
import type * as types from './types.js';

type Labels = Readonly<Record<string, string>>;

// Only this file is loaded, because the package's main module also loads WebAssembly and
// codecs, which adds 16 MB of resident memory. It is loaded with `require`, because ES module
// loaders differ in how they expose the default export of a CommonJS file.
const requireModule = module.createRequire(import.meta.url);
const { default: Int32Histogram } = requireModule(
  'hdr-histogram-js/dist/Int32Histogram.js',
) as typeof int32.default;

/** Largest value of a new histogram, in units; the histogram resizes for larger values. */
const INITIAL_MAX_UNITS = 1_000;
/** Precision of recorded values, in decimal digits. */
const SIGNIFICANT_DIGITS = 2;
/** Histograms record integers, in units of 0.01 ms. */
const UNITS_PER_MS = 100;
/** Longer durations than one day are recorded as one day. */
const MAX_UNITS = 24 * 3_600_000 * UNITS_PER_MS;
const quantiles = [0.5, 0.9, 0.99, 0.999];
/** Largest number of label sets per metric, to bound the memory; all further ones share the overflow series. */
const MAX_SERIES_PER_METRIC = 500;
const OVERFLOW_LABELS: Labels = { overflow: 'true' };

interface Series<Value> {
  readonly labels: string;
  value: Value;
}

interface DurationSummary {
  readonly histogram: InstanceType<typeof Int32Histogram>;
  sumMs: number;
}

interface Metric<Value> {
  readonly name: string;
  readonly series: Map<string, Series<Value>>;
  /** The same by unformatted labels: formatting takes most of the time of an update. */
  readonly seriesByLabels: Map<string, Series<Value>>;
}

interface MetricTable<Value> {
  readonly byName: Map<string, Metric<Value>>;
  readonly byRawName: Map<string, Metric<Value>>;
}

function createTable<Value>(): MetricTable<Value> {
  return { byName: new Map(), byRawName: new Map() };
}

/** Creates the metrics of a process. */
export function createMetrics(): types.Metrics {
  const counters = createTable<number>();
  const gauges = createTable<number>();
  const durations = createTable<DurationSummary>();

  function record(name: string, labels: Labels, valueMs: number): void {
    const summary = ensureSeries(
      durations,
      name,
      labels,
      createDurationSummary,
    ).value;
    const units = Math.round(Math.max(0, valueMs) * UNITS_PER_MS);
    summary.histogram.recordValue(Math.min(MAX_UNITS, units));
    summary.sumMs += valueMs;
  }

  function render(): string {
    const lines: string[] = [];
    for (const metric of sortMetrics(counters))
      lines.push(...renderValues(metric, 'counter'));
    for (const metric of sortMetrics(gauges))
      lines.push(...renderValues(metric, 'gauge'));
    for (const metric of sortMetrics(durations))
      lines.push(...renderDurations(metric));
    return `${lines.join('\n')}\n`;
  }

  return {
    count(name, labels, by = 1) {
      ensureSeries(counters, name, labels, () => 0).value += by;
    },
    record,
    set(name, labels, value) {
      ensureSeries(gauges, name, labels, () => 0).value = value;
    },
    render,
  };
}

function createDurationSummary(): DurationSummary {
  const histogram = new Int32Histogram(
    1,
    INITIAL_MAX_UNITS,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return { histogram, sumMs: 0 };
}

function ensureSeries<Value>(
  table: MetricTable<Value>,
  rawName: string,
  labels: Labels,
  create: () => Value,
): Series<Value> {
  const metric = ensureMetric(table, rawName);
  const labelsKey = formatLabelsKey(labels);
  const cached = metric.seriesByLabels.get(labelsKey);
  if (cached !== undefined) return cached;
  const labelText = formatLabels(labels);
  const known = metric.series.get(labelText);
  if (
    known === undefined &&
    metric.series.size >= MAX_SERIES_PER_METRIC &&
    labels !== OVERFLOW_LABELS
  )
    return ensureSeries(table, rawName, OVERFLOW_LABELS, create);
  const series = known ?? { labels: labelText, value: create() };
  metric.series.set(labelText, series);
  if (metric.seriesByLabels.size <= MAX_SERIES_PER_METRIC)
    metric.seriesByLabels.set(labelsKey, series);
  return series;
}

function ensureMetric<Value>(
  table: MetricTable<Value>,
  rawName: string,
): Metric<Value> {
  const cached = table.byRawName.get(rawName);
  if (cached !== undefined) return cached;
  const name = formatName(rawName);
  const metric: Metric<Value> = table.byName.get(name) ?? {
    name,
    series: new Map(),
    seriesByLabels: new Map(),
  };
  table.byName.set(name, metric);
  table.byRawName.set(rawName, metric);
  return metric;
}

function formatLabelsKey(labels: Labels): string {
  let text = '';
  for (const name in labels) text += `${name}\0${labels[name] ?? ''}\0`;
  return text;
}

function formatName(name: string): string {
  const cleaned = name.replace(/[^a-zA-Z0-9_]/g, '_');
  return cleaned.startsWith('flamingoward_')
    ? cleaned
    : `flamingoward_${cleaned}`;
}

function formatLabels(labels: Labels): string {
  return Object.keys(labels)
    .sort()
    .map((name) => {
      const label = name.replace(/[^a-zA-Z0-9_]/g, '_');
      return `${label}="${encodeLabelValue(labels[name] ?? '')}"`;
    })
    .join(',');
}

function encodeLabelValue(text: string): string {
  return text
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

function sortMetrics<Value>(
  table: MetricTable<Value>,
): readonly Metric<Value>[] {
  return [...table.byName.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function renderValues(
  metric: Metric<number>,
  type: 'counter' | 'gauge',
): readonly string[] {
  const lines = [`# TYPE ${metric.name} ${type}`];
  for (const { labels, value } of metric.series.values())
    lines.push(renderLine(metric.name, labels, value));
  return lines;
}

function renderDurations(metric: Metric<DurationSummary>): readonly string[] {
  const name = metric.name.endsWith('_ms') ? metric.name : `${metric.name}_ms`;
  const lines = [`# TYPE ${name} summary`];
  for (const { labels, value } of metric.series.values()) {
    for (const quantile of quantiles) {
      const units = value.histogram.getValueAtPercentile(quantile * 100);
      const quantileLabel = `quantile="${quantile}"`;
      const allLabels =
        labels === '' ? quantileLabel : `${labels},${quantileLabel}`;
      lines.push(renderLine(name, allLabels, units / UNITS_PER_MS));
    }
    lines.push(renderLine(`${name}_sum`, labels, value.sumMs));
    lines.push(renderLine(`${name}_count`, labels, value.histogram.totalCount));
  }
  return lines;
}

function renderLine(name: string, labels: string, value: number): string {
  return labels === '' ? `${name} ${value}` : `${name}{${labels}} ${value}`;
}
