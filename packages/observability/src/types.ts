/** Interfaces through which the modules of a process write log lines and record metrics. */

/** Level of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Fields of a log line, printed as key=value; undefined ones are left out. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line of key=value pairs for each event. */
export interface Logger {
  write(level: LogLevel, event: string, fields: LogFields): void;
}

/** Counters, gauges and duration histograms, exported in the Prometheus text format. */
export interface Metrics {
  /** Adds `by` (1 by default) to a counter; each set of labels is a series of its own. */
  count(
    name: string,
    labels: Readonly<Record<string, string>>,
    by?: number,
  ): void;
  /** Records a duration in ms in a histogram. */
  record(
    name: string,
    labels: Readonly<Record<string, string>>,
    valueMs: number,
  ): void;
  /** Sets a gauge. */
  set(
    name: string,
    labels: Readonly<Record<string, string>>,
    value: number,
  ): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): string;
}
