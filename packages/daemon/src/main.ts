#!/usr/bin/env -S node --max-semi-space-size=4
/**
 * `flamingowardd`: reads the settings file, runs one process, stops it on SIGTERM.
 * Node's default for the space of new objects lets it grow to 48 MB; 4 MB keeps the
 * process about 25 MB smaller at the same processor time.
 */
import * as fs from 'node:fs';
import * as util from 'node:util';
import * as core from '@flamingoward/core';
import * as logger from './observability/logger.js';
import * as processes from './process/process.js';

const USAGE = `usage: flamingowardd FILE          run with the settings in FILE
       flamingowardd --check FILE  check the settings and exit
       flamingowardd --print FILE  print the settings with defaults, keys masked`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Time beyond the stop bound after which the process exits in any case, in ms. */
const STOP_MARGIN_MS = 1_000;

interface Arguments {
  readonly mode: 'run' | 'check' | 'print';
  readonly file: string;
}

function parseArguments(): Arguments | undefined {
  try {
    const { values, positionals } = util.parseArgs({
      allowPositionals: true,
      options: {
        check: { type: 'boolean' },
        print: { type: 'boolean' },
        help: { type: 'boolean', short: 'h' },
      },
    });
    const [file] = positionals;
    if (file === undefined || positionals.length > 1 || values.help === true)
      return undefined;
    const mode = values.check === true ? 'check' : 'run';
    return { mode: values.print === true ? 'print' : mode, file };
  } catch {
    return undefined;
  }
}

function loadSettings(file: string): core.settings.Settings | undefined {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (cause) {
    process.stderr.write(`${file}: ${core.describeError(cause)}\n`);
    return undefined;
  }
  const result = core.parseSettings(text, file);
  if ('settings' in result) return result.settings;
  for (const fault of result.faults)
    process.stderr.write(`${core.describeFault(fault)}\n`);
  return undefined;
}

async function run(settings: core.settings.Settings): Promise<void> {
  const timers = core.createSystemTimers();
  const log = logger.createLogger({
    level: settings.log.level,
    timers,
    process: settings.process.name,
    secrets: [settings.operators.key, settings.links.key],
    writeLine: (line) => process.stdout.write(`${line}\n`),
  });
  let stopping = false;
  const instance = processes.createProcess({
    settings,
    timers,
    log,
    readRandom: Math.random,
    onDrain: () => {
      stop('operator');
    },
  });

  function stop(cause: string): void {
    if (stopping) {
      // The callers in hand see their connections end, which claims nothing.
      log.write('warn', 'process.stop-forced', { cause });
      process.exit(EXIT_FAILED);
    }
    stopping = true;
    log.write('info', 'process.stop', { cause });
    timers.subscribe(
      {
        name: 'process.stop-bound',
        delayMs: settings.process.stopMs + STOP_MARGIN_MS,
        repeat: 'once',
      },
      () => {
        log.write('error', 'process.stop-late', {});
        process.exit(EXIT_FAILED);
      },
    );
    void instance.stop().then(
      () => process.exit(0),
      (cause: unknown) => {
        log.write('error', 'process.stop-failed', {
          cause: core.describeError(cause),
        });
        process.exit(EXIT_FAILED);
      },
    );
  }

  process.on('SIGTERM', () => {
    stop('SIGTERM');
  });
  process.on('SIGINT', () => {
    stop('SIGINT');
  });
  process.on('unhandledRejection', (cause) => {
    log.write('error', 'process.unhandled', {
      cause: core.describeError(cause),
    });
  });
  try {
    await instance.open();
  } catch (cause) {
    const fault = core.readFault(cause);
    log.write('error', 'process.start-failed', {
      step: fault?.step ?? 'process.open',
      peer: fault?.peer ?? 'self',
      cause: core.describeError(cause),
    });
    process.exit(EXIT_FAILED);
  }
}

function start(): void {
  const given = parseArguments();
  if (given === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const settings = loadSettings(given.file);
  if (settings === undefined) {
    process.exitCode = EXIT_FAILED;
    return;
  }
  switch (given.mode) {
    case 'check':
      process.stdout.write(`${given.file}: the settings are correct\n`);
      return;
    case 'print':
      process.stdout.write(core.printSettings(settings));
      return;
    case 'run':
      void run(settings);
      return;
  }
}

start();
