/**
 * Model of a cluster for random walks of disturbances: VMs, their sessions, the store, the
 * advice service and the owner in virtual time. Unlike `simulation.ts`, which checks each
 * start, it checks that no work is left out: once the disturbances end, everything that is
 * owed runs within a bound. It also compares the jobs that count as begun with what the VMs
 * have started.
 */
import * as core from '../../src/index.js';
import * as earlierBuilds from './earlierBuild.js';
import * as states from '../../src/workloads/state.js';
import * as schedulers from '../../src/workloads/scheduler.js';
import * as harnesses from './harness.js';
import * as tableChecks from './tableChecks.js';

type TaskKey = core.workloads.TaskKey;
type Command = core.workloads.Command;
type CommandOf<Name> = Extract<Command, { readonly command: Name }>;

const TICK_MS = 20;
const LEASE_MS = 2_000;
const INHERITED_RUN_TIMEOUT_MS = 2_600;
const ORDER_TIMEOUT_MS = 400;
const RUNS_PER_FENCE = 1_000_000;
/** Time without the other members after which a member of a gang ends. */
const GANG_WAIT_MS = 1_000;
/**
 * Longest time for which a VM may leave open whether it carried out a start: the slowest
 * append before it, the timeout of the order, and a lease of the VM, which a hold may
 * have extended meanwhile.
 */
const UNANSWERED_START_MS = 1_500 + ORDER_TIMEOUT_MS + LEASE_MS;
/** Age that a count of waiting jobs may have. */
const COUNT_AGE_MS = 2_000;
/** Time after which an owed task must be named: its threshold, and the time until its VM's silence or end is known. */
const NAMED_AFTER_MS = 3_000 + 1_500;

interface RunOnVm {
  readonly task: TaskKey;
  readonly run: number;
  readonly startedMs: number;
  percent: number;
  pace: number;
}

interface ClusterVm {
  readonly id: string;
  entry: core.workloads.VmEntry;
  incarnation: number;
  isUp: boolean;
  isLinked: boolean;
  isListed: boolean;
  /** Whether it is gone for good. */
  hasLeft: boolean;
  fence: number;
  leaseEndMs: number;
  readonly running: Map<string, RunOnVm>;
  readonly closedRuns: Map<string, number>;
  ended: core.workloads.ReportedEnd[];
  nextEnd: number;
  /** Outcome of the next starts, which the VM doesn't carry out. */
  startOutcome: core.workloads.StartOutcome | undefined;
  ignoresStops: boolean;
  ignoresPace: boolean;
  reportDelayMs: number;
  /** Time since which the owner's session has reached it without a break. */
  reachableSinceMs: number;
}

/** A start that a VM has carried out. */
interface Begin {
  readonly vm: ClusterVm;
  readonly incarnation: number;
  readonly atMs: number;
}

interface Session {
  readonly address: string;
  leaseEndMs: number;
  failures: number;
  isLost: boolean;
  nextHoldMs: number;
}

interface Owner {
  readonly fence: number;
  readonly createdMs: number;
  readonly state: states.State;
  readonly scheduler: core.workloads.WorkloadScheduler;
  readonly sessions: Map<string, Session>;
  readonly openStarts: Set<string>;
  batch:
    | {
        batch: core.workloads.RecordBatch;
        /** Jobs that count as begun for this owner. */
        begunJobs: readonly string[];
        dueMs: number;
      }
    | undefined;
  isAlive: boolean;
}

interface ClusterJob {
  readonly job: core.workloads.Job;
  readonly acceptedMs: number;
  cancelled: boolean;
}

/** A random walk of one seed. */
export class DisturbedCluster {
  private nowMs = 10_000;
  private unixOffsetMs = 5_000_000;
  private randomState: number;
  private messages: { dueMs: number; deliver: () => void }[] = [];
  private readonly vms = new Map<string, ClusterVm>();
  private readonly jobs = new Map<string, ClusterJob>();
  private readonly progress = new Map<string, string>();
  private readonly finals = new Map<string, core.workloads.FinalState>();
  private readonly lastRanMs = new Map<string, number>();
  /** Carried out starts by job. */
  private readonly begins = new Map<string, Begin[]>();
  /** Jobs whose record was changed by a disturbance, with the time. */
  private readonly recordChangedMs = new Map<string, number>();
  /** Jobs that counted as begun for an owner when their record was written. */
  private readonly recordedBegins = new Set<string>();
  private owner: Owner;
  private fences = 0;
  private vmCount = 0;
  private storeDelayMs = 10;
  private adviceMode: 'normal' | 'silent' | 'slow' | 'bad-tickets' = 'normal';
  private isServiceLoadHigh = false;
  private policies: ReadonlyMap<string, core.workloads.QueuePolicy>;
  private readonly initialPolicies: ReadonlyMap<
    string,
    core.workloads.QueuePolicy
  >;
  private readonly notPlaced = new Map<string, number>();
  readonly violations: string[] = [];
  /** Events of the walk, for the message of a failure. */
  readonly events: string[] = [];

  constructor(
    seed: number,
    /** Cores that every other job may use together; absent for no limit. */
    private limitCores = Infinity,
  ) {
    this.randomState = seed >>> 0;
    const plain = harnesses.createPolicy({ name: 'plain', slackMs: 500 });
    const advised = harnesses.createPolicy({
      name: 'advised',
      slackMs: 500,
      advice: { fixedMs: 30, perVmMs: 2, validMs: 700 },
    });
    this.initialPolicies = new Map([
      ['plain', plain],
      ['advised', advised],
    ]);
    this.policies = this.initialPolicies;
    for (let index = 0; index < 6; index += 1) this.addVm('pool');
    for (let index = 0; index < 2; index += 1) this.addVm('other');
    this.owner = this.createOwner(false);
    this.addJob('service');
    this.addJob('service');
    this.addJob('gang');
  }

  private random(): number {
    this.randomState = (this.randomState + 0x6d2b79f5) >>> 0;
    let mixed = this.randomState;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  private chance(share: number): boolean {
    return this.random() < share;
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.random() * items.length)]!;
  }

  private send(delayMs: number, deliver: () => void): void {
    this.messages.push({ dueMs: this.nowMs + delayMs, deliver });
  }

  private addVm(pool: string): ClusterVm {
    const id = `vm${this.vmCount}`;
    this.vmCount += 1;
    const vm: ClusterVm = {
      id,
      entry: harnesses.createEntry(id, {
        pool,
        rack: `r${this.vmCount % 2}`,
        capacity: { cores: 4, memoryMb: 4_000, gpus: 2 },
      }),
      incarnation: 1,
      isUp: true,
      isLinked: true,
      isListed: true,
      hasLeft: false,
      fence: 0,
      leaseEndMs: 0,
      running: new Map(),
      closedRuns: new Map(),
      ended: [],
      nextEnd: 1,
      startOutcome: undefined,
      ignoresStops: false,
      ignoresPace: false,
      reportDelayMs: 5,
      reachableSinceMs: this.nowMs,
    };
    this.vms.set(id, vm);
    return vm;
  }

  private addJob(
    kind: 'service' | 'gang' | 'batch' | 'scheduled' | 'filler' | 'hog',
  ): void {
    const id = `${kind}${this.jobs.size}`;
    const policy = this.pick([...this.initialPolicies.values()]);
    const size = { cores: this.pick([0.5, 1, 2]), memoryMb: 100, gpus: 0 };
    const step = harnesses.createStep({
      count: kind === 'gang' ? this.pick([2, 3, 4]) : this.pick([1, 2, 3]),
      size,
      estimateMs: 400,
      savesProgress: this.chance(0.3),
    });
    let steps = [step];
    switch (kind) {
      case 'service':
        steps = [
          {
            ...step,
            lasts: true,
            targetMs: this.pick([undefined, 100]),
            maxPerVm: this.pick([undefined, 1]),
          },
        ];
        break;
      case 'gang':
        steps = [
          {
            ...step,
            gang: true,
            oneRack: this.chance(0.3),
            maxPerVm: this.pick([undefined, 1]),
          },
        ];
        break;
      case 'batch':
        if (this.chance(0.4)) steps = [step, { ...step, after: [0] }];
        break;
      case 'filler':
        steps = [{ ...step, fills: true }];
        break;
      case 'hog':
        steps = [
          {
            ...step,
            lasts: true,
            count: 10,
            size: { cores: 3, memoryMb: 100, gpus: 0 },
          },
        ];
        break;
      case 'scheduled':
        break;
    }
    const unixMs = this.nowMs + this.unixOffsetMs;
    const job: core.workloads.Job = {
      id,
      queue: policy.name,
      payload: id,
      policy,
      configVersion: 1,
      acceptedAtMs: unixMs,
      schedule:
        kind === 'scheduled'
          ? {
              times: 3,
              firstAtMs: unixMs + Math.floor(this.random() * 1_000),
              intervalMs: 700,
            }
          : undefined,
      steps,
      ...(this.limitCores < Infinity && this.jobs.size % 2 === 0
        ? { workspace: 'limited' }
        : {}),
    };
    this.jobs.set(id, { job, acceptedMs: this.nowMs, cancelled: false });
    this.owner.scheduler.acceptJob(job, 0, this.nowMs, unixMs);
  }

  private cancelJob(id: string): void {
    const entry = this.jobs.get(id);
    if (entry === undefined || entry.cancelled || this.finals.has(id)) return;
    entry.cancelled = true;
    this.owner.scheduler.cancelJob(id, this.nowMs);
  }

  private createOwner(unrecordedStarts: boolean): Owner {
    this.fences += 1;
    const options = {
      bounds: {
        inheritedRunTimeoutMs: INHERITED_RUN_TIMEOUT_MS,
        longestStopMs: harnesses.LONGEST_STOP_MS,
        firstRun: this.fences * RUNS_PER_FENCE + 1,
        maxRecordBytes: 262_144,
      },
      unrecordedStarts,
      nowMs: this.nowMs,
    };
    const state = states.createState(options);
    const scheduler = schedulers.createWorkloadScheduler(options, state);
    const owner: Owner = {
      fence: this.fences,
      createdMs: this.nowMs,
      state,
      scheduler,
      sessions: new Map(),
      openStarts: new Set(),
      batch: undefined,
      isAlive: true,
    };
    scheduler.setPolicies(this.policies);
    scheduler.setWorkspaces(this.buildWorkspaces());
    for (const [id, { job, acceptedMs, cancelled }] of this.jobs) {
      if (this.finals.has(id)) continue;
      scheduler.restoreJob(
        job,
        core.workloads.splitProgress(this.progress).get(id),
        this.nowMs - acceptedMs,
        this.nowMs,
        this.nowMs + this.unixOffsetMs,
      );
      if (cancelled) scheduler.cancelJob(id, this.nowMs);
    }
    for (const vm of this.vms.values())
      if (vm.isListed) this.updateEntry(vm, owner);
    return owner;
  }

  private buildWorkspaces(): ReadonlyMap<
    string,
    core.workloads.WorkspacePolicy
  > {
    const limit = {
      cores: this.limitCores,
      memoryMb: Infinity,
      gpus: Infinity,
    };
    return new Map([
      ['limited', { name: 'limited', weight: 1, priority: 1, limit }],
    ]);
  }

  /** Compares what the VMs run of the limited jobs with their limit. A job whose record was lost or changed may run twice. */
  private checkLimit(started: string): void {
    let cores = 0;
    for (const vm of this.vms.values())
      for (const { task } of vm.running.values())
        if (
          this.jobs.get(task.job)!.job.workspace !== undefined &&
          !this.recordChangedMs.has(task.job)
        )
          cores += this.findStep(task).size.cores;
    if (cores > this.limitCores)
      this.addViolation(
        `${started} starts, and ${cores} cores are used of ${this.limitCores}`,
      );
  }

  private replaceOwner(): void {
    const old = this.owner;
    old.isAlive = false;
    if (old.batch !== undefined && this.chance(0.5)) this.writeBatch(old.batch);
    const isUnrecorded = old.scheduler.hasUnrecordedStarts(this.nowMs);
    const ids = [...this.progress.keys()];
    if (ids.length > 0 && this.chance(0.3)) {
      const id = this.pick(ids);
      const how = this.pick(['lost', 'unreadable', 'gone-vm'] as const);
      this.log(`record of ${id} ${how}`);
      this.recordChangedMs.set(id, this.nowMs);
      this.recordedBegins.delete(id);
      if (how === 'lost') this.progress.delete(id);
      if (how === 'unreadable') this.progress.set(id, '{"occurrences": [');
      if (how === 'gone-vm')
        this.progress.set(
          id,
          this.progress.get(id)!.replaceAll(/"vm(\d+)"/g, '"gone$1"'),
        );
    }
    this.owner = this.createOwner(isUnrecorded);
  }

  private updateEntry(vm: ClusterVm, owner = this.owner): void {
    const { id, entry, isListed } = vm;
    owner.scheduler.setVmEntry(id, isListed ? entry : undefined, this.nowMs);
    if (!isListed || owner.sessions.get(id)?.address === entry.address) return;
    owner.sessions.set(id, {
      address: entry.address,
      leaseEndMs: owner.createdMs + INHERITED_RUN_TIMEOUT_MS,
      failures: 0,
      isLost: false,
      nextHoldMs: this.nowMs,
    });
  }

  private writeBatch({ batch, begunJobs }: NonNullable<Owner['batch']>): void {
    for (const id of begunJobs) this.recordedBegins.add(id);
    for (const [id, text] of batch.progress) this.progress.set(id, text);
    for (const [id, final] of batch.finals) this.finals.set(id, final);
    for (const id of batch.dropped) this.progress.delete(id);
  }

  private log(event: string): void {
    this.events.push(`${this.nowMs}: ${event}`);
  }

  // The runs of the VMs.

  private endRun(vm: ClusterVm, key: string, how: core.workloads.RunEnd): void {
    const run = vm.running.get(key);
    if (run === undefined) return;
    vm.running.delete(key);
    const task = core.workloads.formatTask(run.task);
    vm.closedRuns.set(task, Math.max(vm.closedRuns.get(task) ?? 0, run.run));
    vm.ended.push({
      number: vm.nextEnd,
      task: run.task,
      run: run.run,
      how,
      saved: '',
    });
    vm.nextEnd += 1;
    if (this.findStep(run.task).gang)
      this.endGang(run, how === 'done' ? 'done' : 'broken');
  }

  private endGang(ended: RunOnVm, how: 'done' | 'broken'): void {
    const { job, occurrence, step } = ended.task;
    this.send(30, () => {
      for (const vm of this.vms.values())
        for (const [key, run] of [...vm.running])
          if (
            run.run === ended.run &&
            run.task.job === job &&
            run.task.occurrence === occurrence &&
            run.task.step === step
          )
            this.endRun(vm, key, how);
    });
  }

  private crash(vm: ClusterVm): void {
    vm.isUp = false;
    for (const run of vm.running.values())
      if (this.findStep(run.task).gang) this.endGang(run, 'broken');
    vm.running.clear();
    vm.closedRuns.clear();
    vm.ended = [];
    vm.nextEnd = 1;
    vm.fence = 0;
    vm.leaseEndMs = 0;
  }

  private findStep(task: TaskKey): core.workloads.StepSpec {
    return this.jobs.get(task.job)!.job.steps[task.step]!;
  }

  private countMembers(member: RunOnVm): number {
    let members = 0;
    for (const vm of this.vms.values())
      for (const { run, task } of vm.running.values())
        if (run === member.run && task.job === member.task.job) members += 1;
    return members;
  }

  private advanceRuns(vm: ClusterVm): void {
    for (const [key, run] of [...vm.running]) {
      const step = this.findStep(run.task);
      if (this.nowMs > vm.leaseEndMs) {
        this.endRun(vm, key, 'lapsed');
        continue;
      }
      this.lastRanMs.set(core.workloads.formatTask(run.task), this.nowMs);
      if (
        step.gang &&
        run.percent === 0 &&
        this.countMembers(run) < step.count
      ) {
        if (this.nowMs - run.startedMs > GANG_WAIT_MS)
          this.endRun(vm, key, 'alone');
        continue;
      }
      run.percent = Math.min(100, run.percent + (5 * run.pace) / 100);
      if (run.percent === 100 && !step.lasts) this.endRun(vm, key, 'done');
    }
  }

  private receiveStart(
    vm: ClusterVm,
    incarnation: number,
    command: CommandOf<'start'>,
    fence: number,
    untilMs: number,
  ): core.workloads.StartOutcome {
    if (!vm.isUp) return 'unreachable';
    if (!vm.isLinked) return 'unknown';
    if (vm.incarnation !== incarnation) return 'other-life';
    if (fence < vm.fence) return 'fenced';
    if (vm.startOutcome !== undefined && vm.startOutcome !== 'unknown')
      return vm.startOutcome;
    vm.fence = fence;
    const task = core.workloads.formatTask(command.task);
    const ticket = `${core.workloads.formatStep(command.task)}/${incarnation}`;
    if (command.ticket !== undefined && command.ticket !== ticket)
      return 'ticket';
    if (this.nowMs > untilMs) return 'late';
    vm.leaseEndMs = Math.max(vm.leaseEndMs, untilMs);
    if (command.run <= (vm.closedRuns.get(task) ?? 0)) return 'old';
    const key = `${task}#${command.run}`;
    if (!vm.running.has(key)) {
      vm.running.set(key, {
        task: command.task,
        run: command.run,
        startedMs: this.nowMs,
        percent: 0,
        pace: 100,
      });
      const { job } = command.task;
      if (this.jobs.get(job)!.job.workspace !== undefined) this.checkLimit(key);
      const begin = { vm, incarnation, atMs: this.nowMs };
      this.begins.set(job, [...(this.begins.get(job) ?? []), begin]);
    }
    return 'started';
  }

  // The owner's runtime.

  private execute(owner: Owner, command: Command): void {
    switch (command.command) {
      case 'start':
        this.sendStart(owner, command);
        return;
      case 'stop':
        this.sendStop(owner, command);
        return;
      case 'poll': {
        const vm = this.vms.get(command.vm);
        if (vm?.isUp === true && vm.isLinked) this.sendReport(owner, vm);
        return;
      }
      case 'pace': {
        const vm = this.vms.get(command.vm);
        if (!owner.sessions.has(command.vm) || vm === undefined) return;
        this.send(5, () => {
          if (!vm.isUp || !vm.isLinked || vm.ignoresPace) return;
          const name = core.workloads.formatTask(command.task);
          const run = vm.running.get(`${name}#${command.run}`);
          if (run !== undefined) run.pace = command.percent;
        });
        return;
      }
      case 'advise':
        this.sendAdvice(owner, command);
    }
  }

  private sendStart(owner: Owner, command: CommandOf<'start'>): void {
    const { task, run } = command;
    const key = `${core.workloads.formatTask(task)}#${run}`;
    owner.openStarts.add(key);
    const apply = (outcome: core.workloads.StartOutcome): void => {
      if (!owner.isAlive || !owner.openStarts.delete(key)) return;
      owner.scheduler.applyStart(command.vm, task, run, outcome, this.nowMs);
      if (outcome === 'fenced') this.replaceOwner();
    };
    const session = owner.sessions.get(command.vm);
    const vm = this.vms.get(command.vm);
    if (session === undefined || vm === undefined) {
      this.send(0, () => {
        apply('unreachable');
      });
      return;
    }
    const untilMs = this.nowMs + LEASE_MS;
    session.leaseEndMs = Math.max(session.leaseEndMs, untilMs + 50);
    const { incarnation } = vm;
    const isUnanswered = vm.startOutcome === 'unknown';
    const delayMs = isUnanswered && this.chance(0.5) ? 1_500 : 5;
    this.send(delayMs, () => {
      if (isUnanswered && this.chance(0.3)) return;
      const outcome = this.receiveStart(
        vm,
        incarnation,
        command,
        owner.fence,
        untilMs,
      );
      if (outcome !== 'unknown' && !isUnanswered)
        this.send(5, () => {
          apply(outcome);
        });
    });
    this.send(ORDER_TIMEOUT_MS, () => {
      apply('unknown');
    });
  }

  private sendStop(owner: Owner, command: CommandOf<'stop'>): void {
    const vm = this.vms.get(command.vm);
    if (!owner.sessions.has(command.vm) || vm === undefined) return;
    const { task, run } = command;
    const { incarnation } = vm;
    const apply = (answered: boolean): void => {
      if (owner.isAlive)
        owner.scheduler.applyStop(command.vm, task, run, answered, this.nowMs);
    };
    this.send(5, () => {
      if (!vm.isUp || !vm.isLinked || vm.ignoresStops) {
        this.send(ORDER_TIMEOUT_MS, () => {
          apply(false);
        });
        return;
      }
      if (vm.incarnation !== incarnation || owner.fence < vm.fence) {
        apply(false);
        return;
      }
      vm.fence = owner.fence;
      const name = core.workloads.formatTask(task);
      vm.closedRuns.set(name, Math.max(vm.closedRuns.get(name) ?? 0, run));
      this.send(20 + this.random() * 200, () => {
        if (vm.incarnation === incarnation)
          this.endRun(vm, `${name}#${run}`, 'stopped');
      });
      this.send(5, () => {
        apply(true);
      });
    });
  }

  private sendAdvice(owner: Owner, command: CommandOf<'advise'>): void {
    const mode = this.adviceMode;
    const name = core.workloads.formatStep(command.step);
    const tickets = command.vms.flatMap((id) => {
      const vm = this.vms.get(id);
      return vm !== undefined && this.isGood(name, id)
        ? [
            {
              vm: id,
              ticket: `${mode === 'bad-tickets' ? 'bad' : name}/${vm.incarnation}`,
            },
          ]
        : [];
    });
    const delayMs =
      mode === 'slow' ? command.costMs + 800 : command.costMs + 10;
    this.send(mode === 'silent' ? command.expectedMs + 1_500 : delayMs, () => {
      if (!owner.isAlive) return;
      owner.scheduler.applyAdvice(
        command.step,
        command.vms,
        mode === 'silent' ? undefined : tickets,
        this.nowMs,
      );
    });
  }

  /** The first VMs are good for half of the steps, those added later for all. */
  private isGood(step: string, id: string): boolean {
    const index = Number(id.slice(2));
    return index >= 8 || (step.length + index) % 2 === 0;
  }

  private holdVm(owner: Owner, id: string, session: Session): void {
    if (this.nowMs < session.nextHoldMs) return;
    const vm = this.vms.get(id)!;
    if (vm.isUp && vm.isLinked && vm.entry.address === session.address) {
      if (owner.fence < vm.fence) return;
      session.failures = 0;
      session.isLost = false;
      session.nextHoldMs = this.nowMs + 40 + this.random() * 60;
      session.leaseEndMs = Math.max(
        session.leaseEndMs,
        this.nowMs + LEASE_MS + 50,
      );
      vm.fence = owner.fence;
      vm.leaseEndMs = Math.max(vm.leaseEndMs, this.nowMs + LEASE_MS);
      this.sendReport(owner, vm);
      return;
    }
    session.nextHoldMs = this.nowMs + 250;
    session.failures += 1;
    if (session.failures < 2) return;
    owner.scheduler.suspendVm(id);
    if (session.isLost || this.nowMs <= session.leaseEndMs) return;
    session.isLost = true;
    owner.scheduler.loseVm(id, this.nowMs, vm.isUp ? undefined : 'terminated');
    if (!vm.isListed) owner.sessions.delete(id);
  }

  private sendReport(owner: Owner, vm: ClusterVm): void {
    const durableEnd = owner.scheduler.getDurableEnd(vm.id);
    const { incarnation } = vm;
    const report: core.workloads.VmReport = {
      incarnation,
      running: [...vm.running.values()].map((run) => ({
        task: run.task,
        run: run.run,
        saved: '',
        percent: Math.floor(run.percent),
        load: this.isServiceLoadHigh ? 200 : 10,
      })),
      ended: [...vm.ended],
      requestSentMs: this.nowMs,
    };
    if (owner.state.vms.get(vm.id)?.incarnation === incarnation)
      vm.ended = vm.ended.filter(({ number }) => number > durableEnd);
    const session = owner.sessions.get(vm.id);
    this.send(this.random() * vm.reportDelayMs + 2, () => {
      if (owner.isAlive && owner.sessions.get(vm.id) === session)
        owner.scheduler.applyReport(vm.id, report, this.nowMs);
    });
  }

  private tick(owner: Owner): void {
    owner.scheduler.setPolicies(this.policies);
    const decision = owner.scheduler.tick(
      this.nowMs,
      this.nowMs + this.unixOffsetMs,
    );
    for (const command of decision.commands) this.execute(owner, command);
    if (decision.batch !== undefined)
      owner.batch = {
        batch: decision.batch,
        begunJobs: [...decision.batch.progress.keys()].filter(
          (id) => owner.scheduler.getJobState(id, this.nowMs) === 'running',
        ),
        dueMs: this.nowMs + this.storeDelayMs,
      };
    else if (this.storeDelayMs > 500 && this.chance(0.05))
      for (const command of earlierBuilds.sendUnrecorded(owner.state))
        this.execute(owner, command);
    if (owner.batch === undefined || owner.batch.dueMs > this.nowMs) return;
    this.writeBatch(owner.batch);
    owner.batch = undefined;
    for (const command of owner.scheduler.confirmBatch())
      this.execute(owner, command);
  }

  // Disturbances.

  private readonly disturbances: Readonly<Record<string, () => void>> = {
    end: () => {
      const vm = this.pick([...this.vms.values()]);
      const key = this.pick(['', ...vm.running.keys()]);
      const run = vm.running.get(key);
      if (run === undefined) return;
      const { gang } = this.findStep(run.task);
      this.endRun(
        vm,
        key,
        this.pick([
          'done',
          'failed',
          'stopped',
          'lapsed',
          gang ? 'broken' : 'done',
          gang ? 'alone' : 'failed',
        ] as const),
      );
    },
    leave: () => {
      const vm = this.pick([...this.vms.values()]);
      if (!vm.isListed || vm.hasLeft) return;
      this.crash(vm);
      vm.hasLeft = true;
      vm.isLinked = this.chance(0.5);
      if (!vm.isLinked) vm.isUp = true;
      this.send(this.random() * 3_000, () => {
        vm.isListed = false;
        this.updateEntry(vm);
      });
      const { pool } = vm.entry;
      this.send(500, () => {
        this.updateEntry(this.addVm(pool));
      });
    },
    restart: () => {
      const vm = this.pick([...this.vms.values()]);
      if (!vm.isUp || !vm.isListed) return;
      this.crash(vm);
      this.send(30 + this.random() * 2_000, () => {
        if (vm.hasLeft) return;
        vm.isUp = true;
        vm.incarnation += 1;
        vm.entry = { ...vm.entry, incarnation: vm.incarnation };
        this.updateEntry(vm);
      });
    },
    silence: () => {
      const vm = this.pick([...this.vms.values()]);
      if (!vm.isUp || !vm.isLinked) return;
      vm.isLinked = false;
      this.send(this.random() * 4_000, () => {
        if (!vm.hasLeft) vm.isLinked = true;
      });
    },
    address: () => {
      const vm = this.pick([...this.vms.values()]);
      if (vm.hasLeft) return;
      vm.entry = { ...vm.entry, address: `${vm.id}:${this.nowMs}` };
      if (vm.isListed) this.updateEntry(vm);
    },
    unlist: () => {
      const vm = this.pick([...this.vms.values()]);
      if (!vm.isUp || !vm.isLinked || !vm.isListed) return;
      vm.isListed = false;
      this.updateEntry(vm);
      this.send(this.random() * 3_000, () => {
        if (vm.hasLeft) return;
        vm.isListed = true;
        this.updateEntry(vm);
      });
    },
    drain: () => {
      const vm = this.pick([...this.vms.values()]);
      vm.entry = { ...vm.entry, draining: !vm.entry.draining };
      if (vm.isListed) this.updateEntry(vm);
    },
    takeover: () => {
      this.replaceOwner();
    },
    cancel: () => {
      this.cancelJob(this.pick([...this.jobs.keys()]));
    },
    starts: () => {
      const vm = this.pick([...this.vms.values()]);
      vm.startOutcome = this.pick([
        undefined,
        'old',
        'late',
        'no-room',
        'ticket',
        'malformed',
        'unhealthy',
        'unreachable',
        'other-life',
        'fenced',
        'unknown',
        'unknown',
      ] as const);
      this.send(this.random() * 1_000, () => {
        vm.startOutcome = undefined;
      });
    },
    stops: () => {
      const vm = this.pick([...this.vms.values()]);
      vm.ignoresStops = !vm.ignoresStops;
    },
    paces: () => {
      const vm = this.pick([...this.vms.values()]);
      vm.ignoresPace = !vm.ignoresPace;
    },
    load: () => {
      this.isServiceLoadHigh = !this.isServiceLoadHigh;
    },
    store: () => {
      this.storeDelayMs = this.pick([10, 10, 300, 1_500]);
    },
    advice: () => {
      this.adviceMode = this.pick([
        'normal',
        'silent',
        'slow',
        'bad-tickets',
      ] as const);
    },
    helpers: () => {
      this.owner.scheduler.setHelpers(this.pick([[], ['h1'], ['h1', 'h2']]));
    },
    policies: () => {
      const policies = new Map(this.initialPolicies);
      const name = this.pick([...policies.keys()]);
      const policy = policies.get(name)!;
      switch (this.pick(['removed', 'pool', 'attempts', 'back'] as const)) {
        case 'removed':
          policies.delete(name);
          break;
        case 'pool':
          policies.set(name, { ...policy, pool: 'other' });
          break;
        case 'attempts':
          policies.set(name, { ...policy, attempts: this.pick([2, 5]) });
          break;
        case 'back':
          break;
      }
      this.policies = policies;
    },
    clock: () => {
      this.unixOffsetMs += (this.random() - 0.5) * 2_000;
    },
    reports: () => {
      const vm = this.pick([...this.vms.values()]);
      vm.reportDelayMs = this.pick([5, 50, 400]);
    },
    job: () => {
      this.addJob(
        this.pick([
          'service',
          'gang',
          'batch',
          'batch',
          'scheduled',
          'filler',
          'hog',
        ] as const),
      );
    },
  };

  /** Advances by one tick; disturbs the cluster with a given chance. */
  step(disturbanceShare: number): void {
    this.nowMs += TICK_MS;
    const due = this.messages.filter(({ dueMs }) => dueMs <= this.nowMs);
    this.messages = this.messages.filter(({ dueMs }) => dueMs > this.nowMs);
    due.sort((a, b) => a.dueMs - b.dueMs);
    for (const { deliver } of due) deliver();
    for (const vm of this.vms.values()) this.advanceRuns(vm);
    if (this.chance(disturbanceShare)) {
      const name = this.pick(Object.keys(this.disturbances));
      this.log(name);
      this.disturbances[name]!();
    }
    const { owner } = this;
    if (!owner.isAlive) return;
    for (const [id, session] of [...owner.sessions])
      this.holdVm(owner, id, session);
    this.tick(owner);
    this.checkTables(owner);
    this.trackReachable(owner);
    this.checkBegins(owner);
    if (this.nowMs % (10 * TICK_MS) === 0) this.checkNamed(owner);
  }

  /** Stops the owner; the next one follows only after a while. With `losesVms`, all VMs restart meanwhile. */
  startCold(losesVms: boolean): void {
    this.log(`cold start, VMs ${losesVms ? 'restart' : 'go on'}`);
    const { owner } = this;
    owner.isAlive = false;
    if (losesVms)
      for (const vm of this.vms.values()) {
        if (!vm.isUp || !vm.isListed) continue;
        this.crash(vm);
        vm.isUp = true;
        vm.incarnation += 1;
        vm.entry = { ...vm.entry, incarnation: vm.incarnation };
      }
    this.send(this.random() * 3_000, () => {
      if (this.owner === owner) this.replaceOwner();
    });
  }

  /** Ends all disturbances: VMs that are left answer, commands succeed, and there is plenty of room. */
  calm(): void {
    this.log('calm');
    this.storeDelayMs = 10;
    this.adviceMode = 'normal';
    this.isServiceLoadHigh = false;
    this.policies = this.initialPolicies;
    this.limitCores = Infinity;
    this.owner.scheduler.setWorkspaces(this.buildWorkspaces());
    for (const vm of this.vms.values()) {
      vm.startOutcome = undefined;
      vm.ignoresStops = false;
      vm.ignoresPace = false;
      vm.reportDelayMs = 5;
      vm.entry = { ...vm.entry, draining: false };
      if (!vm.isUp) vm.hasLeft = true;
      if (vm.hasLeft) vm.isListed = false;
      else vm.isLinked = true;
      this.updateEntry(vm);
    }
    for (let index = 0; index < 8; index += 1)
      this.updateEntry(this.addVm('pool'));
    for (const id of this.jobs.keys())
      if (id.startsWith('hog')) this.cancelJob(id);
  }

  private checkTables(owner: Owner): void {
    for (const what of tableChecks.checkTables(owner.state, {
      nowMs: this.nowMs,
      tickMs: 2 * TICK_MS,
      hasSession: (id) => owner.sessions.has(id),
      isStartOpen: (run) => owner.openStarts.has(run),
    }))
      this.addViolation(`tables: ${what}`);
  }

  private trackReachable(owner: Owner): void {
    for (const vm of this.vms.values())
      if (
        !vm.isUp ||
        !vm.isLinked ||
        owner.sessions.get(vm.id)?.address !== vm.entry.address
      )
        vm.reachableSinceMs = this.nowMs;
  }

  /** Returns whether a VM hasn't said whether it carried out a start of this owner, which is due by the end of its lease. */
  private isStartUnanswered(owner: Owner, id: string): boolean {
    return [...owner.state.vms.values()].some(({ runs }) =>
      [...runs].some(
        ({ task, phase, startedEarlier, hasBegun, addedMs }) =>
          task.step.occurrence.job.job.id === id &&
          phase !== 'recording' &&
          !startedEarlier &&
          !hasBegun &&
          this.nowMs - addedMs <= UNANSWERED_START_MS,
      ),
    );
  }

  /** Compares the jobs that count as begun, and the counts, with the starts that the VMs have carried out. */
  private checkBegins(owner: Owner): void {
    const counts = new Map(
      [...this.initialPolicies.keys()].map((queue) => [
        queue,
        { waiting: 0, unresolved: 0 },
      ]),
    );
    for (const [id, { job, cancelled }] of this.jobs) {
      if (cancelled || owner.state.jobs.get(id)?.final !== undefined) continue;
      const state = owner.scheduler.getJobState(id, this.nowMs);
      if (state === undefined) continue;
      if (state === 'running') {
        if (!this.begins.has(id))
          this.addViolation(`${id} counts as begun, and no task has begun`);
        continue;
      }
      if (job.schedule === undefined)
        counts.get(job.queue)![
          state === 'unresolved' ? 'unresolved' : 'waiting'
        ] += 1;
      if (this.recordedBegins.has(id))
        this.addViolation(`${id} has begun by its record and is ${state}`);
      if (state === 'unresolved') {
        if (
          this.nowMs - owner.createdMs >
            INHERITED_RUN_TIMEOUT_MS + 2 * TICK_MS &&
          !this.isStartUnanswered(owner, id)
        )
          this.addViolation(`${id} is unresolved after the timeout`);
      } else if (this.isBeginShown(owner, id))
        this.addViolation(`${id} has begun and counts as waiting`);
    }
    for (const vm of owner.state.vms.values()) {
      if (vm.reportedMs !== undefined) continue;
      for (const { task } of vm.runs) {
        const { id } = task.step.occurrence.job.job;
        if (owner.scheduler.getJobState(id, this.nowMs) === 'pending')
          this.addViolation(
            `${id} may have begun on ${vm.id}, which hasn't reported, and counts as waiting`,
          );
      }
    }
    const told = owner.scheduler.countWaiting(this.nowMs);
    for (const [queue, count] of counts) {
      const { waiting, unresolved } = told.get(queue) ?? {
        waiting: 0,
        unresolved: 0,
      };
      if (waiting !== count.waiting || unresolved !== count.unresolved)
        this.addViolation(
          `${queue}: ${waiting} wait and ${unresolved} are unresolved instead of ${count.waiting} and ${count.unresolved}`,
        );
    }
  }

  /** Returns whether a VM that has begun a task of a job was reachable for long enough since then to show it. */
  private isBeginShown(owner: Owner, id: string): boolean {
    return (this.begins.get(id) ?? []).some(
      ({ vm, incarnation, atMs }) =>
        vm.incarnation === incarnation &&
        !vm.hasLeft &&
        atMs > (this.recordChangedMs.get(id) ?? -Infinity) &&
        this.nowMs - Math.max(atMs, vm.reachableSinceMs, owner.createdMs) >
          COUNT_AGE_MS,
    );
  }

  private addViolation(what: string): void {
    if (this.violations.length < 20)
      this.violations.push(`${this.nowMs}: ${what}`);
  }

  /** Lists the tasks of a kind that should run, with the time for which they haven't. */
  private listMissing(
    isWanted: (step: core.workloads.StepSpec) => boolean,
  ): readonly { readonly task: string; readonly sinceMs: number }[] {
    const missing: { task: string; sinceMs: number }[] = [];
    for (const [id, { job, acceptedMs, cancelled }] of this.jobs) {
      if (cancelled || this.finals.has(id) || job.schedule !== undefined)
        continue;
      job.steps.forEach((step, index) => {
        if (!isWanted(step) || step.after.length > 0) return;
        for (let task = 0; task < step.count; task += 1) {
          const name = `${id}.0.${index}.${task}`;
          const sinceMs = this.lastRanMs.get(name) ?? acceptedMs;
          if (sinceMs < this.nowMs) missing.push({ task: name, sinceMs });
        }
      });
    }
    return missing;
  }

  /** Checks that the search for owed tasks names and counts what is missing. */
  private checkNamed(owner: Owner): void {
    const countOwed = (): number =>
      [...owner.scheduler.getCounts()].reduce(
        (sum, [name, count]) => (name.startsWith('owed.') ? sum + count : sum),
        0,
      );
    const before = countOwed();
    const found = this.findOwed(owner);
    if (countOwed() - before !== found.length)
      this.addViolation('owed tasks: not all are counted');
    const causes = new Map(
      found.map(({ task, cause }) => [core.workloads.formatTask(task), cause]),
    );
    for (const { task, sinceMs } of this.listMissing(
      ({ lasts, gang }) => lasts || gang,
    )) {
      const fromMs = Math.max(sinceMs, owner.createdMs);
      const isDone = owner.state.jobs.get(task.split('.')[0]!)?.final;
      if (isDone !== undefined || this.nowMs - fromMs < NAMED_AFTER_MS)
        continue;
      const cause = causes.get(task);
      if (cause === undefined)
        this.addViolation(`${task} is missing since ${sinceMs}, not named`);
      const rounds =
        cause?.why === 'not-placed' ? (this.notPlaced.get(task) ?? 0) + 1 : 0;
      this.notPlaced.set(task, rounds);
      if (rounds > 2 || cause?.why === 'inconsistent')
        this.addViolation(`${task}: ${JSON.stringify(cause)}`);
    }
  }

  private findOwed(owner: Owner): readonly core.workloads.OwedTask[] {
    return owner.scheduler.findOwed({
      nowMs: this.nowMs,
      nowUnixMs: this.nowMs + this.unixOffsetMs,
      hasSession: (id) => owner.sessions.has(id),
    });
  }

  /** Lists what is still missing once the bound after the end of the disturbances has passed. */
  listLeft(): readonly string[] {
    const { owner } = this;
    const left = this.listMissing(({ lasts }) => lasts).map(
      ({ task, sinceMs }) => `${task} hasn't run since ${sinceMs}`,
    );
    for (const [id, { job, cancelled }] of this.jobs) {
      if (this.finals.has(id) || cancelled) {
        if (owner.state.jobs.has(id)) left.push(`${id} is still in the tables`);
        if (!this.finals.has(id) && this.progress.has(id))
          left.push(`${id} still has a record`);
      } else if (!job.steps.some(({ lasts }) => lasts))
        left.push(`${id} hasn't ended: ${this.describeJob(id)}`);
    }
    for (const vm of this.vms.values())
      for (const { task } of vm.running.values())
        if (this.jobs.get(task.job)!.cancelled)
          left.push(`${core.workloads.formatTask(task)} runs on ${vm.id}`);
    for (const { task, cause } of this.findOwed(owner))
      left.push(
        `${core.workloads.formatTask(task)} owed: ${JSON.stringify(cause)}`,
      );
    for (const vm of owner.state.vms.values())
      if (
        vm.entry !== undefined &&
        (!vm.usable || vm.strayRuns.size > 0 || vm.avoidUntilMs > this.nowMs)
      )
        left.push(
          `${vm.id} gets no new runs: usable ${vm.usable}, ${vm.strayRuns.size} stray runs, ${vm.avoidUntilMs}`,
        );
    return left;
  }

  private describeJob(id: string): string {
    const runs = [...this.owner.state.vms.values()].flatMap((vm) =>
      [...vm.runs]
        .filter((run) => run.task.step.occurrence.job.job.id === id)
        .map((run) => `${states.formatRun(run)}@${vm.id}:${run.phase}`),
    );
    const real = [...this.vms.values()].flatMap((vm) =>
      [...vm.running].map(
        ([key, { percent, pace }]) => `${key}@${vm.id} ${percent}% at ${pace}`,
      ),
    );
    return JSON.stringify({
      runs,
      real: real.filter((text) => text.startsWith(`${id}.`)),
    });
  }
}
