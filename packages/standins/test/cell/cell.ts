/** A small cell for failure tests: real daemon processes and a stand-in platform, with optional network proxies between them. */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@flamingoward/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';
import * as proxies from './proxy.js';

/** Options of a cell. */
export interface CellOptions {
  /** Availability zone of each process by name. */
  readonly zones?: Readonly<Record<string, string>>;
  /** Puts a proxy on each link between two processes, and between each process and the log. */
  readonly proxied?: boolean;
  /** Puts a proxy in front of each backend server. */
  readonly proxiedBackends?: boolean;
  readonly stopMs?: number;
}

/** An HTTP response; `answer` is its header `flamingoward-answer`. */
export interface Reply {
  readonly status: number;
  readonly answer: string | undefined;
  readonly json: Readonly<Record<string, unknown>>;
}

/** One process as `/processes` reports it. */
export interface ProcessView {
  readonly name: string;
  readonly instance: string;
  readonly health: string;
  readonly state: string;
  readonly shards: readonly { readonly shard: string }[];
}

// Above WAIT_LIMIT_MS, so that a wait fails before the test times out: its error names the missing condition.
vitest.vi.setConfig({ testTimeout: 150_000 });

/** Limit of every wait for a state; high, because tests run on loaded machines. */
const WAIT_LIMIT_MS = 40_000;
/** A publication without the log is answered only after 15 s. */
const CALL_TIMEOUT_MS = 25_000;
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

/** Returns a release note that changes the weight of a team. */
export function formatRelease(id: string, base: string, weight: number) {
  return `[release]\nid = ${id}\nbase = ${base}\ntitle = Weight ${weight}\n[changed team workshop]\nweight = ${weight}\n`;
}

/** Runs `body` in a new cell after all processes are ready and have the first release. Prints the ends of the logs on a failure. */
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

export { runKnownRed } from './knownRed.js';

export class Cell {
  readonly platform: standins.Platform;
  /** Processes that a test killed, paused or stopped; only calls to these may end without an answer. */
  readonly mayBreakConnections = new Set<string>();
  readonly linkProxies = new Map<string, proxies.Proxy>();
  readonly logProxies = new Map<string, proxies.Proxy>();
  readonly backendProxies: proxies.Proxy[] = [];
  /**
   * Loopback address that only this cell uses. On a shared address another process could
   * occupy a free port before the daemon listens on it, or while the daemon is restarted.
   */
  readonly host = takeLoopbackHost();
  readonly #options: CellOptions;
  readonly #zones: Readonly<Record<string, string>>;
  readonly #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'cell-'));
  readonly #daemons = new Map<string, standins.Daemon>();
  readonly #children = new Map<string, childProcess.ChildProcess>();
  readonly #agent = new undici.Agent({ pipelining: 1, connections: 64 });
  /** Stops the callers of a failed test. */
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

  /** Names of the processes that are running. */
  get running(): readonly string[] {
    return this.names.filter((name) => {
      const child = this.#children.get(name);
      return child?.exitCode === null && child.signalCode === null;
    });
  }

  getDaemon(name: string): standins.Daemon {
    return this.#daemons.get(name)!;
  }

  getChild(name: string): childProcess.ChildProcess {
    return this.#children.get(name)!;
  }

  getRegion(name: string): string {
    return regions[this.#zones[name]!]!;
  }

  readLog(name: string): string {
    const { logFile } = this.getDaemon(name);
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
    await this.#registerVms();
    for (const name of this.names) await this.#writeSettings(name);
    await Promise.all(this.names.map((name) => this.startProcess(name)));
    await standins.publishRelease(this.getDaemon(this.names[0]!), firstRelease);
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
    this.#children.set(name, standins.startDaemon(this.getDaemon(name)));
    await this.waitFor(`${name} ready`, () =>
      standins.isReady(this.getDaemon(name)),
    );
  }

  /** Starts a process without waiting until it is ready. */
  launch(name: string): void {
    this.#children.set(name, standins.startDaemon(this.getDaemon(name)));
  }

  signal(name: string, signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM') {
    // A planned stop with SIGTERM must not break connections.
    if (signal !== 'SIGTERM') this.mayBreakConnections.add(name);
    this.#children.get(name)?.kill(signal);
  }

  /** Waits for the end of a process; returns its exit code or signal. */
  async waitForExit(name: string): Promise<number | string> {
    const child = this.getChild(name);
    await this.waitFor(`the end of ${name}`, () =>
      Promise.resolve(child.exitCode !== null || child.signalCode !== null),
    );
    return child.exitCode ?? child.signalCode ?? '';
  }

  waitFor(condition: string, check: () => Promise<boolean>): Promise<number> {
    return standins.waitUntil(condition, WAIT_LIMIT_MS, check);
  }

  async waitForRelease(release: string, names: readonly string[]) {
    for (const name of names)
      await this.waitFor(`${release} at ${name}`, () =>
        standins.hasRelease(this.getDaemon(name), release),
      );
  }

  /** Waits until every shard has exactly one running owner. */
  async waitForOwners(): Promise<void> {
    for (const shard of this.listShards())
      await this.waitFor(
        `an owner of ${shard}`,
        async () => (await this.findOwner(shard)) !== undefined,
      );
  }

  listShards(): readonly string[] {
    const usedRegions = new Set(this.names.map((name) => this.getRegion(name)));
    return [...usedRegions].flatMap((region) => [
      `workers/${region}`,
      `service/quote@${region}`,
      `service/order@${region}`,
    ]);
  }

  /** Returns the process that reports itself as the owner of a shard; undefined when none or several do. */
  async findOwner(
    shard: string,
    among: readonly string[] = this.running,
  ): Promise<string | undefined> {
    const owners: string[] = [];
    for (const name of among) {
      const views = await this.fetchProcesses(name);
      const self = views.find((view) => view.health === 'self');
      if (self?.shards.some((owned) => owned.shard === shard) === true)
        owners.push(name);
    }
    return owners.length === 1 ? owners[0] : undefined;
  }

  async fetchProcesses(name: string): Promise<readonly ProcessView[]> {
    const reply = await this.requestOperatorsApi(name, 'GET', '/processes');
    return (reply?.json.processes ?? []) as readonly ProcessView[];
  }

  publish(name: string, text: string, publisher = 'test') {
    return this.requestOperatorsApi(
      name,
      'POST',
      '/releases',
      JSON.stringify({ text, publisher }),
    );
  }

  requestOperatorsApi(
    name: string,
    method: string,
    target: string,
    body?: string,
  ) {
    const { operators, operatorsKey } = this.getDaemon(name);
    const headers = { authorization: `Bearer ${operatorsKey}` };
    return this.#request(operators, method, target, headers, body);
  }

  requestCallersApi(
    name: string,
    method: string,
    target: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
  ) {
    const { callers } = this.getDaemon(name);
    return this.#request(callers, method, target, headers, body);
  }

  /** Returns undefined when the connection breaks or the call times out. */
  async #request(
    address: string,
    method: string,
    target: string,
    headers: Readonly<Record<string, string>>,
    body?: string,
  ): Promise<Reply | undefined> {
    try {
      const answer = await undici.request(`http://${address}${target}`, {
        dispatcher: this.#agent,
        method,
        headers,
        body: body ?? null,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
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

  /**
   * Adds the daemons to the VM list and, when backend servers are proxied, replaces their
   * addresses by those of the proxies. Daemons are left out when their links are proxied:
   * the list has one address per VM, but the proxies have one per pair of processes.
   */
  async #registerVms(): Promise<void> {
    const list = this.platform.vmList!;
    const { vms } = list.getList();
    const entries = this.names.map((name) => ({
      id: name,
      role: 'entry' as const,
      address: this.getDaemon(name).links,
      availabilityZone: this.#zones[name]!,
      region: this.getRegion(name),
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
    const daemon = this.getDaemon(name);
    const peers: string[] = [];
    for (const other of this.names)
      if (other !== name)
        peers.push(
          `${other} = ${await this.#resolveEndpoint(this.linkProxies, `${name}>${other}`, this.getDaemon(other).links)}`,
        );
    const log = await this.#resolveEndpoint(this.logProxies, name, this.#log);
    const text = `[process]
name = ${name}
availability_zone = ${this.#zones[name]!}
region = ${this.getRegion(name)}
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

  /** Returns the target's address, or that of a new proxy in front of it when the cell is proxied. */
  async #resolveEndpoint(
    created: Map<string, proxies.Proxy>,
    key: string,
    target: string,
  ): Promise<string> {
    if (this.#options.proxied !== true) return target;
    const proxy = new proxies.Proxy(target);
    created.set(key, proxy);
    return proxy.start();
  }
}

let takenHosts = 0;

/** Returns an address of 127.0.0.0/8 that differs by process id and cell. */
function takeLoopbackHost(): string {
  takenHosts += 1;
  return `127.${64 + ((process.pid >> 8) & 127)}.${process.pid & 255}.${takenHosts}`;
}

/** Describes a platform with two workers and two backend servers of each group per availability zone in use. */
function formatPlatform(zones: Readonly<Record<string, string>>): string {
  const usedZones = [...new Set(Object.values(zones))];
  const vms = `count = ${2 * usedZones.length}\nper_rack = 2\nzones = ${usedZones.join(', ')}\nfirst_address = 127.0.0.1:7000\nstep = port\n`;
  return `[platform]
name = cell
log = 127.0.0.1:7100
vm_list = 127.0.0.1:7101
audit = 127.0.0.1:7102
usage_lag_ms = 500
${usedZones.map((zone) => `[zone ${zone}]\nregion = ${regions[zone]!}\n`).join('')}
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
