/** A small cell of real daemon processes and a stand-in platform, for failure tests. */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@flamingoward/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';
import * as proxies from './proxy.js';

/** How a cell is built. */
export interface CellOptions {
  /** Availability zone of each process by name. */
  readonly zones?: Readonly<Record<string, string>>;
  /** Puts a proxy between each two processes, and between each process and the log. */
  readonly proxied?: boolean;
  /** Puts a proxy in front of each backend server. */
  readonly proxiedBackends?: boolean;
  readonly stopMs?: number;
}

/** An HTTP answer. */
export interface Reply {
  readonly status: number;
  readonly answer: string | undefined;
  readonly json: Readonly<Record<string, unknown>>;
}

/** One process in `/processes`. */
export interface ProcessView {
  readonly name: string;
  readonly instance: string;
  readonly health: string;
  readonly state: string;
  readonly shards: readonly { readonly shard: string }[];
}

// A wait that fails must end before the test does, because it names what it waited for.
vitest.vi.setConfig({ testTimeout: 150_000 });

/** Bound of every wait for a state; far above what a busy machine needs. */
const LIMIT_MS = 40_000;
/** Time for one call; a publication without the log is answered after 15 s. */
const CALL_MS = 25_000;
const OPERATORS_KEY = 'operators-key-of-the-failure-tests';

const regions: Readonly<Record<string, string>> = {
  'muscat-a': 'muscat',
  'muscat-b': 'muscat',
  'sohar-a': 'batinah',
};
const threeProcesses = { p1: 'muscat-a', p2: 'muscat-a', p3: 'muscat-b' };

export const firstRelease = `[release]
id = r1
base = none
title = Opening
[added backend quotes]
slots = 4
connections = 64
[added backend orders]
slots = 4
connections = 64
[added service quote]
idempotent = yes
urgency = urgent
timeout_ms = 2000
max_wait_ms = 4000
backend = quotes
[added service order]
idempotent = no
urgency = normal
timeout_ms = 2000
max_wait_ms = 4000
backend = orders
[added class cutting]
urgency = urgent
[added team workshop]
quota_cores = 64
quota_memory_mb = 65536
`;

/** A release that changes the weight of a team. */
export function formatRelease(id: string, base: string, weight: number) {
  return `[release]\nid = ${id}\nbase = ${base}\ntitle = Weight ${weight}\n[changed team workshop]\nweight = ${weight}\n`;
}

/** Runs `body` in a new cell in which all processes are ready and have the first release. */
export async function runCell(
  options: CellOptions,
  body: (cell: Cell) => Promise<void>,
): Promise<void> {
  const cell = new Cell(options);
  try {
    await cell.start();
    await body(cell);
  } catch (error) {
    cell.printLogs();
    throw error;
  } finally {
    await cell.stop();
  }
}

/**
 * Runs the body of a test. When the test is listed in KNOWN-RED.txt its failure is
 * printed and passed over, unless STRICT=1 is set; any other test fails as usual.
 */
export async function runKnownRed(
  test: string,
  body: () => Promise<void>,
): Promise<void> {
  const file = path.join(import.meta.dirname, '../../../../KNOWN-RED.txt');
  const isListed = fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .includes(`test: ${test}`);
  try {
    await body();
  } catch (error) {
    if (!isListed || process.env.STRICT === '1') throw error;
    process.stderr.write(`KNOWN-RED ${test}: ${String(error)}\n`);
  }
}

/** The cell. */
export class Cell {
  readonly platform: standins.Platform;
  /** Processes that a test killed or paused; only their callers may see a broken connection. */
  readonly disturbed = new Set<string>();
  readonly linkProxies = new Map<string, proxies.Proxy>();
  readonly logProxies = new Map<string, proxies.Proxy>();
  readonly backendProxies: proxies.Proxy[] = [];
  /**
   * Loopback address of this cell alone. A free port of a shared address may be taken
   * by somebody else before the daemon listens, or while it is restarted.
   */
  readonly host = takeHost();
  readonly #options: CellOptions;
  readonly #zones: Readonly<Record<string, string>>;
  readonly #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'cell-'));
  readonly #daemons = new Map<string, standins.Daemon>();
  readonly #children = new Map<string, childProcess.ChildProcess>();
  readonly #agent = new undici.Agent({ pipelining: 1, connections: 64 });
  /** Ends the callers of a test that failed. */
  isStopped = false;
  #log = '';
  #vmList = '';

  constructor(options: CellOptions) {
    this.#options = options;
    this.#zones = options.zones ?? threeProcesses;
    this.platform = new standins.Platform(
      standins.parsePlatformFile(formatPlatform(this.#zones), 'platform'),
      { freePorts: true },
    );
  }

  get names(): readonly string[] {
    return Object.keys(this.#zones);
  }

  /** Names of the processes whose child runs. */
  get running(): readonly string[] {
    return this.names.filter((name) => {
      const child = this.#children.get(name);
      return child?.exitCode === null && child.signalCode === null;
    });
  }

  readDaemon(name: string): standins.Daemon {
    return this.#daemons.get(name)!;
  }

  readChild(name: string): childProcess.ChildProcess {
    return this.#children.get(name)!;
  }

  readRegion(name: string): string {
    return regions[this.#zones[name]!]!;
  }

  readLog(name: string): string {
    const { logFile } = this.readDaemon(name);
    return fs.existsSync(logFile) ? fs.readFileSync(logFile, 'utf8') : '';
  }

  async start(): Promise<void> {
    const addresses = await this.platform.start();
    this.#log = addresses.log;
    this.#vmList = addresses.vmList;
    for (const [at, name] of this.names.entries())
      this.#daemons.set(name, {
        name,
        callers: `${this.host}:${7110 + at}`,
        operators: `${this.host}:${7120 + at}`,
        links: `${this.host}:${7130 + at}`,
        operatorsKey: OPERATORS_KEY,
        settingsFile: path.join(this.#directory, `${name}.ini`),
        logFile: path.join(this.#directory, `${name}.log`),
      });
    await this.#listEntries();
    for (const name of this.names) await this.#writeSettings(name);
    await Promise.all(this.names.map((name) => this.startProcess(name)));
    await standins.publishRelease(
      this.readDaemon(this.names[0]!),
      firstRelease,
    );
    await this.waitForRelease('r1', this.names);
    await this.waitForOwners();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    for (const child of this.#children.values()) child.kill('SIGKILL');
    await this.#agent.destroy();
    const all = [
      ...this.linkProxies.values(),
      ...this.logProxies.values(),
      ...this.backendProxies,
    ];
    await Promise.all(all.map((proxy) => proxy.stop()));
    await this.platform.stop();
    fs.rmSync(this.#directory, { recursive: true });
  }

  printLogs(): void {
    for (const name of this.names) {
      const lines = this.readLog(name).trimEnd().split('\n').slice(-30);
      process.stderr.write(`-- ${name}\n${lines.join('\n')}\n`);
    }
  }

  /** Starts a process and waits until it is ready. */
  async startProcess(name: string): Promise<void> {
    this.#children.set(name, standins.startDaemon(this.readDaemon(name)));
    await this.waitFor(`${name} ready`, () =>
      standins.isReady(this.readDaemon(name)),
    );
  }

  /** Starts a process without waiting. */
  launch(name: string): void {
    this.#children.set(name, standins.startDaemon(this.readDaemon(name)));
  }

  signal(name: string, signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM') {
    // A planned stop must not break a connection.
    if (signal !== 'SIGTERM') this.disturbed.add(name);
    this.#children.get(name)?.kill(signal);
  }

  /** Waits for the end of a process; returns its exit code, or the signal. */
  async waitForExit(name: string): Promise<number | string> {
    const child = this.readChild(name);
    await this.waitFor(`the end of ${name}`, () =>
      Promise.resolve(child.exitCode !== null || child.signalCode !== null),
    );
    return child.exitCode ?? child.signalCode ?? '';
  }

  waitFor(what: string, check: () => Promise<boolean>): Promise<number> {
    return standins.waitUntil(what, LIMIT_MS, check);
  }

  async waitForRelease(release: string, names: readonly string[]) {
    for (const name of names)
      await this.waitFor(`${release} at ${name}`, () =>
        standins.hasRelease(this.readDaemon(name), release),
      );
  }

  /** Waits until every shard has an owner that is running. */
  async waitForOwners(): Promise<void> {
    for (const shard of this.listShards())
      await this.waitFor(
        `an owner of ${shard}`,
        async () => (await this.findOwner(shard)) !== undefined,
      );
  }

  listShards(): readonly string[] {
    const used = new Set(this.names.map((name) => this.readRegion(name)));
    return [...used].flatMap((region) => [
      `workers/${region}`,
      `service/quote@${region}`,
      `service/order@${region}`,
    ]);
  }

  /** The process that says of itself that it decides for a shard; undefined for none or several. */
  async findOwner(
    shard: string,
    among: readonly string[] = this.running,
  ): Promise<string | undefined> {
    const owners: string[] = [];
    for (const name of among) {
      const views = await this.readProcesses(name);
      const self = views.find((view) => view.health === 'self');
      if (self?.shards.some((owned) => owned.shard === shard) === true)
        owners.push(name);
    }
    return owners.length === 1 ? owners[0] : undefined;
  }

  async readProcesses(name: string): Promise<readonly ProcessView[]> {
    const reply = await this.askOperators(name, 'GET', '/processes');
    return (reply?.json.processes ?? []) as readonly ProcessView[];
  }

  publish(name: string, text: string, publisher = 'test') {
    return this.askOperators(
      name,
      'POST',
      '/releases',
      JSON.stringify({ text, publisher }),
    );
  }

  askOperators(name: string, method: string, target: string, body?: string) {
    const { operators, operatorsKey } = this.readDaemon(name);
    const headers = { authorization: `Bearer ${operatorsKey}` };
    return this.#ask(operators, method, target, headers, body);
  }

  askCallers(
    name: string,
    method: string,
    target: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
  ) {
    const { callers } = this.readDaemon(name);
    return this.#ask(callers, method, target, headers, body);
  }

  /** Undefined for a broken connection. */
  async #ask(
    address: string,
    method: string,
    target: string,
    headers: Readonly<Record<string, string>>,
    body?: string,
  ): Promise<Reply | undefined> {
    try {
      const answer = await undici.request(`http://${address}${target}`, {
        dispatcher: this.#agent,
        method: method,
        headers,
        body: body ?? null,
        signal: AbortSignal.timeout(CALL_MS),
      });
      const text = await answer.body.text();
      const kind = answer.headers['flamingoward-answer'];
      return {
        status: answer.statusCode,
        answer: typeof kind === 'string' ? kind : undefined,
        json: JSON.parse(text) as Record<string, unknown>,
      };
    } catch {
      return undefined;
    }
  }

  /** Entries join the list only without proxies, because the list has one address for all. */
  async #listEntries(): Promise<void> {
    const list = this.platform.vmList!;
    const { vms } = list.read();
    const entries = this.names.map((name) => ({
      id: name,
      role: 'entry' as const,
      address: this.readDaemon(name).links,
      availabilityZone: this.#zones[name]!,
      region: this.readRegion(name),
      rack: 'entry',
      state: 'live' as const,
    }));
    const others = await Promise.all(
      vms.map(async (vm) => {
        if (vm.role !== 'backend' || this.#options.proxiedBackends !== true)
          return vm;
        const proxy = new proxies.Proxy(vm.address);
        this.backendProxies.push(proxy);
        return { ...vm, address: await proxy.start() };
      }),
    );
    list.update([
      ...(this.#options.proxied === true ? [] : entries),
      ...others,
    ]);
  }

  async #writeSettings(name: string): Promise<void> {
    const daemon = this.readDaemon(name);
    const peers: string[] = [];
    for (const other of this.names)
      if (other !== name)
        peers.push(
          `${other} = ${await this.#connectTo(this.linkProxies, `${name}>${other}`, this.readDaemon(other).links)}`,
        );
    const log = await this.#connectTo(this.logProxies, name, this.#log);
    const text = `[process]
name = ${name}
availability_zone = ${this.#zones[name]!}
region = ${this.readRegion(name)}
max_processes = ${this.names.length}
stop_ms = ${this.#options.stopMs ?? 8_000}
[callers]
listen = ${daemon.callers}
[operators]
listen = ${daemon.operators}
key = ${OPERATORS_KEY}
[links]
listen = ${daemon.links}
key = links-key-of-the-failure-tests
[peers]
${peers.join('\n')}
[platform]
log = http://${log}
vm_list = http://${this.#vmList}
[limits]
max_body_bytes = 65536
`;
    fs.writeFileSync(daemon.settingsFile, text);
  }

  async #connectTo(
    kept: Map<string, proxies.Proxy>,
    key: string,
    target: string,
  ): Promise<string> {
    if (this.#options.proxied !== true) return target;
    const proxy = new proxies.Proxy(target);
    kept.set(key, proxy);
    return proxy.start();
  }
}

let hosts = 0;

function takeHost(): string {
  hosts += 1;
  return `127.${64 + ((process.pid >> 8) & 127)}.${process.pid & 255}.${hosts}`;
}

/** Two workers and two backend servers of each kind for each zone in use. */
function formatPlatform(zones: Readonly<Record<string, string>>): string {
  const used = [...new Set(Object.values(zones))];
  const vms = `count = ${2 * used.length}\nper_rack = 2\nzones = ${used.join(', ')}\nfirst_address = 127.0.0.1:7000\nstep = port\n`;
  return `[platform]
name = cell
log = 127.0.0.1:7100
vm_list = 127.0.0.1:7101
audit = 127.0.0.1:7102
usage_lag_ms = 500
${used.map((zone) => `[zone ${zone}]\nregion = ${regions[zone]!}\n`).join('')}
[workers general]
cores = 4
memory_mb = 4096
${vms}
[backend quotes]
slots = 4
connections = 64
${vms}
[backend orders]
slots = 4
connections = 64
${vms}`;
}
