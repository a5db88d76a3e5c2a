/**
 * A whole cell on this machine: the stand-in platform in this process and real
 * daemons as child processes. Each daemon has its own address of the log and of the
 * VM list, and reaches the other region through a counting relay, so that the bytes
 * of each process and of each direction between the regions are known.
 */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import type * as core from '@flamingoward/core';
import * as standins from '@flamingoward/standins';
import * as calls from './calls.js';
import * as forwarders from './forwarder.js';

/** What to start. */
export interface CellOptions {
  readonly processes: number;
  readonly workers: number;
  /** Count the bytes of the links between regions. */
  readonly countRegions?: boolean;
}

/** A process that owns a shard. */
export interface Owner {
  readonly process: string;
  readonly instance: string;
}

/** Counters of one process since its start. */
export interface ProcessCounters {
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly linkSentBytes: number;
  readonly linkReceivedBytes: number;
  /** Requests and answers of the log service. */
  readonly logBytes: number;
  readonly logReads: number;
  readonly appends: number;
  readonly vmListBytes: number;
  /** Sync, start and stop calls to the workers of each owned region. */
  readonly workerBytes: number;
}

interface LogDoor {
  readonly log: standins.Server;
  readonly vmList: standins.Server;
  reads: number;
  appends: number;
}

const READY_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 12_000;
const ZONES = [
  { zone: 'cairo-a', region: 'cairo' },
  { zone: 'cairo-b', region: 'cairo' },
  { zone: 'alex-a', region: 'alex' },
] as const;
/** Share of general workers among all, as in section 1.2 of docs/design.md. */
const GENERAL_SHARE = 24 / 34;
const RELEASE = '2026-12-04.1';

/** Region of the log service. */
export const HOME_REGION = 'cairo';
/** The other region. */
export const FAR_REGION = 'alex';

const example = url.fileURLToPath(
  new URL('../../../../examples/nilewave', import.meta.url),
);

/** A running cell. */
export class Cell {
  readonly options: CellOptions;
  readonly platform: standins.Platform;
  /** Link bytes by direction; only when the regions are counted. */
  readonly crossing = new Map<string, forwarders.Forwarder[]>();
  daemons: readonly standins.Daemon[] = [];
  readonly #directory: string;
  readonly #drafts: Awaited<ReturnType<typeof standins.loadDrafts>>;
  readonly #children = new Map<string, childProcess.ChildProcess>();
  /** Relays by the links address behind them. */
  readonly #forwarders = new Map<string, forwarders.Forwarder>();
  readonly #doors = new Map<string, LogDoor>();

  private constructor(
    options: CellOptions,
    directory: string,
    drafts: Awaited<ReturnType<typeof standins.loadDrafts>>,
  ) {
    this.options = options;
    this.#directory = directory;
    this.#drafts = drafts;
    this.platform = new standins.Platform(buildPlatformFile(options), {
      freePorts: true,
      entries: standins.listLinks(drafts),
    });
  }

  /** Starts a cell, waits until all processes are ready and publishes the example's release. */
  static async start(options: CellOptions): Promise<Cell> {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'flamingoward-'));
    const source = path.join(directory, 'source');
    fs.mkdirSync(source);
    for (const name of listNames(options.processes))
      fs.writeFileSync(
        path.join(source, `${name}.ini`),
        formatSettings(name, options.processes),
      );
    const drafts = await standins.loadDrafts(source);
    const listens = await standins.findPorts(3 * drafts.length);
    for (const { settings } of drafts)
      for (const section of ['callers', 'operators', 'links'])
        settings[section] = {
          ...settings[section],
          listen: `127.0.0.1:${listens.pop() ?? 0}`,
        };
    const cell = new Cell(options, directory, drafts);
    try {
      await cell.#open();
    } catch (error) {
      await cell.stop();
      throw error;
    }
    return cell;
  }

  /** Stops the daemons by their ids, then the platform. */
  async stop(): Promise<void> {
    for (const child of this.#children.values()) child.kill('SIGCONT');
    await Promise.all(
      [...this.#children.values()].map((child) =>
        standins.stopDaemon(child, STOP_LIMIT_MS),
      ),
    );
    await Promise.all([
      ...[...this.#doors.values()].flatMap(({ log, vmList }) => [
        log.stop(),
        vmList.stop(),
      ]),
      ...[...this.crossing.values()].flat().map((each) => each.stop()),
      this.platform.stop(),
    ]);
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Sends a signal to one daemon. */
  sendSignal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  /** Starts a daemon again after it was killed. */
  async startAgain(name: string): Promise<void> {
    const daemon = this.find(name);
    this.#children.set(name, standins.startDaemon(daemon));
    await this.#waitReady(daemon);
  }

  /** The daemon of a name. */
  find(name: string): standins.Daemon {
    const daemon = this.daemons.find((each) => each.name === name);
    if (daemon === undefined) throw new Error(`no process ${name}`);
    return daemon;
  }

  /** The owner of a shard by the last claim in the log. */
  readOwner(shard: string): Owner | undefined {
    const claims = this.platform.log.read('claims');
    const last = claims
      .map((record) => record.body as Record<string, unknown>)
      .findLast((body) => body.type === 'claim' && body.shard === shard);
    if (last === undefined) return undefined;
    return { process: String(last.process), instance: String(last.instance) };
  }

  /** Lines of a daemon's log. */
  readLog(name: string): readonly string[] {
    return fs.readFileSync(this.find(name).logFile, 'utf8').split('\n');
  }

  /** Counters of one process; the metrics page gives those of the links. */
  async readCounters(name: string): Promise<ProcessCounters> {
    const cost = standins.readProcessCost(this.#children.get(name)?.pid ?? 0);
    const daemon = this.find(name);
    const metrics = await calls.fetchMetrics(daemon);
    const door = this.#doors.get(name);
    const regions = [HOME_REGION, FAR_REGION].filter(
      (region) => this.readOwner(`workers/${region}`)?.process === name,
    );
    return {
      cpuMs: cost?.cpuMs ?? NaN,
      residentMb: cost?.residentMb ?? NaN,
      linkSentBytes: metrics.get('flamingoward_link_sent_bytes') ?? NaN,
      linkReceivedBytes: metrics.get('flamingoward_link_received_bytes') ?? NaN,
      logBytes: sumTraffic(door?.log),
      logReads: door?.reads ?? 0,
      appends: door?.appends ?? 0,
      vmListBytes: sumTraffic(door?.vmList),
      workerBytes: regions
        .map((region) => this.readWorkerBytes(region))
        .reduce((sum, each) => sum + each, 0),
    };
  }

  /** Bytes between the workers of a region and whoever calls them. */
  readWorkerBytes(region: string): number {
    let sum = 0;
    for (const vm of this.platform.vmList?.read().vms ?? []) {
      if (vm.role !== 'worker' || vm.region !== region) continue;
      const traffic = this.platform.readWorker(vm.id)?.readTraffic();
      sum += (traffic?.receivedBytes ?? 0) + (traffic?.sentBytes ?? 0);
    }
    return sum;
  }

  /** Bytes of the calls of processes outside the log's region, to the log or to the VM list. */
  readFarBytes(peer: 'log' | 'vmList'): standins.Traffic {
    let receivedBytes = 0;
    let sentBytes = 0;
    for (const [name, door] of this.#doors) {
      if (findRegion(name) !== FAR_REGION) continue;
      const traffic = door[peer].readTraffic();
      receivedBytes += traffic.receivedBytes;
      sentBytes += traffic.sentBytes;
    }
    return { receivedBytes, sentBytes };
  }

  async #open(): Promise<void> {
    const addresses = await this.platform.start();
    this.daemons = standins.writeSettings(
      this.#drafts,
      addresses,
      this.#directory,
    );
    for (const daemon of this.daemons) {
      await this.#openDoors(daemon, addresses);
      if (this.options.countRegions === true)
        await this.#openForwarders(daemon);
    }
    for (const daemon of this.daemons)
      this.#children.set(daemon.name, standins.startDaemon(daemon));
    for (const daemon of this.daemons) await this.#waitReady(daemon);
    await this.#publishExample();
  }

  async #waitReady(daemon: standins.Daemon): Promise<void> {
    await standins.waitUntil(`${daemon.name} ready`, READY_LIMIT_MS, () => {
      const code = this.#children.get(daemon.name)?.exitCode ?? undefined;
      if (code !== undefined) {
        const last = this.readLog(daemon.name).slice(-3).join(' ');
        throw new Error(
          `${daemon.name} ended with ${code} during its start: ${last}`,
        );
      }
      return standins.isReady(daemon);
    });
  }

  async #publishExample(): Promise<void> {
    const [first] = this.daemons;
    if (first === undefined) throw new Error('no processes');
    const file = path.join(example, 'release.ini');
    await standins.publishRelease(first, fs.readFileSync(file, 'utf8'));
    for (const daemon of this.daemons)
      await standins.waitUntil(`${daemon.name} release`, READY_LIMIT_MS, () =>
        standins.hasRelease(daemon, RELEASE),
      );
  }

  /** Gives one daemon its own addresses of the log and of the VM list. */
  async #openDoors(
    daemon: standins.Daemon,
    shared: { readonly log: string; readonly vmList: string },
  ): Promise<void> {
    const { platform } = this;
    const log = await standins.serve('127.0.0.1', 0, (incoming, response) => {
      if (incoming.method === 'POST') door.appends += 1;
      else door.reads += 1;
      return platform.log.handle(incoming, response);
    });
    const vmList = await standins.serve(
      '127.0.0.1',
      0,
      (incoming, response) => {
        const list = this.#listVms(daemon.name);
        standins.respondVmList(list, incoming, response);
      },
    );
    const door: LogDoor = { log, vmList, reads: 0, appends: 0 };
    this.#doors.set(daemon.name, door);
    updateFile(daemon.settingsFile, [
      [shared.log, log.address],
      [shared.vmList, vmList.address],
    ]);
  }

  /** The VM list as one daemon sees it: entry VMs of the other region are behind relays. */
  #listVms(name: string): core.workers.VmList {
    const list = this.platform.vmList?.read() ?? { asOfMs: 0, vms: [] };
    const region = findRegion(name);
    const vms = list.vms.map((vm) => {
      const forwarder = this.#forwarders.get(vm.address);
      return forwarder === undefined || vm.region === region
        ? vm
        : { ...vm, address: forwarder.address };
    });
    return { ...list, vms };
  }

  /** Leads the links to one daemon from the other region through a relay. */
  async #openForwarders(daemon: standins.Daemon): Promise<void> {
    const region = findRegion(daemon.name);
    const forwarder = await forwarders.startForwarder(daemon.links);
    this.#forwarders.set(daemon.links, forwarder);
    const known = this.crossing.get(region);
    if (known === undefined) this.crossing.set(region, [forwarder]);
    else known.push(forwarder);
    for (const other of this.daemons)
      if (findRegion(other.name) !== region)
        updateFile(other.settingsFile, [
          [
            `${daemon.name}=${daemon.links}`,
            `${daemon.name}=${forwarder.address}`,
          ],
        ]);
  }
}

/** Region of a process, from its name. */
export function findRegion(name: string): string {
  return name.startsWith('cairo') ? HOME_REGION : FAR_REGION;
}

function listNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => {
    const { zone } = ZONES[index % ZONES.length] ?? ZONES[0];
    return `${zone}-${Math.floor(index / ZONES.length) + 1}`;
  });
}

function formatSettings(name: string, processes: number): string {
  const zone = name.replace(/-\d+$/, '');
  return fs
    .readFileSync(path.join(example, 'daemons', 'cairo-a-1.ini'), 'utf8')
    .replace(/^name = .*$/m, `name = ${name}`)
    .replace(
      /^max_processes = .*$/m,
      `max_processes = ${Math.max(9, processes)}`,
    )
    .replace(/^availability_zone = .*$/m, `availability_zone = ${zone}`)
    .replace(/^region = .*$/m, `region = ${findRegion(name)}`);
}

function buildPlatformFile(options: CellOptions): standins.PlatformFile {
  const file = standins.loadPlatformFile(path.join(example, 'platform.ini'));
  const general = Math.round(options.workers * GENERAL_SHARE);
  const counts = new Map([
    ['general', general],
    ['gpu', options.workers - general],
  ]);
  return {
    ...file,
    platform: { ...file.platform, vm_list_lag_ms: 0 },
    entries: new Map(
      listNames(options.processes).map((name) => [
        name,
        { availability_zone: name.replace(/-\d+$/, ''), links: '127.0.0.1:0' },
      ]),
    ),
    workers: new Map(
      [...file.workers].map(([name, section]) => [
        name,
        { ...section, count: counts.get(name) ?? 0 },
      ]),
    ),
  };
}

function sumTraffic(server: standins.Server | undefined): number {
  const traffic = server?.readTraffic();
  return (traffic?.receivedBytes ?? 0) + (traffic?.sentBytes ?? 0);
}

function updateFile(
  file: string,
  changes: readonly (readonly [string, string])[],
): void {
  let text = fs.readFileSync(file, 'utf8');
  for (const [from, to] of changes) {
    if (!text.includes(from)) throw new Error(`${file} has no ${from}`);
    text = text.replace(from, to);
  }
  fs.writeFileSync(file, text);
}
