/**
 * Simulation of shard owners, workers and the log in virtual time. Each process and
 * worker has its own clock, and the network can delay and lose calls. Processes can be
 * paused: messages that arrive during a pause are handled after it, before overdue timers.
 */
import * as core from '@flamingoward/core';
import * as fakeScheduler from './fakeScheduler.js';
import * as fakeWorker from './fakeWorker.js';
import * as stores from '../src/jobs/stores.js';
import * as daemon from '../src/types.js';
import * as workersPart from '../src/workers/workers.js';
import type * as types from '../src/workers/types.js';

export const region = 'muscat';
export const shard = `workers/${region}`;
const stepMs = 20;

/** Faults of the link from one process to one worker. */
export interface LinkFault {
  /** Whether calls are lost. */
  losesCalls: boolean;
  /** Additional delay of start calls on the way to the worker. */
  startDelayMs: number;
  /** Whether calls take effect but their answers are lost. */
  losesAnswers: boolean;
}

/** Log service with all streams in memory; while `away` is true it refuses every call. */
export class FakeLog {
  isUnavailable = false;
  readonly streams = new Map<string, core.records.LogRecord<unknown>[]>();

  getRecords(stream: string): core.records.LogRecord<unknown>[] {
    const known = this.streams.get(stream);
    if (known !== undefined) return known;
    const created: core.records.LogRecord<unknown>[] = [];
    this.streams.set(stream, created);
    return created;
  }

  append(stream: string, body: unknown): number {
    const records = this.getRecords(stream);
    const offset = records.length;
    records.push({ offset, id: `${stream}.${offset}`, body });
    return offset;
  }
}

interface Reader {
  next: number;
  readonly subject: core.Subject<core.records.LogRecord<never>>;
}

/** A process with the real stores and workers component, and fake dependencies. */
export class FakeProcess {
  isPaused = false;
  /** Delay between the append of a record and its arrival at this process. */
  readLagMs = 20;
  /** The same for the stream of claims; the larger one of the two applies. */
  claimsLagMs = 0;
  /** Whether appends take effect but their outcome is unknown. */
  loseAppendReplies = false;
  appendDelayMs = 5;
  /** Whether only this process can't reach the log. */
  isCutOffFromLog = false;
  /** Whether the process receives no heartbeats. */
  receivesNoHeartbeats = false;
  epoch: core.ids.Epoch | undefined;
  mustReadClaims = false;
  private pausedForMs = 0;
  readonly inbox: (() => void)[] = [];
  readonly timers: core.VirtualTimers;
  readonly jobs: stores.JobStore;
  readonly workers: workersPart.Workers;
  readonly context: daemon.PartContext;
  readonly streams: daemon.Streams;
  readonly ownership: daemon.Ownership;
  private readonly readers = new Map<string, Reader>();
  private readonly ownershipChanges =
    core.createSubject<daemon.OwnershipChange>();
  readonly vmChanges = core.createSubject<'vms' | 'peers'>();

  constructor(
    readonly cluster: Cluster,
    readonly name: string,
    offsetMs: number,
  ) {
    const inner = core.createVirtualTimers();
    // Clocks follow the simulation's time during a pause, as in a real process; only timers stop.
    this.timers = {
      ...inner,
      getNow: () => cluster.time.getNow() + offsetMs,
      getDate: () => cluster.time.getNow(),
    };
    this.context = {
      identity: {
        name,
        instance: `${name}/1`,
        region,
        availabilityZone: 'muscat-a',
        linksAddress: name,
      },
      timers: this.timers,
      log: {
        write: (level, event, fields) => {
          if (level === 'error')
            cluster.errors.push(`${event} ${JSON.stringify(fields)}`);
        },
      },
      metrics: {
        count: () => undefined,
        record: () => undefined,
        set: () => undefined,
        render: () => '',
      },
    };
    this.streams = this.createStreams();
    this.ownership = this.createOwnership();
    this.jobs = stores.createJobStore(this.context, this.streams);
    this.workers = workersPart.createWorkers(this.createWorkersDependencies());
  }

  /** Handles the messages that arrived; returns whether the process was paused until now. */
  handleInbox(): boolean {
    if (this.isPaused) return false;
    for (const run of this.inbox.splice(0)) run();
    return this.pausedForMs > 0;
  }

  /** Fires the timers that are due. */
  step(): void {
    if (this.isPaused) {
      this.pausedForMs += stepMs;
      return;
    }
    // The ownership component detects a pause only when its timer fires.
    if (this.pausedForMs > 500) this.mustReadClaims = true;
    this.timers.advance(stepMs + this.pausedForMs);
    this.pausedForMs = 0;
  }

  /** Takes the shard: by a claim in the log, or provisionally while the log is unavailable. */
  claimShard(): void {
    if (this.isPaused) return;
    const { log } = this.cluster;
    if (this.isLogUnavailable()) {
      const highest = this.cluster.getHighestEpoch();
      this.gainShard({ ...highest, provisional: highest.provisional + 1 });
      return;
    }
    this.deliver('claims', log.getRecords('claims').length);
    const offset = log.append('claims', { instance: this.name });
    this.gainShard({ offset, provisional: 0 });
    this.deliver('claims', offset + 1);
  }

  private isLogUnavailable(): boolean {
    return this.cluster.log.isUnavailable || this.isCutOffFromLog;
  }

  /** Gives up the shard, as after learning of a higher epoch. */
  loseShard(): void {
    const { epoch } = this;
    if (epoch === undefined) return;
    this.epoch = undefined;
    this.ownershipChanges.push({ change: 'lost', shard, epoch });
  }

  private gainShard(epoch: core.ids.Epoch): void {
    this.epoch = epoch;
    this.mustReadClaims = false;
    this.ownershipChanges.push({ change: 'gained', shard, epoch });
  }

  /** Delivers the records of a stream below an offset to its observers. */
  deliver(stream: string, below: number): void {
    const reader = this.openReader(stream);
    const records = this.cluster.log.getRecords(stream);
    while (reader.next < Math.min(below, records.length)) {
      const record = records[reader.next]!;
      reader.next += 1;
      if (stream === 'claims') this.applyClaim(record);
      reader.subject.push(record as core.records.LogRecord<never>);
    }
    if (stream === 'claims') this.mustReadClaims = false;
  }

  private applyClaim(record: core.records.LogRecord<unknown>): void {
    if (this.epoch !== undefined && record.offset > this.epoch.offset)
      this.loseShard();
  }

  private openReader(stream: string): Reader {
    const known = this.readers.get(stream);
    if (known !== undefined) return known;
    const reader = { next: 0, subject: core.createSubject() } as Reader;
    this.readers.set(stream, reader);
    return reader;
  }

  /** Reads all open streams up to their heads; the records arrive after the read lag. */
  poll(): void {
    if (this.isLogUnavailable() || this.isPaused) return;
    for (const stream of this.readers.keys()) {
      const below = this.cluster.log.getRecords(stream).length;
      const lagMs = stream === 'claims' ? this.claimsLagMs : 0;
      this.runLater(Math.max(this.readLagMs, lagMs), () => {
        this.deliver(stream, below);
      });
    }
  }

  /** Runs a callback after a delay, or after a pause of this process if that is later. */
  runLater(delayMs: number, run: () => void): void {
    this.cluster.runLater(delayMs, () => this.inbox.push(run));
  }

  private createStreams(): daemon.Streams {
    const { log } = this.cluster;
    const createAwayFault = () =>
      core.createFault('log-away', { step: 'test', peer: 'log' }, 'away');
    return {
      append: (stream, body) =>
        new Promise((resolve) => {
          // Delays the call on the way to the log, and the reply on the way back.
          this.cluster.runLater(this.appendDelayMs, () => {
            if (this.isLogUnavailable()) {
              const refused = {
                outcome: 'not-appended',
                reason: 'log-away',
              } as const;
              this.runLater(5, () => {
                resolve(refused);
              });
              return;
            }
            const offset = log.append(stream, body);
            const outcome: daemon.AppendOutcome = this.loseAppendReplies
              ? { outcome: 'unknown' }
              : { outcome: 'appended', offset };
            this.runLater(5, () => {
              resolve(outcome);
            });
          });
        }),
      open: <Body>(stream: string): daemon.StreamReader<Body> => {
        const reader = this.openReader(stream);
        return {
          records: reader.subject.stream,
          getNextOffset: () => reader.next,
          getHeadReadMs: () => this.timers.getNow(),
          waitFor: (offset) =>
            new Promise((resolve) => {
              const check = () => {
                if (reader.next >= offset) resolve();
                else this.runLater(stepMs, check);
              };
              check();
            }),
          waitForHead: () =>
            new Promise((resolve, reject) => {
              this.cluster.runLater(5, () => {
                const refused = this.isLogUnavailable();
                const head = log.getRecords(stream).length;
                this.runLater(5, () => {
                  if (refused) {
                    reject(createAwayFault());
                    return;
                  }
                  this.deliver(stream, head);
                  resolve();
                });
              });
            }),
        };
      },
      getUnreachableSinceMs: () => (this.isLogUnavailable() ? 0 : undefined),
      close: () => Promise.resolve(),
    };
  }

  private createOwnership(): daemon.Ownership {
    return {
      getOwner: () => this.cluster.getOwner(this),
      getEpoch: () => (this.mustReadClaims ? undefined : this.epoch),
      handleHigherEpoch: () => {
        this.loseShard();
      },
      changes: this.ownershipChanges.stream,
      releaseAll: () => Promise.resolve(),
    };
  }

  private createWorkersDependencies(): types.WorkersDependencies {
    const { cluster } = this;
    return {
      context: this.context,
      streams: this.streams,
      membership: cluster.createMembership(this),
      ownership: this.ownership,
      releases: cluster.createReleases(),
      jobs: this.jobs,
      client: cluster.createClient(this),
      createScheduler: () =>
        fakeScheduler.createFakeScheduler(
          (job) => job.spec.jobClass === 'once',
        ),
      options: {
        workerKind: 'plain',
        retentionMs: 600_000,
        maxStartsPerTick: 100,
        random: () => cluster.random(),
      },
    };
  }
}

export interface ClusterOptions {
  readonly workers: number;
  readonly processes: number;
  /** Whether workers refuse starts after their `startByMs`. */
  readonly checksStartBy?: boolean;
  readonly workerCores?: number;
}

/** Simulation of one region: processes, workers, log and network. */
export class Cluster {
  readonly time = core.createVirtualTimers();
  readonly log = new FakeLog();
  readonly workers: fakeWorker.FakeWorker[] = [];
  readonly processes: FakeProcess[] = [];
  readonly faults = new Map<string, LinkFault>();
  /** Workers that are missing from the VM list. */
  readonly unlisted = new Set<string>();
  /** Log lines of level error. */
  readonly errors: string[] = [];
  syncCalls = 0;
  /** Largest number of short sync calls that were open at the same time. */
  maxConcurrentCalls = 0;
  private openShortCalls = 0;
  private seed = 1;
  private submitted = 0;

  constructor(options: ClusterOptions) {
    for (let n = 0; n < options.workers; n += 1) {
      const size = { cores: options.workerCores ?? 4, memoryMb: 0, gpus: 0 };
      const vm: core.workers.VmRecord = {
        id: `w${n}`,
        role: 'worker',
        address: `w${n}`,
        availabilityZone: 'muscat-a',
        region,
        rack: 'r1',
        state: 'live',
        size,
      };
      // Clocks differ in offset by hours and in rate by up to 2%.
      const rate = 1 + 0.02 * (n % 3) - 0.02;
      const readClock = () => 3_600_000 * n + rate * this.time.getNow();
      this.workers.push(
        new fakeWorker.FakeWorker(vm, readClock, options.checksStartBy),
      );
    }
    for (let n = 0; n < options.processes; n += 1)
      this.processes.push(new FakeProcess(this, `p${n}`, 1_000_000 * n));
  }

  /** Returns the next number of a seeded random generator, which makes runs reproducible. */
  random(): number {
    this.seed = (this.seed * 48_271) % 2_147_483_647;
    return this.seed / 2_147_483_647;
  }

  runLater(delayMs: number, run: () => void): void {
    this.time.subscribe({ name: 'test', delayMs, repeat: 'once' }, run);
  }

  /** Returns the faults of the link from a process to a worker, which the test may change. */
  getLinkFault(process: FakeProcess, worker: string): LinkFault {
    const key = `${process.name}/${worker}`;
    const known = this.faults.get(key);
    if (known !== undefined) return known;
    const created = { losesCalls: false, startDelayMs: 0, losesAnswers: false };
    this.faults.set(key, created);
    return created;
  }

  /** Appends an accepted job to the log. */
  submit(spec: Partial<core.jobs.JobSpec>): string {
    this.submitted += 1;
    const job = `j${this.submitted}`;
    const body: core.records.JobRecord = {
      type: 'accepted',
      job,
      spec: { ...baseSpec, ...spec },
      urgency: 'normal',
      shard,
      release: 'r1',
      acceptedMs: this.time.getNow(),
    };
    this.log.append('jobs', body);
    return job;
  }

  getHighestEpoch(): core.ids.Epoch {
    const own = this.processes.map((process) => process.epoch);
    const log = this.log.getRecords('claims').length - 1;
    const all = [{ offset: log, provisional: 0 }, ...own];
    return all
      .filter((epoch) => epoch !== undefined)
      .sort(core.compareEpochs)
      .at(-1)!;
  }

  getOwner(asking: FakeProcess): daemon.OwnerView | undefined {
    const owner = this.processes
      .filter((process) => process.epoch !== undefined)
      .sort((a, b) => core.compareEpochs(a.epoch!, b.epoch!))
      .at(-1);
    if (owner?.epoch === undefined) return undefined;
    return {
      shard,
      instance: owner.context.identity.instance,
      process: owner.name,
      epoch: owner.epoch,
      self: owner === asking,
    };
  }

  /** Advances time in steps and calls `check` after each. */
  async run(ms: number, check: () => void = () => undefined): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.time.advance(stepMs);
      for (const worker of this.workers) worker.step();
      const resumed = this.processes.filter((process) => process.handleInbox());
      if (resumed.length > 0) await settle();
      for (const process of this.processes) process.step();
      if (this.time.getNow() % 40 === 0)
        for (const process of this.processes) process.poll();
      if (this.time.getNow() % 240 === 0) this.exchangeHeartbeats();
      await settle();
      check();
    }
  }

  /** Exchanges heartbeats: each running process gives up the shard when a peer has a higher epoch. */
  private exchangeHeartbeats(): void {
    const live = this.processes.filter((process) => !process.isPaused);
    for (const process of live.filter(
      (receiver) => !receiver.receivesNoHeartbeats,
    ))
      for (const peer of live)
        if (
          process.epoch !== undefined &&
          peer.epoch !== undefined &&
          core.compareEpochs(process.epoch, peer.epoch) < 0
        )
          process.runLater(5, () => {
            process.loseShard();
          });
  }

  createMembership(process: FakeProcess): daemon.Membership {
    return {
      listVms: () =>
        this.workers
          .map((worker) => worker.vm)
          .filter((vm) => !this.unlisted.has(vm.id)),
      listPeers: () => [],
      listCandidates: () => [],
      changes: process.vmChanges.stream,
    };
  }

  createReleases(): daemon.Releases {
    const entry = {
      kind: 'class',
      floor: 0,
      preemptible: false,
      maxWaitMs: 1e9,
      urgency: 'normal',
    } as const;
    const state: core.releases.ReleaseState = {
      current: 'r1',
      offset: 0,
      services: new Map(),
      classes: new Map([
        ['plain', { ...entry, name: 'plain', idempotent: true }],
        ['once', { ...entry, name: 'once', idempotent: false }],
      ]),
      teams: new Map([
        [
          'roof',
          {
            kind: 'team',
            name: 'roof',
            weight: 1,
            quota: { cores: 100, memoryMb: 100, gpus: 100 },
          },
        ],
      ]),
      backends: new Map(),
      history: [],
    };
    return {
      getState: () => state,
      isReady: () => true,
      changes: core.createSubject<never>().stream,
      publish: () => Promise.reject(new Error('not used')),
      getAcceptance: () => {
        throw new Error('not used');
      },
    };
  }

  createClient(process: FakeProcess): types.WorkerClient {
    const send = <T>(
      worker: string,
      delayMs: number,
      call: (target: fakeWorker.FakeWorker, answer: (value: T) => void) => void,
    ): Promise<T> => {
      const link = this.getLinkFault(process, worker);
      const target = this.workers.find((known) => known.vm.id === worker)!;
      return new Promise((resolve) => {
        if (link.losesCalls) return;
        this.runLater(1 + delayMs, () => {
          call(target, (value) => {
            if (link.losesCalls || link.losesAnswers) return;
            process.runLater(1, () => {
              resolve(value);
            });
          });
        });
      });
    };
    return {
      sync: async (worker, request) => {
        const short = request.waitMs === 0 ? 1 : 0;
        this.syncCalls += 1;
        this.openShortCalls += short;
        this.maxConcurrentCalls = Math.max(
          this.maxConcurrentCalls,
          this.openShortCalls,
        );
        const report = await send<core.workers.SyncReport>(
          worker,
          0,
          (target, answer) => {
            target.sync(request, answer);
          },
        );
        this.openShortCalls -= short;
        return report;
      },
      start: (worker, request) =>
        send(
          worker,
          this.getLinkFault(process, worker).startDelayMs,
          (target, answer) => {
            answer(target.start(request));
          },
        ),
      stop: (worker, _session, attempt) =>
        send(worker, 0, (target, answer) => {
          target.stop(attempt);
          answer(undefined);
        }),
      checkpoint: () => Promise.resolve(),
      throttle: () => Promise.resolve(),
    };
  }
}

export const baseSpec: core.jobs.JobSpec = {
  kind: 'batch',
  name: 'cut',
  team: 'roof',
  jobClass: 'plain',
  count: 1,
  size: { cores: 1, memoryMb: 0, gpus: 0 },
  declaredMs: 3_000,
  work: { runMs: 3_000 },
};

/** Waits until pending promise callbacks have run. */
export async function settle(): Promise<void> {
  for (let n = 0; n < 2; n += 1)
    await new Promise((resolve) => setImmediate(resolve));
}

/**
 * Checks by the state of the workers that no task runs on two of them and none runs more
 * cores than it has. Returns the violations and the logged errors.
 */
export function listViolations(cluster: Cluster): string[] {
  const violations = [...cluster.errors];
  const vmByTask = new Map<string, string>();
  for (const worker of cluster.workers) {
    let cores = 0;
    for (const task of worker.listRunning()) {
      const key = `${task.jobId}#${task.index}`;
      const other = vmByTask.get(key);
      if (other !== undefined)
        violations.push(`${key} runs on ${other} and ${worker.vm.id}`);
      vmByTask.set(key, worker.vm.id);
      cores += task.size.cores;
    }
    if (cores > (worker.vm.size?.cores ?? 0))
      violations.push(`${worker.vm.id} runs ${cores} cores`);
  }
  return violations;
}
