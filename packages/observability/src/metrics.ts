/** Counters, gauges and histograms, and their page in the Prometheus text format. */
import * as module from 'node:module';
import type * as int32 from 'hdr-histogram-js/dist/Int32Histogram.js';
import type * as types from './types.js';

type Labels = Readonly<Record<string, string>>;

// The package's main module also loads its WebAssembly and codecs, 16 MB resident.
// Loaders disagree on the default export of this CommonJS file, `require` doesn't.
const load = module.createRequire(import.meta.url);
const { default: Int32Histogram } = load(
  'hdr-histogram-js/dist/Int32Histogram.js',
) as typeof int32.default;

/** Largest value of a new histogram; it grows with the values recorded. */
const FIRST_MAX_UNITS = 1_000;
/** Significant decimal digits of a recorded value. */
const DIGITS = 2;
/** Histograms count in units of 0.01 ms. */
const UNITS_PER_MS = 100;
/** Longest duration that a histogram tells apart: one day. */
const MAX_UNITS = 24 * 3_600_000 * UNITS_PER_MS;
const quantiles = [0.5, 0.9, 0.99, 0.999];
/** Series per metric; further label sets are counted together, to bound the memory. */
const MAX_SERIES = 500;
const OVERFLOW: Labels = { overflow: 'true' };

interface Series<Value> {
  readonly labels: string;
  value: Value;
}

interface Timing {
  readonly histogram: InstanceType<typeof Int32Histogram>;
  sumMs: number;
}

interface Metric<Value> {
  readonly name: string;
  readonly series: Map<string, Series<Value>>;
}

type Table<Value> = Map<string, Metric<Value>>;

/** Creates the metrics of a process. */
export function createMetrics(): types.Metrics {
  const counters: Table<number> = new Map();
  const gauges: Table<number> = new Map();
  const timings: Table<Timing> = new Map();

  function record(name: string, labels: Labels, valueMs: number): void {
    const timing = ensureSeries(timings, name, labels, createTiming).value;
    const units = Math.round(Math.max(0, valueMs) * UNITS_PER_MS);
    timing.histogram.recordValue(Math.min(MAX_UNITS, units));
    timing.sumMs += valueMs;
  }

  function render(): string {
    const lines: string[] = [];
    for (const metric of sortMetrics(counters))
      lines.push(...renderPlain(metric, 'counter'));
    for (const metric of sortMetrics(gauges))
      lines.push(...renderPlain(metric, 'gauge'));
    for (const metric of sortMetrics(timings))
      lines.push(...renderTimings(metric));
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

function createTiming(): Timing {
  const histogram = new Int32Histogram(1, FIRST_MAX_UNITS, DIGITS);
  histogram.autoResize = true;
  return { histogram, sumMs: 0 };
}

function ensureSeries<Value>(
  table: Table<Value>,
  rawName: string,
  labels: Labels,
  create: () => Value,
): Series<Value> {
  const name = formatName(rawName);
  const metric: Metric<Value> = table.get(name) ?? {
    name,
    series: new Map<string, Series<Value>>(),
  };
  table.set(name, metric);
  const text = formatLabels(labels);
  const known = metric.series.get(text);
  if (known !== undefined) return known;
  if (metric.series.size >= MAX_SERIES && labels !== OVERFLOW)
    return ensureSeries(table, rawName, OVERFLOW, create);
  const series = { labels: text, value: create() };
  metric.series.set(text, series);
  return series;
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
      return `${label}="${encodeText(labels[name] ?? '')}"`;
    })
    .join(',');
}

function encodeText(text: string): string {
  return text
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

function sortMetrics<Value>(table: Table<Value>): readonly Metric<Value>[] {
  return [...table.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function renderPlain(
  metric: Metric<number>,
  type: 'counter' | 'gauge',
): readonly string[] {
  const lines = [`# TYPE ${metric.name} ${type}`];
  for (const { labels, value } of metric.series.values())
    lines.push(renderLine(metric.name, labels, value));
  return lines;
}

function renderTimings(metric: Metric<Timing>): readonly string[] {
  const name = metric.name.endsWith('_ms') ? metric.name : `${metric.name}_ms`;
  const lines = [`# TYPE ${name} summary`];
  for (const { labels, value } of metric.series.values()) {
    for (const quantile of quantiles) {
      const units = value.histogram.getValueAtPercentile(quantile * 100);
      const own = `quantile="${quantile}"`;
      const all = labels === '' ? own : `${labels},${own}`;
      lines.push(renderLine(name, all, units / UNITS_PER_MS));
    }
    lines.push(renderLine(`${name}_sum`, labels, value.sumMs));
    lines.push(renderLine(`${name}_count`, labels, value.histogram.totalCount));
  }
  return lines;
}

function renderLine(name: string, labels: string, value: number): string {
  return labels === '' ? `${name} ${value}` : `${name}{${labels}} ${value}`;
}
