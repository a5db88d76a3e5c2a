/**
 * Runs a whole cell on this machine: the stand-in platform in this process and real
 * daemons as child processes. Each daemon has its own log and VM list endpoints, and the
 * links between the regions can be routed through forwarders, so that the bytes of each
 * process and of each direction between the regions are counted separately.
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

/** Size of a cell, and whether to count the traffic between its regions. */
export interface CellOptions {
  readonly processes: number;
  readonly workers: number;
  /** Routes the links between the regions through forwarders that count their bytes. */
  readonly countRegions?: boolean;
}

/** The process that owns a shard, and its instance id. */
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
  /** Bytes of requests to the log service and of its responses. */
  readonly logBytes: number;
  readonly logReads: number;
  readonly appends: number;
  readonly vmListBytes: number;
  /** Bytes of the calls to the workers of each region whose shard the process owns. */
  readonly workerBytes: number;
}

/** The log and VM list endpoints of one daemon, with the number of its log requests. */
interface DaemonEndpoints {
  readonly log: standins.Server;
  readonly vmList: standins.Server;
  logReads: number;
  appends: number;
}

const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 12_000;
const ZONES = [
  { zone: 'cairo-a', region: 'cairo' },
  { zone: 'cairo-b', region: 'cairo' },
  { zone: 'alex-a', region: 'alex' },
] as const;
/** Share of general workers in the fleet, from section 1.2 of docs/design.md. */
const GENERAL_SHARE = 24 / 34;
/** Id of the release in the example's release.ini. */
const EXAMPLE_RELEASE = '2026-12-04.1';

/** Region of the log service. */
export const HOME_REGION = 'cairo';
/** Region without the log service. */
export const FAR_REGION = 'alex';

const exampleDirectory = url.fileURLToPath(
  new URL('../../../../examples/nilewave', import.meta.url),
);

/** A running cell. */
export class Cell {
  readonly options: CellOptions;
  readonly platform: standins.Platform;
  /** Forwarders of the links into each region; empty unless `countRegions` is set. */
  readonly forwardersByRegion = new Map<string, forwarders.Forwarder[]>();
  daemons: readonly standins.Daemon[] = [];
  readonly #directory: string;
  readonly #drafts: Awaited<ReturnType<typeof standins.loadDrafts>>;
  readonly #children = new Map<string, childProcess.ChildProcess>();
  /** Forwarders by the links address that they forward to. */
  readonly #forwarders = new Map<string, forwarders.Forwarder>();
  readonly #endpoints = new Map<string, DaemonEndpoints>();

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

  /** Starts a cell, waits until all daemons are ready and publishes the example's release. */
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
    const freePorts = await standins.findPorts(3 * drafts.length);
    for (const { settings } of drafts)
      for (const section of ['callers', 'operators', 'links'])
        settings[section] = {
          ...settings[section],
          listen: `127.0.0.1:${freePorts.pop() ?? 0}`,
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

  /** Stops the daemons, resuming paused ones first, then the servers, and deletes the files. */
  async stop(): Promise<void> {
    for (const child of this.#children.values()) child.kill('SIGCONT');
    await Promise.all(
      [...this.#children.values()].map((child) =>
        standins.stopDaemon(child, STOP_TIMEOUT_MS),
      ),
    );
    await Promise.all([
      ...[...this.#endpoints.values()].flatMap(({ log, vmList }) => [
        log.stop(),
        vmList.stop(),
      ]),
      ...[...this.forwardersByRegion.values()]
        .flat()
        .map((each) => each.stop()),
      this.platform.stop(),
    ]);
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Sends a signal to one daemon. */
  sendSignal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  /** Starts a daemon again after it was killed, and waits until it is ready. */
  async startAgain(name: string): Promise<void> {
    const daemon = this.findDaemon(name);
    this.#children.set(name, standins.startDaemon(daemon));
    await this.#waitReady(daemon);
  }

  /** Returns the daemon with a name; throws when there is none. */
  findDaemon(name: string): standins.Daemon {
    const daemon = this.daemons.find((each) => each.name === name);
    if (daemon === undefined)
      throw new Error(`cell has no daemon named ${name}`);
    return daemon;
  }

  /** Returns the owner of a shard, from the last claim in the log. */
  findOwner(shard: string): Owner | undefined {
    const claims = this.platform.log.getRecords('claims');
    const lastClaim = claims
      .map((record) => record.body as Record<string, unknown>)
      .findLast((body) => body.type === 'claim' && body.shard === shard);
    if (lastClaim === undefined) return undefined;
    return {
      process: String(lastClaim.process),
      instance: String(lastClaim.instance),
    };
  }

  /** Reads the lines of a daemon's log file. */
  readLog(name: string): readonly string[] {
    return fs.readFileSync(this.findDaemon(name).logFile, 'utf8').split('\n');
  }

  /** Reads the counters of one process; those of its links come from its metrics page. */
  async readCounters(name: string): Promise<ProcessCounters> {
    const processCost = standins.readProcessCost(
      this.#children.get(name)?.pid ?? 0,
    );
    const daemon = this.findDaemon(name);
    const metrics = await calls.fetchMetrics(daemon);
    const endpoints = this.#endpoints.get(name);
    const regions = [HOME_REGION, FAR_REGION].filter(
      (region) => this.findOwner(`workers/${region}`)?.process === name,
    );
    return {
      cpuMs: processCost?.cpuMs ?? NaN,
      residentMb: processCost?.residentMb ?? NaN,
      linkSentBytes: metrics.get('flamingoward_link_sent_bytes') ?? NaN,
      linkReceivedBytes: metrics.get('flamingoward_link_received_bytes') ?? NaN,
      logBytes: sumTraffic(endpoints?.log),
      logReads: endpoints?.logReads ?? 0,
      appends: endpoints?.appends ?? 0,
      vmListBytes: sumTraffic(endpoints?.vmList),
      workerBytes: regions
        .map((region) => this.sumWorkerBytes(region))
        .reduce((sum, each) => sum + each, 0),
    };
  }

  /** Sums the bytes that the workers of a region received and sent. */
  sumWorkerBytes(region: string): number {
    let sum = 0;
    for (const vm of this.platform.vmList?.getList().vms ?? []) {
      if (vm.role !== 'worker' || vm.region !== region) continue;
      const traffic = this.platform.getWorker(vm.id)?.getTraffic();
      sum += (traffic?.receivedBytes ?? 0) + (traffic?.sentBytes ?? 0);
    }
    return sum;
  }

  /** Sums the traffic of the log or the VM list with the processes outside the log's region. */
  sumFarTraffic(peer: 'log' | 'vmList'): standins.Traffic {
    let receivedBytes = 0;
    let sentBytes = 0;
    for (const [name, endpoints] of this.#endpoints) {
      if (findRegion(name) !== FAR_REGION) continue;
      const traffic = endpoints[peer].getTraffic();
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
      await this.#openEndpoints(daemon, addresses);
      if (this.options.countRegions === true)
        await this.#openForwarders(daemon);
    }
    for (const daemon of this.daemons)
      this.#children.set(daemon.name, standins.startDaemon(daemon));
    for (const daemon of this.daemons) await this.#waitReady(daemon);
    await this.#publishExample();
  }

  async #waitReady(daemon: standins.Daemon): Promise<void> {
    await standins.waitUntil(`${daemon.name} ready`, READY_TIMEOUT_MS, () => {
      const code = this.#children.get(daemon.name)?.exitCode ?? undefined;
      if (code !== undefined) {
        const last = this.readLog(daemon.name).slice(-3).join(' ');
        throw new Error(
          `${daemon.name} exited with code ${code} before it was ready; last log lines: ${last}`,
        );
      }
      return standins.isReady(daemon);
    });
  }

  async #publishExample(): Promise<void> {
    const [first] = this.daemons;
    if (first === undefined) throw new Error('cell has no daemons');
    const file = path.join(exampleDirectory, 'release.ini');
    await standins.publishRelease(first, fs.readFileSync(file, 'utf8'));
    for (const daemon of this.daemons)
      await standins.waitUntil(`${daemon.name} release`, READY_TIMEOUT_MS, () =>
        standins.hasRelease(daemon, EXAMPLE_RELEASE),
      );
  }

  /** Opens log and VM list endpoints for one daemon and writes their addresses to its settings. */
  async #openEndpoints(
    daemon: standins.Daemon,
    shared: { readonly log: string; readonly vmList: string },
  ): Promise<void> {
    const { platform } = this;
    const log = await standins.serve('127.0.0.1', 0, (incoming, response) => {
      if (incoming.method === 'POST') endpoints.appends += 1;
      else endpoints.logReads += 1;
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
    const endpoints: DaemonEndpoints = { log, vmList, logReads: 0, appends: 0 };
    this.#endpoints.set(daemon.name, endpoints);
    updateFile(daemon.settingsFile, [
      [shared.log, log.address],
      [shared.vmList, vmList.address],
    ]);
  }

  /** Lists the VMs for one daemon; entry VMs of the other region have their forwarder's address. */
  #listVms(name: string): core.workers.VmList {
    const list = this.platform.vmList?.getList() ?? { asOfMs: 0, vms: [] };
    const region = findRegion(name);
    const vms = list.vms.map((vm) => {
      const forwarder = this.#forwarders.get(vm.address);
      return forwarder === undefined || vm.region === region
        ? vm
        : { ...vm, address: forwarder.address };
    });
    return { ...list, vms };
  }

  /** Starts a forwarder for the links from the other region to one daemon, and updates the settings there. */
  async #openForwarders(daemon: standins.Daemon): Promise<void> {
    const region = findRegion(daemon.name);
    const forwarder = await forwarders.startForwarder(daemon.links);
    this.#forwarders.set(daemon.links, forwarder);
    const existing = this.forwardersByRegion.get(region);
    if (existing === undefined)
      this.forwardersByRegion.set(region, [forwarder]);
    else existing.push(forwarder);
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

/** Returns the region of a process, from the availability zone in its name. */
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
    .readFileSync(
      path.join(exampleDirectory, 'daemons', 'cairo-a-1.ini'),
      'utf8',
    )
    .replace(/^name = .*$/m, `name = ${name}`)
    .replace(
      /^max_processes = .*$/m,
      `max_processes = ${Math.max(9, processes)}`,
    )
    .replace(/^availability_zone = .*$/m, `availability_zone = ${zone}`)
    .replace(/^region = .*$/m, `region = ${findRegion(name)}`);
}

function buildPlatformFile(options: CellOptions): standins.PlatformFile {
  const file = standins.loadPlatformFile(
    path.join(exampleDirectory, 'platform.ini'),
  );
  const generalCount = Math.round(options.workers * GENERAL_SHARE);
  const counts = new Map([
    ['general', generalCount],
    ['gpu', options.workers - generalCount],
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
  const traffic = server?.getTraffic();
  return (traffic?.receivedBytes ?? 0) + (traffic?.sentBytes ?? 0);
}

function updateFile(
  file: string,
  replacements: readonly (readonly [string, string])[],
): void {
  let text = fs.readFileSync(file, 'utf8');
  for (const [oldText, newText] of replacements) {
    if (!text.includes(oldText))
      throw new Error(`settings file ${file} does not contain "${oldText}"`);
    text = text.replace(oldText, newText);
  }
  fs.writeFileSync(file, text);
}
