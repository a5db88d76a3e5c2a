/**
 * Demo: runs both examples end to end. For each it starts a stand-in platform and six
 * daemons, publishes the release, replays the trace, kills and restarts one daemon in
 * the middle of it, and prints the report with its checks.
 */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as daemons from './daemons.js';
import * as logs from './log.js';
import * as platformFiles from './platformfile.js';
import * as platforms from './platform.js';
import * as replays from './replay.js';
import * as reports from './report.js';
import * as traces from './trace.js';

const READY_LIMIT_MS = 15_000;
const RELEASE_LIMIT_MS = 10_000;
const STOP_LIMIT_MS = 20_000;
/** Time between the kill of a daemon and its restart. */
const RESTART_AFTER_MS = 2_000;

const examplesDirectory = url.fileURLToPath(
  new URL('../../../examples', import.meta.url),
);

/** Runs one example and returns whether all checks passed. */
async function runExample(customer: string): Promise<boolean> {
  const source = path.join(examplesDirectory, customer);
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'flamingoward-'));
  const children = new Map<string, childProcess.ChildProcess>();
  const drafts = await daemons.loadDrafts(path.join(source, 'daemons'));
  const platform = new platforms.Platform(
    platformFiles.loadPlatformFile(path.join(source, 'platform.ini')),
    { freePorts: true, entries: daemons.listLinks(drafts) },
  );
  let fleet: readonly daemons.Daemon[] = [];
  try {
    const addresses = await platform.start();
    fleet = daemons.writeSettings(drafts, addresses, directory);
    for (const daemon of fleet)
      children.set(daemon.name, daemons.startDaemon(daemon));
    return await runReplay(source, platform, fleet, children);
  } catch (error) {
    print(`FAIL ${customer}: ${String(error)}`);
    for (const daemon of fleet) printLogTail(daemon);
    return false;
  } finally {
    for (const child of children.values()) child.kill('SIGKILL');
    await platform.stop();
    fs.rmSync(directory, { recursive: true });
  }
}

/** Publishes the release, replays the trace with a kill and restart, and returns whether all checks passed. */
async function runReplay(
  source: string,
  platform: platforms.Platform,
  fleet: readonly daemons.Daemon[],
  children: Map<string, childProcess.ChildProcess>,
): Promise<boolean> {
  const trace = traces.loadTrace(path.join(source, 'trace.jsonl'));
  print(`== ${trace.head.customer}: ${fleet.length} daemons`);
  await waitForAll('ready', READY_LIMIT_MS, fleet, (daemon) => {
    const code = children.get(daemon.name)?.exitCode ?? undefined;
    if (code !== undefined)
      throw new Error(`${daemon.name} ended with ${code} during its start`);
    return daemons.isReady(daemon);
  });
  await publish(path.join(source, 'release.ini'), fleet);
  const killMs = trace.head.durationMs / 2;
  const restart = runKillAndRestart(fleet, children, killMs).then(
    () => true,
    (error: unknown) => {
      print(`  FAIL ${String(error)}`);
      return false;
    },
  );
  const result = await replays.replayTrace(trace, {
    callers: fleet.map((daemon) => daemon.callers),
    run: trace.head.customer,
  });
  const restarted = await restart;
  const report = reports.buildReport(result, platform.getAudit());
  print(reports.renderReport(report));
  printCosts(fleet, children);
  for (const { operators, operatorsKey } of fleet)
    print((await reports.fetchCost(operators, operatorsKey)).trimEnd());
  const stopped = await stopAll(children);
  return reports.hasPassed(report) && restarted && stopped;
}

/** Publishes the release through one daemon and waits until all daemons report it as in force. */
async function publish(
  file: string,
  fleet: readonly daemons.Daemon[],
): Promise<void> {
  const text = fs.readFileSync(file, 'utf8');
  const release = /^id\s*=\s*(\S+)/m.exec(text)?.[1] ?? '';
  const [first] = fleet;
  if (first === undefined) throw new Error('no daemons');
  const startMs = performance.now();
  const answer = await daemons.publishRelease(first, text);
  print(`publication: ${answer.trim()}`);
  await waitForAll('release', RELEASE_LIMIT_MS, fleet, (daemon) =>
    daemons.hasRelease(daemon, release),
  );
  const tookMs = Math.round(performance.now() - startMs);
  print(`release ${release} in force at all processes after ${tookMs} ms`);
}

/** Kills the first daemon after `afterMs`, restarts it, and waits until it is ready. */
async function runKillAndRestart(
  fleet: readonly daemons.Daemon[],
  children: Map<string, childProcess.ChildProcess>,
  afterMs: number,
): Promise<void> {
  await logs.waitMs(afterMs);
  const [killed] = fleet;
  if (killed === undefined) return;
  children.get(killed.name)?.kill('SIGKILL');
  print(`killed ${killed.name}`);
  await logs.waitMs(RESTART_AFTER_MS);
  children.set(killed.name, daemons.startDaemon(killed));
  const tookMs = await daemons.waitUntil(
    `${killed.name} ready after its restart`,
    READY_LIMIT_MS,
    () => daemons.isReady(killed),
  );
  print(`restarted ${killed.name}, ready after ${Math.round(tookMs)} ms`);
}

async function waitForAll(
  condition: string,
  limitMs: number,
  fleet: readonly daemons.Daemon[],
  check: (daemon: daemons.Daemon) => Promise<boolean>,
): Promise<void> {
  await Promise.all(
    fleet.map((daemon) =>
      daemons.waitUntil(`${daemon.name} ${condition}`, limitMs, () =>
        check(daemon),
      ),
    ),
  );
}

async function stopAll(
  children: ReadonlyMap<string, childProcess.ChildProcess>,
): Promise<boolean> {
  const results = await Promise.all(
    [...children].map(async ([name, child]) => {
      const result = await daemons.stopDaemon(child, STOP_LIMIT_MS);
      return { name, result };
    }),
  );
  const failed = results.filter(({ result }) => result !== '0');
  for (const { name, result } of failed)
    print(`  FAIL ${name} ended with ${result} after SIGTERM`);
  if (failed.length === 0) print('  pass every daemon stopped after SIGTERM');
  return failed.length === 0;
}

function printCosts(
  fleet: readonly daemons.Daemon[],
  children: ReadonlyMap<string, childProcess.ChildProcess>,
): void {
  print('control cost since the start of each process');
  for (const { name } of fleet) {
    const cost = daemons.readProcessCost(children.get(name)?.pid ?? 0);
    if (cost !== undefined)
      print(
        `  ${name.padEnd(14)} processor ${cost.cpuMs} ms, resident ${cost.residentMb.toFixed(0)} MB`,
      );
  }
}

function printLogTail(daemon: daemons.Daemon): void {
  if (!fs.existsSync(daemon.logFile)) return;
  const lines = fs.readFileSync(daemon.logFile, 'utf8').trimEnd().split('\n');
  print(`-- last lines of ${daemon.name}`);
  for (const line of lines.slice(-10)) print(`   ${line}`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const passed: boolean[] = [];
for (const customer of ['sayeban', 'nilewave'])
  passed.push(await runExample(customer));
const ok = passed.every(Boolean);
print(ok ? 'demo passed' : 'demo FAILED');
process.exit(ok ? 0 : 1);
