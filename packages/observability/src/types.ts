/** What the parts of a process use to log and to measure. */

/** Level of a log line. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Fields of a log line; printed as key=value. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line of key=value pairs for each event. */
export interface Logger {
  write(level: LogLevel, event: string, fields: LogFields): void;
}

/** Counters and histograms; the metrics page lists them in the text format of scrapers. */
export interface Metrics {
  /** Adds to a counter; the labels are part of its identity. */
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
  /** Renders the page for scrapers. */
  render(): string;
}
