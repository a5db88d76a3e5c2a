/**
 * Runs the daemons of an example as child processes, on free ports instead of those in
 * their settings files. Used by the demo, the benchmarks and the tests of whole cells.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as ini from 'ini';
import * as undici from 'undici';
import * as zod from 'zod';
import * as logs from './log.js';
import * as ports from './ports.js';

/** Addresses and files of one daemon process. */
export interface Daemon {
  readonly name: string;
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
  readonly operatorsKey: string;
  readonly settingsFile: string;
  readonly logFile: string;
}

/** Sections of a settings file; the daemon itself validates their contents. */
const settingsSchema = zod.record(
  zod.string(),
  zod.record(zod.string(), zod.string()),
);
type Settings = zod.infer<typeof settingsSchema>;

/** A daemon's settings with free listen ports, before the platform's addresses are known. */
interface SettingsDraft {
  readonly name: string;
  readonly settings: Settings;
}

/** Built entry point of the daemon package in the same workspace. */
const mainFile = url.fileURLToPath(
  new URL('../../daemon/dist/main.js', import.meta.url),
);

const CALL_TIMEOUT_MS = 2_000;

/**
 * Reads the settings files of `directory` and returns drafts with free ports;
 * `writeSettings` completes them when the platform's addresses are known.
 */
export async function loadDrafts(directory: string): Promise<SettingsDraft[]> {
  const drafts = fs
    .readdirSync(directory)
    .sort()
    .map((file) => {
      const text = fs.readFileSync(path.join(directory, file), 'utf8');
      const settings = settingsSchema.parse(ini.parse(text));
      return { name: settings.process?.name ?? file, settings };
    });
  const freePorts = await ports.findPorts(3 * drafts.length);
  const takeAddress = () => `127.0.0.1:${freePorts.pop() ?? 0}`;
  for (const { settings } of drafts)
    for (const section of ['callers', 'operators', 'links'])
      settings[section] = { ...settings[section], listen: takeAddress() };
  return drafts;
}

/** Returns the listen address of section `[links]` by process name. */
export function listLinks(
  drafts: readonly SettingsDraft[],
): ReadonlyMap<string, string> {
  return new Map(
    drafts.map(({ name, settings }) => [
      name,
      getListenAddress(settings, 'links'),
    ]),
  );
}

/** Completes the drafts with peers and platform addresses and writes one settings file each into `directory`. */
export function writeSettings(
  drafts: readonly SettingsDraft[],
  platform: { readonly log: string; readonly vmList: string },
  directory: string,
): Daemon[] {
  const links = listLinks(drafts);
  return drafts.map(({ name, settings }) => {
    const peers = [...links].filter(([peer]) => peer !== name);
    const complete: Settings = {
      ...settings,
      peers: Object.fromEntries(peers),
      platform: {
        log: `http://${platform.log}`,
        vm_list: `http://${platform.vmList}`,
      },
    };
    const settingsFile = path.join(directory, `${name}.ini`);
    fs.writeFileSync(settingsFile, ini.stringify(complete));
    return {
      name,
      callers: getListenAddress(settings, 'callers'),
      operators: getListenAddress(settings, 'operators'),
      links: getListenAddress(settings, 'links'),
      operatorsKey: settings.operators?.key ?? '',
      settingsFile,
      logFile: path.join(directory, `${name}.log`),
    };
  });
}

function getListenAddress(settings: Settings, section: string): string {
  return settings[section]?.listen ?? '';
}

/** Same Node.js options as in the first line of the daemon's executable. */
const nodeOptions: readonly string[] = ['--max-semi-space-size=4'];

/** Starts a daemon with its output appended to its log file; throws when the daemon isn't built. */
export function startDaemon(daemon: Daemon): childProcess.ChildProcess {
  if (!fs.existsSync(mainFile))
    throw new Error(`${mainFile} is missing: run "npm run build" first`);
  const output = fs.openSync(daemon.logFile, 'a');
  const child = childProcess.spawn(
    process.execPath,
    [...nodeOptions, mainFile, daemon.settingsFile],
    { stdio: ['ignore', output, output] },
  );
  fs.closeSync(output);
  return child;
}

/** Sends SIGTERM, and SIGKILL after `limitMs`; resolves with the exit code or the signal. */
export async function stopDaemon(
  child: childProcess.ChildProcess,
  limitMs: number,
): Promise<string> {
  if (child.exitCode !== null || child.signalCode !== null)
    return `already ended with ${child.exitCode ?? child.signalCode ?? ''}`;
  const ended = new Promise<string>((resolve) => {
    child.once('exit', (code, signal) => {
      resolve(String(code ?? signal));
    });
  });
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), limitMs);
  const result = await ended;
  clearTimeout(timer);
  return result;
}

/** Polls `check` until it returns true and returns the time in ms; throws after `limitMs`. */
export async function waitUntil(
  condition: string,
  limitMs: number,
  check: () => Promise<boolean>,
): Promise<number> {
  const startMs = performance.now();
  while (performance.now() - startMs < limitMs) {
    if (await check()) return performance.now() - startMs;
    await logs.waitMs(20);
  }
  throw new Error(`${condition}: not within ${limitMs} ms`);
}

/** Returns whether the daemon answers `GET /readyz` with 200. */
export async function isReady(daemon: Daemon): Promise<boolean> {
  const answer = await sendRequest('GET', daemon.callers, '/readyz');
  return answer?.status === 200;
}

/** Publishes a release note through one daemon and returns the response body. */
export async function publishRelease(
  daemon: Daemon,
  text: string,
): Promise<string> {
  const answer = await sendRequest('POST', daemon.operators, '/releases', {
    key: daemon.operatorsKey,
    body: JSON.stringify({ text, publisher: 'demo' }),
  });
  if (answer === undefined || answer.status >= 300)
    throw new Error(
      `publication failed: ${answer?.status ?? 'no answer'} ${answer?.text ?? ''}`,
    );
  return answer.text;
}

/** Returns whether the daemon reports the release as in force. */
export async function hasRelease(
  daemon: Daemon,
  release: string,
): Promise<boolean> {
  const answer = await sendRequest('GET', daemon.operators, '/releases', {
    key: daemon.operatorsKey,
  });
  if (answer?.status !== 200) return false;
  const body = JSON.parse(answer.text) as { current?: string };
  return body.current === release;
}

/** Reads CPU time in ms and resident memory in MB of a process from `/proc`; undefined when it has ended. */
export function readProcessCost(
  pid: number,
): { readonly cpuMs: number; readonly residentMb: number } | undefined {
  try {
    const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The fields follow the closing parenthesis of the command name; CPU times are in ticks of 10 ms.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1];
    return {
      cpuMs: 10 * (Number(fields[11]) + Number(fields[12])),
      residentMb: Number(resident) / 1_024,
    };
  } catch {
    return undefined;
  }
}

async function sendRequest(
  method: 'GET' | 'POST',
  address: string,
  target: string,
  options: { readonly key?: string; readonly body?: string } = {},
): Promise<{ status: number; text: string } | undefined> {
  try {
    const answer = await undici.request(`http://${address}${target}`, {
      method,
      headers:
        options.key === undefined
          ? {}
          : { authorization: `Bearer ${options.key}` },
      body: options.body ?? null,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    return { status: answer.statusCode, text: await answer.body.text() };
  } catch {
    // The daemon isn't listening yet or has ended; callers poll again.
    return undefined;
  }
}
