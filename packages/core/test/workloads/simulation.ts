/**
 * Simulation for property tests of the workload scheduler: commands are lost, delayed or
 * answered late, VMs crash and restart as a new incarnation, owners are replaced while
 * their commands are in flight, and the store confirms late. Each VM checks the
 * scheduler's invariants at every start.
 */
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

type TaskKey = core.workloads.TaskKey;

interface Running {
  readonly task: TaskKey;
  readonly run: number;
  percent: number;
}

interface SimVm {
  entry: core.workloads.VmEntry;
  /** Capacities, each with the time from which the VM had it. */
  readonly capacities: {
    readonly sinceMs: number;
    readonly capacity: core.resources.Resources;
  }[];
  incarnation: number;
  isUp: boolean;
  partitioned: boolean;
  fence: number;
  leaseEndMs: number;
  readonly running: Map<string, Running>;
  /** Highest run number that was stopped or has ended, by task. */
  readonly closedRuns: Map<string, number>;
  ended: core.workloads.ReportedEnd[];
  nextEnd: number;
}

interface Owner {
  readonly fence: number;
  readonly scheduler: core.workloads.WorkloadScheduler;
  isAlive: boolean;
  batch:
    | { readonly batch: core.workloads.RecordBatch; readonly dueMs: number }
    | undefined;
  /** Latest time until which a lease granted by this owner may be valid, by VM. */
  readonly leaseEndMs: Map<string, number>;
  readonly unresponsiveVms: Set<string>;
  readonly lostVms: Set<string>;
}

interface Message {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Faults that a simulation generates. */
export interface Faults {
  /** Share of commands that get no answer and are carried out late or never. */
  readonly lateCommandShare: number;
  readonly crashes: boolean;
  readonly partitions: boolean;
  readonly takeovers: boolean;
  readonly slowStore: boolean;
  /** Whether the capacities of VMs shrink and grow. */
  readonly resizes: boolean;
  /** Whether jobs belong to workspaces, whose limits fall and rise. */
  readonly workspaces?: boolean;
  /** Tasks of every so many jobs that crash the VMs that start them, after at most this delay. */
  readonly guilty?: { readonly everyJobs: number; readonly maxDelayMs: number };
}

const FULL_CAPACITY = { cores: 4, memoryMb: 4_000, gpus: 2 };
/** Limits of the workspaces, well below the capacity of all VMs. */
const FULL_LIMITS: readonly core.resources.Resources[] = [
  { cores: 4, memoryMb: Infinity, gpus: 2 },
  { cores: 8, memoryMb: 900, gpus: 4 },
];
/** Workspace of the service jobs, which would keep others from their limit for good. */
const SERVICE_LIMIT = { cores: 3, memoryMb: Infinity, gpus: Infinity };
/** Longest time from the decision about a start, under the limits of that time, until the start arrives in time. */
const START_DECISION_MS = 1_000;
/** Longest time until the owner knows the new capacity of a VM. */
const RESIZE_NOTICE_MS = 300;
/** Longest time until a command arrives that isn't late. */
const COMMAND_MS = 40;
const LATE_COMMAND_MS = 4_000;
const LEASE_MS = 3_000;
const INHERITED_RUN_TIMEOUT_MS = 5_000;
const RUNS_PER_FENCE = 1_000_000;

/** A simulation; the same seed and faults give the same run. */
export class Simulation {
  private nowMs = 1_000;
  private randomState: number;
  private readonly messages: Message[] = [];
  private readonly vms = new Map<string, SimVm>();
  private readonly jobs = new Map<string, core.workloads.Job>();
  private readonly cancelled = new Set<string>();
  private readonly progress = new Map<string, string>();
  private readonly finals = new Map<string, core.workloads.FinalState>();
  /** Tasks whose end `done` the owner has acknowledged to the VM. */
  private readonly acknowledgedDone = new Set<string>();
  /** Tasks that have ended as `done`, whether acknowledged or not. */
  private readonly doneTasks = new Set<string>();
  private readonly failures = new Map<string, Set<number>>();
  private owner: Owner | undefined;
  private fences = 0;
  /** Crashes of VMs by guilty task, and its starts after the third of them. */
  private readonly guiltyTasks = new Map<
    string,
    { crashes: number; readonly lateRuns: Set<number> }
  >();
  /** Crashes of VMs under each task, or gang. */
  private readonly crashesUnder = new Map<string, number>();
  private readonly givenUp = new Set<string>();
  /** Limits of each workspace, each with the time from which it was in force. */
  private readonly limits = new Map<
    string,
    { readonly sinceMs: number; readonly limit: core.resources.Resources }[]
  >();
  readonly violations: string[] = [];
  /** Largest share of a limit in force that its workspace used at the start of a run. */
  largestUse = 0;

  constructor(
    seed: number,
    private readonly faults: Faults,
  ) {
    this.randomState = seed * 2_654_435_761 + 1;
    for (let index = 0; index < 6; index += 1) this.addVm(`vm${index}`);
    if (faults.workspaces === true) {
      this.limits.set('services', [{ sinceMs: 0, limit: SERVICE_LIMIT }]);
      FULL_LIMITS.forEach((limit, index) => {
        this.limits.set(`workspace${index}`, [{ sinceMs: 0, limit }]);
      });
    }
    this.replaceOwner(false);
  }

  private random(): number {
    this.randomState =
      (Math.imul(this.randomState ^ (this.randomState >>> 15), 2_246_822_519) +
        3_266_489_917) >>>
      0;
    const mixed =
      Math.imul(this.randomState ^ (this.randomState >>> 13), 3_266_489_917) >>>
      0;
    return (mixed ^ (mixed >>> 16)) / 4_294_967_296 + (mixed < 0 ? 1 : 0);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[
      Math.min(
        items.length - 1,
        Math.floor(Math.abs(this.random()) * items.length),
      )
    ]!;
  }

  private chance(share: number): boolean {
    return Math.abs(this.random()) < share;
  }

  private addVm(id: string): void {
    this.vms.set(id, {
      entry: harnesses.createEntry(id, { capacity: FULL_CAPACITY }),
      capacities: [{ sinceMs: -Infinity, capacity: FULL_CAPACITY }],
      incarnation: 1,
      isUp: true,
      partitioned: false,
      fence: 0,
      leaseEndMs: 0,
      running: new Map(),
      closedRuns: new Map(),
      ended: [],
      nextEnd: 1,
    });
  }

  private send(delayMs: number, deliver: () => void): void {
    this.messages.push({ dueMs: this.nowMs + delayMs, deliver });
  }

  /** Adds a job of random shape. */
  addJob(): void {
    const id = `job${this.jobs.size}`;
    const gang = this.chance(0.2);
    const lasts = !gang && this.chance(0.1);
    const steps = this.chance(0.3) && !gang && !lasts ? 2 : 1;
    const policy: core.workloads.QueuePolicy = {
      name: 'queue',
      pool: 'pool',
      priority: this.pick([0, 1, 2]),
      attempts: 3,
      stretch: 2,
      slackMs: 500,
      advice: undefined,
    };
    const job: core.workloads.Job = {
      id,
      queue: 'queue',
      payload: id,
      policy,
      configVersion: 1,
      acceptedAtMs: this.nowMs,
      schedule: undefined,
      steps: Array.from({ length: steps }, (_, index) => ({
        count: this.pick([1, 2, 3, 4]),
        size: {
          cores: this.pick([0.5, 1, 2]),
          memoryMb: 100,
          gpus: this.pick([0, 0, 1]),
        },
        estimateMs: 500,
        after: index === 0 ? [] : [index - 1],
        savesProgress: this.chance(0.5),
        gang,
        oneRack: false,
        label: undefined,
        dataRack: undefined,
        maxPerVm: this.pick([undefined, 1]),
        allowsCopies: false,
        lasts,
        image: undefined,
        targetMs: undefined,
        fills: false,
        mayMiss: undefined,
      })),
    };
    if (job.steps.some((step) => step.count > 6)) return;
    const workspace = this.chooseWorkspace(job);
    if (workspace !== undefined && this.exceedsLimit(job, workspace)) return;
    const accepted = workspace === undefined ? job : { ...job, workspace };
    this.jobs.set(id, accepted);
    const { guilty } = this.faults;
    if (guilty !== undefined && this.jobs.size % guilty.everyJobs === 0)
      this.guiltyTasks.set(`${id}.0.0.0`, {
        crashes: 0,
        lateRuns: new Set(),
      });
    this.owner?.scheduler.acceptJob(accepted, 0, this.nowMs, this.nowMs);
  }

  private chooseWorkspace(job: core.workloads.Job): string | undefined {
    if (this.faults.workspaces !== true) return undefined;
    if (job.steps.some(({ lasts }) => lasts)) return 'services';
    return this.pick(['workspace0', 'workspace1', undefined]);
  }

  private exceedsLimit(job: core.workloads.Job, workspace: string): boolean {
    const limit = this.limits.get(workspace)![0]!.limit;
    return job.steps.some(({ size, count, gang }) =>
      core.resources.resourceNames.some(
        (name) => size[name] * (gang ? count : 1) > limit[name],
      ),
    );
  }

  private setLimit(workspace: string, limit: core.resources.Resources): void {
    this.limits.get(workspace)!.push({ sinceMs: this.nowMs, limit });
    this.owner?.scheduler.setWorkspaces(this.buildWorkspaces());
  }

  private buildWorkspaces(): ReadonlyMap<
    string,
    core.workloads.WorkspacePolicy
  > {
    return new Map(
      [...this.limits].map(([name, limits]) => [
        name,
        { name, weight: 1, priority: 1, limit: limits.at(-1)!.limit },
      ]),
    );
  }

  /** Compares what all VMs run of a workspace with the limits under which a start that arrives now may have been decided. */
  private checkLimit(workspace: string, name: string): void {
    const sinceMs =
      this.nowMs -
      START_DECISION_MS -
      (this.faults.lateCommandShare > 0 ? LATE_COMMAND_MS : COMMAND_MS);
    const used = { cores: 0, memoryMb: 0, gpus: 0 };
    for (const { running } of this.vms.values())
      for (const { task } of running.values()) {
        const job = this.jobs.get(task.job)!;
        const { size } = job.steps[task.step]!;
        if (job.workspace !== workspace) continue;
        for (const kind of core.resources.resourceNames)
          used[kind] += size[kind];
      }
    const limits = this.limits.get(workspace)!;
    const inForce = limits.filter(
      (_, index) => (limits[index + 1]?.sinceMs ?? Infinity) >= sinceMs,
    );
    for (const kind of core.resources.resourceNames) {
      const limit = Math.max(...inForce.map((entry) => entry.limit[kind]));
      if (limit > 0)
        this.largestUse = Math.max(this.largestUse, used[kind] / limit);
      if (used[kind] > limit + 1e-6)
        this.violations.push(
          `${this.nowMs}: ${name} starts, and ${workspace} uses ${used[kind]} ${kind} of ${limit}`,
        );
    }
  }

  private cancelJob(): void {
    if (this.jobs.size === 0) return;
    const id = this.pick([...this.jobs.keys()]);
    this.cancelled.add(id);
    this.owner?.scheduler.cancelJob(id, this.nowMs);
  }

  private replaceOwner(keepsOld: boolean): void {
    if (this.owner !== undefined) {
      // A batch in flight may still be written before the new owner's fence takes effect.
      const openBatch = this.owner.batch;
      if (openBatch !== undefined && this.chance(0.5))
        this.store(openBatch.batch);
      this.owner.batch = undefined;
      this.owner.isAlive = keepsOld && false;
    }
    this.fences += 1;
    const fence = this.fences;
    const scheduler = core.workloads.createWorkloadScheduler({
      bounds: {
        inheritedRunTimeoutMs: INHERITED_RUN_TIMEOUT_MS,
        longestStopMs: harnesses.LONGEST_STOP_MS,
        firstRun: fence * RUNS_PER_FENCE + 1,
        maxRecordBytes: 262_144,
      },
      unrecordedStarts: false,
      nowMs: this.nowMs,
    });
    for (const [id, job] of this.jobs) {
      if (this.finals.has(id)) continue;
      scheduler.restoreJob(
        job,
        core.workloads.splitProgress(this.progress).get(id),
        this.nowMs - job.acceptedAtMs,
        this.nowMs,
        this.nowMs,
      );
      if (this.cancelled.has(id)) scheduler.cancelJob(id, this.nowMs);
    }
    for (const vm of this.vms.values())
      scheduler.setVmEntry(vm.entry.id, vm.entry, this.nowMs);
    scheduler.setWorkspaces(this.buildWorkspaces());
    this.owner = {
      fence,
      scheduler,
      isAlive: true,
      batch: undefined,
      leaseEndMs: new Map(
        [...this.vms.keys()].map((id) => [
          id,
          this.nowMs + INHERITED_RUN_TIMEOUT_MS,
        ]),
      ),
      unresponsiveVms: new Set(),
      lostVms: new Set(),
    };
  }

  private store(batch: core.workloads.RecordBatch): void {
    for (const [id, text] of batch.progress) this.progress.set(id, text);
    for (const [id, state] of batch.finals) this.finals.set(id, state);
    for (const id of batch.dropped) this.progress.delete(id);
  }

  private crash(vm: SimVm): void {
    for (const { task } of vm.running.values()) {
      const name = this.formatSuspect(task);
      this.crashesUnder.set(name, (this.crashesUnder.get(name) ?? 0) + 1);
    }
    vm.isUp = false;
    vm.running.clear();
    vm.closedRuns.clear();
    vm.ended = [];
    vm.nextEnd = 1;
    vm.fence = 0;
    vm.leaseEndMs = 0;
    vm.incarnation += 1;
    this.send(300 + Math.abs(this.random()) * 4_000, () => {
      vm.isUp = true;
      vm.entry = { ...vm.entry, incarnation: vm.incarnation };
      this.owner?.scheduler.setVmEntry(vm.entry.id, vm.entry, this.nowMs);
    });
  }

  private endRun(vm: SimVm, key: string, how: core.workloads.RunEnd): void {
    const run = vm.running.get(key);
    if (run === undefined) return;
    vm.running.delete(key);
    const name = core.workloads.formatTask(run.task);
    vm.closedRuns.set(name, Math.max(vm.closedRuns.get(name) ?? 0, run.run));
    vm.ended.push({
      number: vm.nextEnd,
      task: run.task,
      run: run.run,
      how,
      saved: '',
    });
    vm.nextEnd += 1;
    if (how === 'done') this.doneTasks.add(name);
  }

  private receiveStart(
    vm: SimVm,
    incarnation: number,
    command: Extract<core.workloads.Command, { command: 'start' }>,
    fence: number,
    untilMs: number,
  ): core.workloads.StartOutcome | undefined {
    if (!vm.isUp || vm.partitioned) return undefined;
    if (vm.incarnation !== incarnation) return 'other-life';
    if (fence < vm.fence) return 'fenced';
    vm.fence = fence;
    vm.leaseEndMs = Math.max(
      vm.leaseEndMs,
      Math.min(untilMs, this.nowMs + LEASE_MS),
    );
    if (untilMs <= this.nowMs) return 'late';
    const name = core.workloads.formatTask(command.task);
    if (command.run <= (vm.closedRuns.get(name) ?? 0)) return 'old';
    const key = `${name}#${command.run}`;
    if (vm.running.has(key)) return 'started';
    this.checkStart(vm, command);
    vm.running.set(key, { task: command.task, run: command.run, percent: 0 });
    const workspace = this.jobs.get(command.task.job)?.workspace;
    if (workspace !== undefined) this.checkLimit(workspace, key);
    this.startGuilty(vm, command);
    return 'started';
  }

  private startGuilty(
    vm: SimVm,
    { task, run }: Extract<core.workloads.Command, { command: 'start' }>,
  ): void {
    const name = core.workloads.formatTask(task);
    const guilty = this.guiltyTasks.get(name);
    if (guilty === undefined) return;
    if (guilty.crashes >= 3) guilty.lateRuns.add(run);
    if (guilty.lateRuns.size > 2)
      this.violations.push(
        `${this.nowMs}: ${name} started ${guilty.lateRuns.size} times after it had crashed three VMs`,
      );
    const { incarnation } = vm;
    this.send(
      Math.abs(this.random()) * (this.faults.guilty?.maxDelayMs ?? 0),
      () => {
        const isRunning = vm.running.has(`${name}#${run}`);
        if (vm.incarnation !== incarnation || !vm.isUp || !isRunning) return;
        guilty.crashes += 1;
        this.crash(vm);
      },
    );
  }

  /** Lists the healthy tasks that were given up. */
  listWronglyGivenUp(): readonly string[] {
    const guilty = new Set(
      [...this.guiltyTasks.keys()].map((name) =>
        this.formatSuspect(core.workloads.parseTask(name)!),
      ),
    );
    return [...this.givenUp].filter((name) => !guilty.has(name));
  }

  /** Lists the tasks that were given up although fewer than two VMs had crashed under them. */
  listGivenUpEarly(): readonly string[] {
    return [...this.givenUp].filter(
      (name) => (this.crashesUnder.get(name) ?? 0) < 2,
    );
  }

  private checkStart(
    vm: SimVm,
    command: Extract<core.workloads.Command, { command: 'start' }>,
  ): void {
    const name = core.workloads.formatTask(command.task);
    const job = this.jobs.get(command.task.job);
    const step = job?.steps[command.task.step];
    if (job === undefined || step === undefined) {
      this.violations.push(`${name} was never submitted`);
      return;
    }
    for (const other of this.vms.values())
      for (const run of other.running.values())
        if (core.workloads.formatTask(run.task) === name)
          this.violations.push(
            `${this.nowMs}: ${name}#${command.run} started while #${run.run} runs on ${other.entry.id}`,
          );
    if (this.acknowledgedDone.has(name) && !step.lasts)
      this.violations.push(
        `${this.nowMs}: ${name} started after its end was acknowledged`,
      );
    for (const index of step.after)
      for (let task = 0; task < job.steps[index]!.count; task += 1)
        if (!this.doneTasks.has(`${job.id}.0.${index}.${task}`))
          this.violations.push(`${name} started before step ${index} was done`);
    const used = { cores: 0, memoryMb: 0, gpus: 0 };
    let same = 0;
    for (const run of vm.running.values()) {
      const size = this.jobs.get(run.task.job)!.steps[run.task.step]!.size;
      used.cores += size.cores;
      used.gpus += size.gpus;
      if (run.task.job === job.id && run.task.step === command.task.step)
        same += 1;
    }
    const limit = this.getCapacityLimit(vm);
    if (
      used.cores + step.size.cores > limit.cores + 1e-6 ||
      used.gpus + step.size.gpus > limit.gpus
    )
      this.violations.push(
        `${this.nowMs}: ${name} exceeds the capacity of ${vm.entry.id}`,
      );
    if (step.maxPerVm !== undefined && same >= step.maxPerVm)
      this.violations.push(
        `${this.nowMs}: ${name} exceeds the maximum number of tasks of its step on one VM`,
      );
    const failed = this.failures.get(
      step.gang ? `${job.id}.0.${command.task.step}` : name,
    );
    if (!step.lasts && (failed?.size ?? 0) >= job.policy.attempts)
      this.violations.push(
        `${this.nowMs}: ${name} started after all its attempts had failed`,
      );
  }

  /** Returns what a start that arrives now may fill: the largest capacity that its sender may have known. */
  private getCapacityLimit(vm: SimVm): core.resources.Resources {
    const commandMs =
      this.faults.lateCommandShare > 0 ? LATE_COMMAND_MS : COMMAND_MS;
    const sinceMs = this.nowMs - RESIZE_NOTICE_MS - commandMs;
    const limit = { cores: 0, memoryMb: 0, gpus: 0 };
    vm.capacities.forEach(({ capacity }, index) => {
      const next = vm.capacities[index + 1];
      if (next !== undefined && next.sinceMs < sinceMs) return;
      limit.cores = Math.max(limit.cores, capacity.cores);
      limit.memoryMb = Math.max(limit.memoryMb, capacity.memoryMb);
      limit.gpus = Math.max(limit.gpus, capacity.gpus);
    });
    return limit;
  }

  private resize(vm: SimVm, capacity: core.resources.Resources): void {
    vm.capacities.push({ sinceMs: this.nowMs, capacity });
    this.send(Math.abs(this.random()) * RESIZE_NOTICE_MS, () => {
      const known = vm.capacities.at(-1)?.capacity ?? capacity;
      vm.entry = { ...vm.entry, capacity: known };
      this.owner?.scheduler.setVmEntry(vm.entry.id, vm.entry, this.nowMs);
    });
  }

  private execute(owner: Owner, command: core.workloads.Command): void {
    const vm = this.vms.get('vm' in command ? command.vm : '');
    if (vm === undefined) return;
    const { incarnation } = vm;
    const { scheduler, fence } = owner;
    switch (command.command) {
      case 'start': {
        const untilMs = this.nowMs + LEASE_MS;
        owner.leaseEndMs.set(
          command.vm,
          Math.max(owner.leaseEndMs.get(command.vm) ?? 0, untilMs + 100),
        );
        const isLate = this.chance(this.faults.lateCommandShare);
        this.send(
          isLate
            ? Math.abs(this.random()) * LATE_COMMAND_MS
            : 5 + Math.abs(this.random()) * 20,
          () => {
            const outcome = this.receiveStart(
              vm,
              incarnation,
              command,
              fence,
              untilMs,
            );
            if (isLate || outcome === undefined || !owner.isAlive) return;
            this.send(5, () => {
              if (owner.isAlive)
                scheduler.applyStart(
                  command.vm,
                  command.task,
                  command.run,
                  outcome,
                  this.nowMs,
                );
            });
          },
        );
        this.send(500, () => {
          if (owner.isAlive)
            scheduler.applyStart(
              command.vm,
              command.task,
              command.run,
              'unknown',
              this.nowMs,
            );
        });
        return;
      }
      case 'stop':
        this.send(5 + Math.abs(this.random()) * 30, () => {
          if (
            !vm.isUp ||
            vm.partitioned ||
            vm.incarnation !== incarnation ||
            fence < vm.fence ||
            this.chance(this.faults.lateCommandShare)
          )
            return;
          vm.fence = fence;
          const name = core.workloads.formatTask(command.task);
          vm.closedRuns.set(
            name,
            Math.max(vm.closedRuns.get(name) ?? 0, command.run),
          );
          this.send(20 + Math.abs(this.random()) * 200, () => {
            if (vm.incarnation === incarnation)
              this.endRun(vm, `${name}#${command.run}`, 'stopped');
          });
          this.send(5, () => {
            if (owner.isAlive)
              scheduler.applyStop(
                command.vm,
                command.task,
                command.run,
                true,
                this.nowMs,
              );
          });
        });
        return;
      case 'poll':
        this.renewLease(owner, vm);
        return;
      case 'advise':
      case 'pace':
    }
  }

  private renewLease(owner: Owner, vm: SimVm): void {
    const id = vm.entry.id;
    const askedMs = this.nowMs;
    if (!vm.isUp || vm.partitioned) {
      owner.unresponsiveVms.add(id);
      owner.scheduler.suspendVm(id);
      if (
        this.nowMs > (owner.leaseEndMs.get(id) ?? 0) &&
        !owner.lostVms.has(id)
      ) {
        owner.lostVms.add(id);
        owner.scheduler.loseVm(id, this.nowMs);
      }
      return;
    }
    if (owner.fence < vm.fence) return;
    vm.fence = owner.fence;
    owner.lostVms.delete(id);
    const durableEnd = owner.scheduler.getDurableEnd(id);
    for (const end of vm.ended)
      if (end.number <= durableEnd) {
        const name = core.workloads.formatTask(end.task);
        if (end.how === 'done') this.acknowledgedDone.add(name);
        if (end.how === 'failed') {
          const step = this.jobs.get(end.task.job)!.steps[end.task.step]!;
          const key = step.gang ? `${end.task.job}.0.${end.task.step}` : name;
          this.failures.set(
            key,
            (this.failures.get(key) ?? new Set()).add(end.run),
          );
        }
      }
    vm.ended = vm.ended.filter(({ number }) => number > durableEnd);
    vm.leaseEndMs = this.nowMs + LEASE_MS;
    owner.leaseEndMs.set(id, this.nowMs + LEASE_MS + 100);
    const report: core.workloads.VmReport = {
      incarnation: vm.incarnation,
      running: [...vm.running.values()].map((run) => ({
        ...run,
        saved: '',
        load: 0,
      })),
      ended: [...vm.ended],
      requestSentMs: askedMs,
    };
    this.send(2 + Math.abs(this.random()) * 40, () => {
      if (owner.isAlive) owner.scheduler.applyReport(id, report, this.nowMs);
    });
  }

  private advanceRuns(vm: SimVm): void {
    for (const [key, run] of [...vm.running]) {
      if (this.nowMs > vm.leaseEndMs) {
        this.endRun(vm, key, 'lapsed');
        continue;
      }
      const step = this.jobs.get(run.task.job)!.steps[run.task.step]!;
      if (step.gang && !this.isGangComplete(run)) continue;
      run.percent = Math.min(
        100,
        run.percent + 2 + Math.floor(Math.abs(this.random()) * 10),
      );
      if (step.lasts) {
        if (this.chance(0.002)) this.endRun(vm, key, 'failed');
      } else if (run.percent === 100) this.endRun(vm, key, 'done');
      else if (this.chance(0.004)) this.endRun(vm, key, 'failed');
    }
  }

  /** Formats a task, or the gang that it belongs to. */
  private formatSuspect(task: TaskKey): string {
    const { gang } = this.jobs.get(task.job)!.steps[task.step]!;
    return gang
      ? core.workloads.formatStep(task)
      : core.workloads.formatTask(task);
  }

  private isGangComplete(run: Running): boolean {
    const { count } = this.jobs.get(run.task.job)!.steps[run.task.step]!;
    let startedMembers = 0;
    for (const vm of this.vms.values())
      for (const other of vm.running.values())
        if (other.run === run.run && other.task.job === run.task.job)
          startedMembers += 1;
    return startedMembers === count || run.percent > 0;
  }

  private tick(owner: Owner): void {
    const decision = owner.scheduler.tick(this.nowMs, this.nowMs);
    for (const { task } of decision.givenUpTasks)
      this.givenUp.add(this.formatSuspect(task));
    for (const command of decision.commands) this.execute(owner, command);
    if (decision.batch !== undefined)
      owner.batch = {
        batch: decision.batch,
        dueMs:
          this.nowMs + (this.faults.slowStore && this.chance(0.2) ? 400 : 10),
      };
    if (owner.batch === undefined || owner.batch.dueMs > this.nowMs) return;
    this.store(owner.batch.batch);
    owner.batch = undefined;
    for (const command of owner.scheduler.confirmBatch())
      this.execute(owner, command);
  }

  /** Advances the simulation by 10 ms. */
  step(faulty: boolean): void {
    this.nowMs += 10;
    const due = this.messages.filter(({ dueMs }) => dueMs <= this.nowMs);
    for (const message of due)
      this.messages.splice(this.messages.indexOf(message), 1);
    for (const message of due) message.deliver();
    for (const vm of this.vms.values()) this.advanceRuns(vm);
    const { owner } = this;
    if (owner !== undefined) {
      for (const vm of this.vms.values())
        if (this.chance(0.15)) this.renewLease(owner, vm);
      this.tick(owner);
    }
    if (faulty) this.applyFaults();
    else
      for (const vm of this.vms.values()) {
        vm.partitioned = false;
        if (vm.capacities.at(-1)?.capacity !== FULL_CAPACITY)
          this.resize(vm, FULL_CAPACITY);
      }
    if (!faulty && this.faults.workspaces === true)
      FULL_LIMITS.forEach((limit, index) => {
        const name = `workspace${index}`;
        if (this.limits.get(name)!.at(-1)!.limit !== limit)
          this.setLimit(name, limit);
      });
  }

  private applyFaults(): void {
    if (this.faults.crashes && this.chance(0.004)) {
      const vm = this.pick([...this.vms.values()]);
      if (vm.isUp) this.crash(vm);
    }
    if (this.faults.partitions && this.chance(0.004)) {
      const vm = this.pick([...this.vms.values()]);
      vm.partitioned = true;
      this.send(Math.abs(this.random()) * 6_000, () => {
        vm.partitioned = false;
      });
    }
    if (this.faults.takeovers && this.chance(0.003)) this.replaceOwner(true);
    if (this.faults.resizes && this.chance(0.02))
      this.resize(
        this.pick([...this.vms.values()]),
        this.pick([
          FULL_CAPACITY,
          { cores: 2, memoryMb: 2_000, gpus: 1 },
          { cores: 0.5, memoryMb: 50, gpus: 0 },
        ]),
      );
    if (this.faults.workspaces === true && this.chance(0.005))
      this.setLimit(
        this.pick(['workspace0', 'workspace1']),
        this.pick([
          ...FULL_LIMITS,
          { cores: 1.5, memoryMb: 250, gpus: 1 },
          { cores: 6, memoryMb: 1_000, gpus: 2 },
        ]),
      );
    if (this.chance(0.002)) this.cancelJob();
  }

  /** Lists the jobs that should have ended but haven't. */
  listUnfinished(): readonly string[] {
    return [...this.jobs.values()]
      .filter(
        ({ id, steps }) =>
          !this.finals.has(id) &&
          !this.cancelled.has(id) &&
          !steps.some(({ lasts }) => lasts),
      )
      .map(({ id }) => id);
  }

  /** Lists the tasks of cancelled jobs that still run. */
  listCancelledRuns(): readonly string[] {
    return [...this.vms.values()].flatMap(({ running }) =>
      [...running.values()]
        .filter(({ task }) => this.cancelled.has(task.job))
        .map(({ task }) => core.workloads.formatTask(task)),
    );
  }
}
