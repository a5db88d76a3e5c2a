/**
 * A complete stand-in platform in one process: log service, VM list, workers and backend
 * servers, with one address that serves the audit of all of them.
 */
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import * as backends from './backend.js';
import * as fleets from './fleet.js';
import * as logs from './log.js';
import type * as platformFiles from './platformfile.js';
import * as serving from './serve.js';
import * as vmlists from './vmlist.js';
import * as workers from './worker.js';

/** Options of a platform. */
export interface PlatformOptions {
  /** Use free ports instead of those in the file. */
  readonly freePorts?: boolean;
  /** Links addresses of entry VMs by name, instead of those in the file. */
  readonly entries?: ReadonlyMap<string, core.ids.Address>;
}

/** Counts of all parts of the platform since their start. */
export interface PlatformAudit {
  readonly fleet: fleets.FleetAudit;
  readonly workers: readonly workers.WorkerAudit[];
  readonly backends: readonly backends.BackendAudit[];
  readonly log: logs.LogAudit;
}

/** Control request: VMs to fail. They stay in the VM list until its own control changes them. */
export interface PlatformControl {
  readonly fail?: readonly core.ids.VmId[];
}

interface VmStandin {
  start(host: string, port: number): Promise<string>;
  stop(): Promise<void>;
}

interface VmLocation {
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly rack: string;
}

/** A running platform. */
export class Platform {
  readonly log: logs.LogStandin;
  readonly fleet = new fleets.Fleet();
  readonly #file: platformFiles.PlatformFile;
  readonly #options: PlatformOptions;
  readonly #workers = new Map<string, workers.WorkerStandin>();
  readonly #backends = new Map<string, backends.BackendStandin>();
  #vmList: vmlists.VmListStandin | undefined;
  #audit: serving.Server | undefined;

  constructor(file: platformFiles.PlatformFile, options: PlatformOptions = {}) {
    this.#file = file;
    this.#options = options;
    this.log = new logs.LogStandin(file.platform.retain_records);
  }

  /** Starts all parts and returns their addresses. */
  async start(): Promise<{ log: string; vmList: string; audit: string }> {
    const { platform } = this.#file;
    const vms: core.workers.VmRecord[] = this.#listEntryVms();
    for (const [name, section] of this.#file.workers)
      vms.push(...(await this.#startWorkers(name, section)));
    for (const [name, section] of this.#file.backends)
      vms.push(...(await this.#startBackends(name, section)));
    const vmList = new vmlists.VmListStandin(vms, platform.vm_list_lag_ms);
    this.#vmList = vmList;
    const [auditHost, auditPort] = this.#parseAddress(platform.audit);
    this.#audit = await serving.serve(
      auditHost,
      auditPort,
      (incoming, response) => this.handle(incoming, response),
    );
    this.fleet.startSampling();
    return {
      log: await this.log.start(...this.#parseAddress(platform.log)),
      vmList: await vmList.start(...this.#parseAddress(platform.vm_list)),
      audit: this.#audit.address,
    };
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.fleet.stop();
    const vms: VmStandin[] = [
      ...this.#workers.values(),
      ...this.#backends.values(),
    ];
    await Promise.all(vms.map((vm) => vm.stop()));
    await Promise.all([
      this.log.stop(),
      this.#vmList?.stop(),
      this.#audit?.stop(),
    ]);
  }

  /** The VM list; undefined before the start. */
  get vmList(): vmlists.VmListStandin | undefined {
    return this.#vmList;
  }

  /** Returns the worker with this VM id. */
  getWorker(id: core.ids.VmId): workers.WorkerStandin | undefined {
    return this.#workers.get(id);
  }

  /** Returns the backend server with this VM id. */
  getBackend(id: core.ids.VmId): backends.BackendStandin | undefined {
    return this.#backends.get(id);
  }

  /** Stops a worker or backend server as a failed VM: its connections close and its attempts are lost. */
  async failVm(id: core.ids.VmId): Promise<void> {
    await this.#workers.get(id)?.stop();
    await this.#backends.get(id)?.stop();
  }

  /** Returns the counts of all parts. */
  getAudit(): PlatformAudit {
    return {
      fleet: this.fleet.getAudit(),
      workers: [...this.#workers.values()].map((each) => each.getAudit()),
      backends: [...this.#backends.values()].map((each) => each.getAudit()),
      log: this.log.getAudit(),
    };
  }

  /** Answers one request to the audit address. */
  async handle(
    incoming: serving.Incoming,
    response: http.ServerResponse,
  ): Promise<void> {
    if (incoming.path === '/-/audit') {
      serving.respondJson(response, 200, this.getAudit());
      return;
    }
    if (incoming.path === '/-/control') {
      const control = serving.parseBody(incoming) as PlatformControl;
      for (const id of control.fail ?? []) await this.failVm(id);
      serving.respondJson(response, 200, {});
      return;
    }
    serving.respondJson(response, 404, {});
  }

  #listEntryVms(): core.workers.VmRecord[] {
    return [...this.#file.entries].map(([id, entry]) => ({
      id,
      role: 'entry',
      address: this.#options.entries?.get(id) ?? entry.links,
      availabilityZone: entry.availability_zone,
      region: this.#findRegion(entry.availability_zone),
      rack: `${entry.availability_zone}-entry`,
      state: 'live',
    }));
  }

  async #startWorkers(
    name: string,
    section: platformFiles.WorkersSection,
  ): Promise<core.workers.VmRecord[]> {
    const size = {
      cores: section.cores,
      memoryMb: section.memory_mb,
      gpus: section.gpus,
    };
    const started = this.#listLocations(name, section).map(async (location) => {
      const vm = new workers.WorkerStandin({
        id: location.id,
        size,
        pool: name,
        fleet: this.fleet,
        usageLagMs: this.#file.platform.usage_lag_ms,
      });
      this.#workers.set(location.id, vm);
      const address = await this.#startVm(vm, location.address);
      return {
        ...location,
        role: 'worker',
        address,
        state: 'live',
        size,
      } as const;
    });
    return Promise.all(started);
  }

  async #startBackends(
    name: string,
    section: platformFiles.BackendSection,
  ): Promise<core.workers.VmRecord[]> {
    const { slots, connections } = section;
    const started = this.#listLocations(name, section).map(async (location) => {
      const vm = new backends.BackendStandin({
        id: location.id,
        slots,
        connections,
      });
      this.#backends.set(location.id, vm);
      const address = await this.#startVm(vm, location.address);
      return {
        ...location,
        role: 'backend',
        backend: name,
        address,
        state: 'live',
      } as const;
    });
    return Promise.all(started);
  }

  #startVm(vm: VmStandin, address: string): Promise<string> {
    return vm.start(...this.#parseAddress(address));
  }

  #parseAddress(address: string): [string, number] {
    const [host = '', port = ''] = address.split(':');
    return [host, this.#options.freePorts === true ? 0 : Number(port)];
  }

  /** Distributes VMs to the zones round-robin; within a zone they fill one rack after another. */
  #listLocations(
    name: string,
    section: platformFiles.WorkersSection | platformFiles.BackendSection,
  ): VmLocation[] {
    const { zones } = section;
    return Array.from({ length: section.count }, (_, index) => {
      const availabilityZone = zones[index % zones.length] ?? '';
      const inZone = Math.floor(index / zones.length);
      const rack = Math.floor(inZone / section.per_rack) + 1;
      return {
        id: `${name}-${index + 1}`,
        address: formatAddress(section.first_address, section.step, index),
        availabilityZone,
        region: this.#findRegion(availabilityZone),
        rack: `${availabilityZone}-${name}-${rack}`,
      };
    });
  }

  #findRegion(zone: string): string {
    const region = this.#file.zones.get(zone)?.region;
    if (region === undefined) throw new Error(`no section [zone ${zone}]`);
    return region;
  }
}

/** Returns the address that follows `first` by `index` ports or host addresses. */
function formatAddress(
  first: string,
  step: 'port' | 'host',
  index: number,
): string {
  const [host = '', port = ''] = first.split(':');
  if (step === 'port') return `${host}:${Number(port) + index}`;
  const [a = 0, b = 0, c = 0, d = 0] = host.split('.').map(Number);
  // Skips host addresses that end in 0 or 255.
  const at = d - 1 + index;
  return `${a}.${b}.${c + Math.floor(at / 254)}.${(at % 254) + 1}:${port}`;
}
