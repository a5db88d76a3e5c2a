/** The log of a process: one line of key=value pairs per event on standard output. */
import * as consola from 'consola/basic';
import type * as core from '@flamingoward/core';
import type * as types from './types.js';

/** How to create a logger. */
export interface LoggerOptions {
  readonly level: types.LogLevel;
  readonly timers: core.TimerService;
  readonly process: core.ids.ProcessName;
  /** Values that are masked wherever they appear, such as the operators' key. */
  readonly secrets: readonly string[];
  /** Receives each line without its line break, and its event. */
  readonly writeLine: (line: string, event: string) => void;
}

/** Names of fields whose values are never printed. */
const secretName = /(key|secret|token|password|authorization|cookie)$/i;
const MASK = '***';
/** Longer values are cut, so that a caller can't fill the log with one line. */
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
  const instance = consola.createConsola({
    level: levels[options.level],
    // Repeated events are separate events; consola would merge them.
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
    if (instance.level < levels[level]) return;
    const time = new Date(options.timers.readDate()).toISOString();
    const head = { time, level, process: options.process, event };
    const body = Object.entries(fields).map(([name, value]) =>
      formatPair(name, secretName.test(name) ? MASK : value),
    );
    const first = Object.entries(head).map(([name, value]) =>
      formatPair(name, value),
    );
    const line = maskSecrets([...first, ...body].join(''), secrets).trim();
    instance[level](line, event);
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
  const cut =
    text.length > MAX_VALUE_LENGTH
      ? `${text.slice(0, MAX_VALUE_LENGTH)}…`
      : text;
  // Quoting keeps one event on one line and values apart.
  return /^[\w.:/@+*-]+$/.test(cut) ? cut : JSON.stringify(cut);
}
