/** Logger of a process: formats each event as one line of key=value pairs and masks secrets. */
import * as consola from 'consola/basic';
import type * as core from '@flamingoward/core';
import type * as types from './types.js';

/** Options of a logger. */
export interface LoggerOptions {
  readonly level: types.LogLevel;
  readonly timers: core.TimerService;
  readonly process: core.ids.ProcessName;
  /** Values that are masked wherever they appear, such as the operators' key. */
  readonly secrets: readonly string[];
  /** Returns whether a line of an event may be written now; asked before the line is formatted. */
  readonly acceptLine?: (event: string) => boolean;
  /** Receives each line without its line break, and its event. */
  readonly writeLine: (line: string, event: string) => void;
}

/** Matches names of fields whose values are masked. */
const secretFieldName = /(key|secret|token|password|authorization|cookie)$/i;
const MASK = '***';
/** Longer values are truncated, so that input from a caller can't fill the log with one line. */
const MAX_VALUE_LENGTH = 500;

const levels: Readonly<Record<types.LogLevel, number>> = {
  error: consola.LogLevels.error,
  warn: consola.LogLevels.warn,
  info: consola.LogLevels.info,
  debug: consola.LogLevels.debug,
};

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): types.Logger {
  const secrets = options.secrets.filter((secret) => secret !== '');
  const consolaLogger = consola.createConsola({
    level: levels[options.level],
    // By default, consola merges repeated lines; each event must have its own line.
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          options.writeLine(String(entry.args[0]), String(entry.args[1]));
        },
      },
    ],
  });

  function write(
    level: types.LogLevel,
    event: string,
    fields: types.LogFields,
  ): void {
    if (consolaLogger.level < levels[level]) return;
    if (options.acceptLine?.(event) === false) return;
    const time = new Date(options.timers.getDate()).toISOString();
    const commonFields = { time, level, process: options.process, event };
    const eventPairs = Object.entries(fields).map(([name, value]) =>
      formatPair(name, secretFieldName.test(name) ? MASK : value),
    );
    const commonPairs = Object.entries(commonFields).map(([name, value]) =>
      formatPair(name, value),
    );
    const line = maskSecrets(
      [...commonPairs, ...eventPairs].join(''),
      secrets,
    ).trim();
    consolaLogger[level](line, event);
  }

  return { write };
}

function maskSecrets(line: string, secrets: readonly string[]): string {
  return secrets.reduce((text, secret) => text.replaceAll(secret, MASK), line);
}

function formatPair(
  name: string,
  value: string | number | boolean | undefined,
): string {
  if (value === undefined) return '';
  return `${name}=${formatValue(value)} `;
}

function formatValue(value: string | number | boolean): string {
  if (typeof value === 'number')
    return String(Math.round(value * 1_000) / 1_000);
  const text = String(value);
  const truncated =
    text.length > MAX_VALUE_LENGTH
      ? `${text.slice(0, MAX_VALUE_LENGTH)}…`
      : text;
  // Quoting values with spaces or line breaks keeps an event on one line and its pairs separable.
  return /^[\w.:/@+*-]+$/.test(truncated)
    ? truncated
    : JSON.stringify(truncated);
}
