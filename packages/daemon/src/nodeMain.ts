/** Runs one node of a cluster: log lines, signals and exit codes. */
import * as crypto from 'node:crypto';
import * as cluster from '@flamingoward/cluster';
import * as core from '@flamingoward/core';
import * as observability from '@flamingoward/observability';
import * as platform from '@flamingoward/platform';

const STANDARD_OUTPUT = 1;
const EXIT_FAILED = 1;
const INSTANCE_BYTES = 6;

function loadSettings(
  text: string,
  file: string,
): cluster.NodeSettings | undefined {
  const result = cluster.parseNodeSettings(text, file);
  if ('settings' in result) return result.settings;
  for (const fault of result.faults) process.stderr.write(`${fault}\n`);
  return undefined;
}

/** Checks or prints the settings of a node; returns false when they are invalid. */
export function checkNode(
  text: string,
  file: string,
  mode: 'check' | 'print',
): boolean {
  const settings = loadSettings(text, file);
  if (settings === undefined) return false;
  process.stdout.write(
    mode === 'check'
      ? `${file}: the settings are correct\n`
      : `${JSON.stringify(settings, undefined, 2)}\n`,
  );
  return true;
}

/**
 * Starts a node that runs until a signal stops it; returns false when its settings are
 * invalid. A node that can't open its addresses exits, so that it is started again.
 */
export async function runNode(text: string, file: string): Promise<boolean> {
  const settings = loadSettings(text, file);
  if (settings === undefined) return false;
  const timers = core.createSystemTimers();
  const lineWriter = observability.createLineWriter(STANDARD_OUTPUT, timers);
  const log = observability.createLogger({
    level: settings.logLevel,
    timers,
    process: settings.name,
    secrets: [],
    acceptLine: lineWriter.accept,
    writeLine: lineWriter.write,
  });
  const metrics = observability.createMetrics();
  const node = cluster.createClusterNode({
    settings,
    instance: crypto.randomBytes(INSTANCE_BYTES).toString('hex'),
    ports: platform.createPorts(settings, timers),
    timers,
    log,
    metrics: {
      ...metrics,
      render() {
        metrics.set('log_lines_dropped', {}, lineWriter.getDroppedLines());
        return metrics.render();
      },
    },
    getRandom: Math.random,
  });

  function flushAndExit(code: number): void {
    lineWriter.flush();
    process.exit(code);
  }

  function logFailure(event: string, cause: unknown): void {
    log.write('error', event, {
      step: core.getFaultInfo(cause)?.step,
      peer: core.getFaultInfo(cause)?.peer,
      cause: cause instanceof Error ? cause.stack : String(cause),
    });
  }

  let stopping = false;
  function stop(signal: string): void {
    if (stopping) return;
    stopping = true;
    log.write('info', 'node.stop', { signal });
    node.stop().then(
      () => {
        flushAndExit(0);
      },
      (cause: unknown) => {
        logFailure('node.stop-failed', cause);
        flushAndExit(EXIT_FAILED);
      },
    );
  }

  process.on('SIGTERM', () => {
    stop('SIGTERM');
  });
  process.on('SIGINT', () => {
    stop('SIGINT');
  });
  process.on('SIGHUP', () => {
    // Only logged: addresses and timing settings are fixed until the process restarts, and the
    // configuration comes from the store.
    log.write('info', 'node.reload', {
      file,
    });
  });
  process.on('unhandledRejection', (cause) => {
    logFailure('node.unhandled', cause);
  });
  process.on('uncaughtException', (cause) => {
    // What the exception has left half done can't be known, so the process ends.
    logFailure('node.uncaught', cause);
    flushAndExit(EXIT_FAILED);
  });
  try {
    await node.open();
  } catch (cause) {
    // The addresses that are open already would keep a process running that never serves.
    logFailure('node.start-failed', cause);
    flushAndExit(EXIT_FAILED);
  }
  return true;
}
