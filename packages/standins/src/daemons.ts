/** Runs the daemons of an example as child processes, with free ports, for demonstrations. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as ini from 'ini';
import * as undici from 'undici';
import * as zod from 'zod';
import * as logs from './log.js';
import * as ports from './ports.js';

/** One daemon. */
export interface Daemon {
  readonly name: string;
  readonly callers: string;
  readonly operators: string;
  readonly links: string;
  readonly operatorsKey: string;
  readonly settingsFile: string;
  readonly logFile: string;
}

/** Sections of a settings file; the daemon itself checks what is in them. */
const settingsShape = zod.record(
  zod.string(),
  zod.record(zod.string(), zod.string()),
);
type Settings = zod.infer<typeof settingsShape>;

/** A daemon's settings with free ports instead of those in the file. */
interface Draft {
  readonly name: string;
  readonly settings: Settings;
}

/** The daemon's main file, beside this package in the workspace. */
const mainFile = url.fileURLToPath(
  new URL('../../daemon/dist/main.js', import.meta.url),
);

/** Time for one HTTP call. */
const CALL_MS = 2_000;

/**
 * Reads the settings files of `directory` and returns drafts with free ports;
 * `writeSettings` completes them when the platform's addresses are known.
 */
export async function loadDrafts(directory: string): Promise<Draft[]> {
  const drafts = fs
    .readdirSync(directory)
    .sort()
    .map((file) => {
      const text = fs.readFileSync(path.join(directory, file), 'utf8');
      const settings = settingsShape.parse(ini.parse(text));
      return { name: settings.process?.name ?? file, settings };
    });
  const free = await ports.findPorts(3 * drafts.length);
  const take = () => `127.0.0.1:${free.pop() ?? 0}`;
  for (const { settings } of drafts)
    for (const section of ['callers', 'operators', 'links'])
      settings[section] = { ...settings[section], listen: take() };
  return drafts;
}

/** Links addresses by process name. */
export function listLinks(
  drafts: readonly Draft[],
): ReadonlyMap<string, string> {
  return new Map(
    drafts.map(({ name, settings }) => [name, readListen(settings, 'links')]),
  );
}

/** Writes the settings files into `directory`. */
export function writeSettings(
  drafts: readonly Draft[],
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
      callers: readListen(settings, 'callers'),
      operators: readListen(settings, 'operators'),
      links: readListen(settings, 'links'),
      operatorsKey: settings.operators?.key ?? '',
      settingsFile,
      logFile: path.join(directory, `${name}.log`),
    };
  });
}

function readListen(settings: Settings, section: string): string {
  return settings[section]?.listen ?? '';
}

/** The options in the first line of the daemon's program. */
const nodeOptions: readonly string[] = ['--max-semi-space-size=4'];

/** Starts a daemon; its output goes to its log file. Throws when the daemon isn't built. */
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

/** Stops a daemon and resolves with its exit code; after `limitMs` it is killed. */
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

/** Polls until `check` holds; throws when it doesn't within `limitMs`. */
export async function waitUntil(
  what: string,
  limitMs: number,
  check: () => Promise<boolean>,
): Promise<number> {
  const startMs = performance.now();
  while (performance.now() - startMs < limitMs) {
    if (await check()) return performance.now() - startMs;
    await logs.waitMs(20);
  }
  throw new Error(`${what}: not within ${limitMs} ms`);
}

/** True when the daemon answers `GET /readyz` with 200. */
export async function isReady(daemon: Daemon): Promise<boolean> {
  const answer = await ask('GET', daemon.callers, '/readyz');
  return answer?.status === 200;
}

/** Publishes a release note at one daemon and returns the answer's text. */
export async function publishRelease(
  daemon: Daemon,
  text: string,
): Promise<string> {
  const answer = await ask('POST', daemon.operators, '/releases', {
    key: daemon.operatorsKey,
    body: JSON.stringify({ text, publisher: 'demo' }),
  });
  if (answer === undefined || answer.status >= 300)
    throw new Error(
      `publication failed: ${answer?.status ?? 'no answer'} ${answer?.text ?? ''}`,
    );
  return answer.text;
}

/** True when the daemon reports the release as in force. */
export async function hasRelease(
  daemon: Daemon,
  release: string,
): Promise<boolean> {
  const answer = await ask('GET', daemon.operators, '/releases', {
    key: daemon.operatorsKey,
  });
  if (answer?.status !== 200) return false;
  const body = JSON.parse(answer.text) as { current?: string };
  return body.current === release;
}

/** Processor time in ms and resident memory in MB of a process, from the system. */
export function readProcessCost(
  pid: number,
): { readonly cpuMs: number; readonly residentMb: number } | undefined {
  try {
    const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The fields after the command's closing parenthesis; times are in ticks of 10 ms.
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

async function ask(
  method: 'GET' | 'POST',
  address: string,
  target: string,
  how: { readonly key?: string; readonly body?: string } = {},
): Promise<{ status: number; text: string } | undefined> {
  try {
    const answer = await undici.request(`http://${address}${target}`, {
      method,
      headers:
        how.key === undefined ? {} : { authorization: `Bearer ${how.key}` },
      body: how.body ?? null,
      signal: AbortSignal.timeout(CALL_MS),
    });
    return { status: answer.statusCode, text: await answer.body.text() };
  } catch {
    // Not listening yet, or gone; the caller asks again.
    return undefined;
  }
}
