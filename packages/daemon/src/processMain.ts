/** Runs one process of a cell: log lines, signals, the limit of a planned stop, and exit codes. */
import * as core from '@flamingoward/core';
import * as observability from '@flamingoward/observability';
import * as processes from './process/process.js';

const EXIT_FAILED = 1;

/** Time after the limit of a planned stop at which the process exits even if the stop is not complete. */
const STOP_MARGIN_MS = 1_000;

/** Starts a process with valid settings; it runs until a signal or an operator stops it. */
export async function runProcess(
  settings: core.settings.Settings,
): Promise<void> {
  const timers = core.createSystemTimers();
  const log = observability.createLogger({
    level: settings.log.level,
    timers,
    process: settings.process.name,
    secrets: [settings.operators.key, settings.links.key],
    writeLine: (line) => process.stdout.write(`${line}\n`),
  });
  let stopping = false;
  const daemonProcess = processes.createProcess({
    settings,
    timers,
    log,
    getRandom: Math.random,
    onDrain: () => {
      stop('operator');
    },
  });

  function stop(cause: string): void {
    if (stopping) {
      // Callers of requests in flight lose their connections without an answer, so nothing false is claimed.
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
    void daemonProcess.stop().then(
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
  process.on('uncaughtException', (cause) => {
    // What the exception has left half done can't be known, so the process ends.
    log.write('error', 'process.uncaught', {
      cause: cause.stack ?? cause.message,
    });
    process.exit(EXIT_FAILED);
  });
  try {
    await daemonProcess.open();
  } catch (cause) {
    const fault = core.getFaultInfo(cause);
    log.write('error', 'process.start-failed', {
      step: fault?.step ?? 'process.open',
      peer: fault?.peer ?? 'self',
      cause: core.describeError(cause),
    });
    process.exit(EXIT_FAILED);
  }
}
