/**
 * Simulation of one busy pool in virtual time: urgent, batch and service jobs whose
 * advice takes time, VMs of different sizes, bursts and planned drains. It measures how
 * long service tasks wait, and for how long of that an approved VM had room for them.
 * Its draws use only operations that are rounded exactly: Math.log and its kind differ in
 * the last bit between kinds of processors, and one such bit changes a whole run.
 */
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

type TaskKey = core.workloads.TaskKey;
type StepSpec = core.workloads.StepSpec;
type QueuePolicy = core.workloads.QueuePolicy;

const TICK_MS = 20;
const NETWORK_MS = 10;
const WRITE_MS = 20;
const STOP_MS = 400;
const REPORT_INTERVAL_MS = 500;
const START_MS = 10_000;
const LEASE_MS = 10_000;
/** A service task must run again this long after its last run. */
const REPLACEMENT_MS = 6_000;
/** Time for which a task may then wait although an approved VM has room. */
const ROOM_MS = 3_000;

interface RunOnVm {
  readonly task: TaskKey;
  readonly run: number;
  readonly spec: StepSpec;
  /** Time at which the run ends. */
  endMs: number;
  how: core.workloads.RunEnd;
  readonly startedMs: number;
}

interface PoolVm {
  /** Speed relative to the usual. */
  readonly speed: number;
  entry: core.workloads.VmEntry;
  readonly running: Map<string, RunOnVm>;
  readonly free: { cores: number; memoryMb: number; gpus: number };
  ended: core.workloads.ReportedEnd[];
  nextEnd: number;
  nextReportMs: number;
  leavesAtMs: number;
  /** Time at which it is lost; it doesn't answer until then. */
  lostAtMs: number;
}

/** Jobs of one kind. */
export interface JobKind {
  readonly policy: QueuePolicy;
  readonly jobsPerSecond: number;
  readonly steps: number;
  readonly meanWidth: number;
  readonly meanCores: number;
  readonly maxCores: number;
  readonly meanMs: number;
  readonly savesProgress: boolean;
  readonly lasts: boolean;
  /** Share of the VMs that advice approves for a step. */
  readonly approvedShare: number;
  /** Share of the jobs whose tasks must run on different VMs. */
  readonly apartShare: number;
}

/** A time during which jobs of a kind arrive more often. */
export interface Burst {
  readonly kind: 'urgent' | 'batch' | 'service';
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** A workspace that submits jobs. */
export interface LoadWorkspace {
  readonly name: string;
  /** Its part of all arrivals, relative to the other workspaces; its weight is the rate that follows. */
  readonly part: number;
  /** A time during which it sends this many times its usual rate. */
  readonly hot?: Omit<Burst, 'kind'>;
}

/** Order of the waiting steps. */
export type Order =
  /** With the shares of the workspaces. */
  | 'shares'
  /** Without workspaces in the configuration. */
  | 'by-objective'
  /** By acceptance alone. */
  | 'first-come';

/** Urgent and batch jobs of a workspace whose objective has passed. */
export interface WorkspaceResult {
  jobs: number;
  inTime: number;
  /** Longest time from the acceptance of a job to its first start, in ms. */
  longestWaitMs: number;
}

/** What happens during a simulation. */
export interface PoolScenario {
  readonly seed: number;
  readonly vms: number;
  readonly helpers: number;
  readonly bursts: readonly Burst[];
  /** Times at which a tenth of the VMs starts to drain; they leave 8 s later and others come. */
  readonly drainsAtMs: readonly number[];
  /** Times at which a tenth of the VMs becomes silent; their leases end 10 s later. */
  readonly silencesAtMs?: readonly number[];
  /** Mean time between failures of one service task. */
  readonly failureIntervalMs: number;
  /** Factor on the arrivals of urgent and batch jobs. */
  readonly load: number;
  /** Workspaces that submit the jobs, and the order under test. */
  readonly workspaces?: readonly LoadWorkspace[];
  readonly order?: Order;
  /** Largest deviation of run times from their estimates, relative to these; widely spread when absent. */
  readonly runTimeError?: number;
  /** What differs from the usual service jobs. */
  readonly service?: Partial<JobKind>;
  /** Uneven run times and VMs; absent when declared times are right on average and VMs are equally fast. */
  readonly uneven?: Uneven;
}

/** Run times that differ from the declared ones, and VMs of different speed. */
export interface Uneven {
  /** Largest relative error of the declared time of a job. */
  readonly declaredErrors: {
    readonly urgent: number;
    readonly batch: number;
  };
  /** Share of the tasks that take seven times as long. */
  readonly stragglers: number;
  /** Speeds of the VMs, in turn. */
  readonly speeds: readonly number[];
  /** What the scheduler knows: declared times alone, what it learns beside them, or the true time of each job. */
  readonly known: 'declared' | 'learned' | 'true';
}

interface ServiceWait {
  sinceMs: number;
  /** Whether its VM was lost. */
  isAfterLoss: boolean;
  /** Time since which an approved VM has had room without a break. */
  roomSinceMs: number | undefined;
}

/** Results of a simulation. */
export interface PoolResult {
  /** Service tasks that waited longer than allowed although an approved VM had room. */
  readonly violations: readonly string[];
  /** Times for which service tasks waited, in ms. */
  readonly serviceWaitsMs: readonly number[];
  /** Those of tasks whose VMs were lost, in ms. */
  readonly lossWaitsMs: readonly number[];
  /** Longest time for which a service task waited while an approved VM had room, in ms. */
  readonly longestWithRoomMs: number;
  /** Share of the urgent jobs that ended within their objective. */
  readonly urgentInTime: number;
  readonly urgentJobs: number;
  readonly batchTasksDone: number;
  /** Tasks and VMs of the start commands, in their order. */
  readonly starts: readonly string[];
  readonly byWorkspace: ReadonlyMap<string, WorkspaceResult>;
  /** Share of the batch jobs that ended within their objective. */
  readonly batchInTime: number;
}

const KINDS: Readonly<Record<Burst['kind'], JobKind>> = {
  urgent: {
    policy: harnesses.createPolicy({
      name: 'urgent',
      priority: 0,
      stretch: 1.5,
      slackMs: 600,
      advice: { fixedMs: 20, perVmMs: 0.3, validMs: 1_500 },
    }),
    jobsPerSecond: 0.22,
    steps: 1.5,
    meanWidth: 10,
    meanCores: 5.3,
    maxCores: 16,
    meanMs: 560,
    savesProgress: false,
    lasts: false,
    approvedShare: 0.7,
    apartShare: 0.12,
  },
  batch: {
    policy: harnesses.createPolicy({
      name: 'batch',
      priority: 2,
      attempts: 4,
      stretch: 4,
      slackMs: 3_000,
      advice: { fixedMs: 250, perVmMs: 3.7, validMs: 1_500 },
    }),
    jobsPerSecond: 0.0098,
    steps: 2,
    meanWidth: 22,
    meanCores: 9,
    maxCores: 15,
    meanMs: 4_500,
    savesProgress: true,
    lasts: false,
    approvedShare: 0.45,
    apartShare: 0.12,
  },
  service: {
    policy: harnesses.createPolicy({
      name: 'service',
      priority: 1,
      attempts: 4,
      stretch: 2.2,
      slackMs: 3_000,
      advice: { fixedMs: 930, perVmMs: 13, validMs: 1_500 },
    }),
    jobsPerSecond: 0.001,
    steps: 1,
    meanWidth: 15,
    meanCores: 9,
    maxCores: 15,
    meanMs: 500,
    savesProgress: false,
    lasts: true,
    approvedShare: 0.3,
    apartShare: 0.6,
  },
};

/** Jobs of services per VM at the start. */
const SERVICES_PER_VM = 0.045;
/** Time for which a service job lasts on average before it is cancelled. */
const SERVICE_LIFE_MS = 45_000;

/** A simulation; the same scenario gives the same run. */
export class PoolSimulation {
  private nowMs = START_MS;
  private random: () => number;
  /** Draws of the arrivals of workspaces, which are the same under each order. */
  private readonly drawArrivals: () => number;
  private readonly starts: string[] = [];
  private readonly vms = new Map<string, PoolVm>();
  private readonly jobs = new Map<
    string,
    {
      readonly kind: Burst['kind'];
      readonly job: core.workloads.Job;
      readonly acceptedMs: number;
      startedMs: number | undefined;
      endedMs: number | undefined;
      /** Mean time of its tasks at the usual speed. */
      readonly trueMs: number;
      cancelAtMs: number;
      cancelled: boolean;
    }
  >();
  private readonly scheduler: core.workloads.WorkloadScheduler;
  private readonly state: ReturnType<
    typeof harnesses.createOpenScheduler
  >['state'];
  private messages: { readonly dueMs: number; readonly deliver: () => void }[] =
    [];
  private batchDueMs: number | undefined;
  private readonly adviceBusyUntilMs = new Map<string, number>();
  private readonly waits = new Map<string, ServiceWait>();
  private vmCount = 0;
  private readonly violations: string[] = [];
  private readonly violated = new Set<string>();
  private readonly serviceWaitsMs: number[] = [];
  private readonly lossWaitsMs: number[] = [];
  private longestWithRoomMs = 0;
  private urgentInTime = 0;
  private urgentJobs = 0;
  private batchTasksDone = 0;
  private batchInTime = 0;
  private batchJobs = 0;

  private readonly kinds: Readonly<Record<Burst['kind'], JobKind>>;

  constructor(private readonly scenario: PoolScenario) {
    this.random = createRandom(scenario.seed);
    this.drawArrivals = createRandom(scenario.seed + 1_000);
    this.kinds = {
      ...KINDS,
      service: { ...KINDS.service, ...scenario.service },
    };
    const { scheduler, state } = harnesses.createOpenScheduler(
      this.nowMs,
      false,
      scenario.uneven?.known === 'learned' ? 'learned' : 'declared',
    );
    this.scheduler = scheduler;
    this.state = state;
    this.scheduler.setHelpers(
      Array.from({ length: scenario.helpers }, (_, index) => `helper${index}`),
    );
    this.setOrder();
    for (let index = 0; index < scenario.vms; index += 1) this.addVm();
    for (let index = 0; index < scenario.vms * SERVICES_PER_VM; index += 1)
      this.addJob('service');
  }

  /** Runs the simulation for a time and returns its results. */
  run(forMs: number): PoolResult {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) this.step();
    return {
      violations: this.violations,
      serviceWaitsMs: this.serviceWaitsMs,
      lossWaitsMs: this.lossWaitsMs,
      longestWithRoomMs: this.longestWithRoomMs,
      urgentInTime: this.urgentInTime / Math.max(1, this.urgentJobs),
      urgentJobs: this.urgentJobs,
      batchTasksDone: this.batchTasksDone,
      starts: this.starts,
      byWorkspace: this.measureWorkspaces(),
      batchInTime: this.batchInTime / Math.max(1, this.batchJobs),
    };
  }

  private setOrder(): void {
    const { order, workspaces = [], vms, load } = this.scenario;
    if (order === 'first-come')
      this.scheduler.setPolicies(
        new Map(
          Object.values(this.kinds).map(({ policy }) => [
            policy.name,
            // Objectives that never pass leave the order to the times of acceptance.
            { ...policy, priority: 0, stretch: 0, slackMs: 1e9 },
          ]),
        ),
      );
    if (order !== 'shares') return;
    const rate =
      (this.kinds.urgent.jobsPerSecond + this.kinds.batch.jobsPerSecond) *
      vms *
      load;
    const parts = workspaces.reduce((sum, { part }) => sum + part, 0);
    this.scheduler.setWorkspaces(
      new Map(
        workspaces.map(({ name, part }) => [
          name,
          {
            name,
            weight: (rate * part) / parts,
            priority: 0,
            limit: { cores: Infinity, memoryMb: Infinity, gpus: Infinity },
          },
        ]),
      ),
    );
  }

  private measureWorkspaces(): ReadonlyMap<string, WorkspaceResult> {
    const results = new Map<string, WorkspaceResult>();
    for (const row of this.jobs.values()) {
      const { workspace } = row.job;
      if (workspace === undefined || row.kind === 'service') continue;
      const allowedMs = this.computeAllowedMs(row.job);
      if (row.acceptedMs + allowedMs > this.nowMs) continue;
      const result = results.get(workspace) ?? {
        jobs: 0,
        inTime: 0,
        longestWaitMs: 0,
      };
      results.set(workspace, result);
      result.jobs += 1;
      if ((row.endedMs ?? Infinity) - row.acceptedMs <= allowedMs)
        result.inTime += 1;
      result.longestWaitMs = Math.max(
        result.longestWaitMs,
        (row.startedMs ?? this.nowMs) - row.acceptedMs,
      );
    }
    return results;
  }

  /** Computes the time that the objective of a job allows, with advice about 30 VMs for each step. */
  private computeAllowedMs({ policy, steps }: core.workloads.Job): number {
    const { fixedMs, perVmMs } = policy.advice!;
    const chainMs =
      steps.length * (steps[0]!.estimateMs + fixedMs + 30 * perVmMs);
    return policy.stretch * chainMs + policy.slackMs;
  }

  private addVm(): void {
    const id = `vm${this.vmCount}`;
    const factor = [1, 1, 0.5, 2][this.vmCount % 4]!;
    const speeds = this.scenario.uneven?.speeds ?? [1];
    const speed = speeds[this.vmCount % speeds.length]!;
    this.vmCount += 1;
    const capacity = {
      cores: 32 * factor,
      memoryMb: 131_072 * factor,
      gpus: 0,
    };
    const entry = harnesses.createEntry(id, {
      capacity,
      rack: `r${this.vmCount % 8}`,
    });
    this.vms.set(id, {
      entry,
      speed,
      running: new Map(),
      free: { ...capacity },
      ended: [],
      nextEnd: 1,
      nextReportMs: this.nowMs,
      leavesAtMs: Infinity,
      lostAtMs: Infinity,
    });
    this.scheduler.setVmEntry(id, entry, this.nowMs);
  }

  private draw(mean: number, max: number): number {
    const factor = computeExp(0.5 * this.drawNormal() - 0.125);
    return Math.min(max, Math.max(mean * 0.2, mean * factor));
  }

  private drawRunTime(meanMs: number): number {
    const { runTimeError } = this.scenario;
    return runTimeError === undefined
      ? this.draw(meanMs, meanMs * 2.5)
      : meanMs * (1 + runTimeError * (2 * this.random() - 1));
  }

  /** Draws from nearly a normal distribution: a sum of uniform draws. */
  private drawNormal(): number {
    let sum = -6;
    for (let count = 0; count < 12; count += 1) sum += this.random();
    return sum;
  }

  /** Draws from the exponential distribution with mean 1, by comparisons alone (von Neumann's method). */
  private drawExponential(): number {
    for (let whole = 0; ; whole += 1) {
      const first = this.random();
      let previous = first;
      let next = this.random();
      let isAccepted = true;
      while (next < previous) {
        isAccepted = !isAccepted;
        previous = next;
        next = this.random();
      }
      if (isAccepted) return whole + first;
    }
  }

  private addJob(kind: Burst['kind'], workspace?: string): void {
    const spec = this.kinds[kind];
    const id = `${kind}${this.jobs.size}`;
    const steps =
      Math.floor(spec.steps) + Number(this.random() < spec.steps % 1);
    const maxPerVm = this.random() < spec.apartShare ? 1 : undefined;
    const { trueMs, declaredMs } = this.drawTimes(kind);
    const job: core.workloads.Job = {
      id,
      queue: spec.policy.name,
      payload: id,
      schedule: undefined,
      configVersion: 1,
      acceptedAtMs: this.nowMs,
      policy: spec.policy,
      ...(workspace === undefined ? {} : { workspace }),
      steps: Array.from({ length: steps }, (_, index) =>
        harnesses.createStep({
          count: Math.max(
            1,
            Math.round(
              Math.min(
                this.draw(spec.meanWidth, spec.meanWidth * 3),
                // Wider steps with one task per VM may never fit on the approved ones.
                maxPerVm === undefined
                  ? Infinity
                  : this.scenario.vms * spec.approvedShare * 0.4,
              ),
            ),
          ),
          size: {
            cores: this.draw(spec.meanCores, spec.maxCores),
            memoryMb: this.draw(22_000, 50_000),
            gpus: 0,
          },
          estimateMs: declaredMs,
          after: index === 0 ? [] : [index - 1],
          savesProgress: spec.savesProgress,
          lasts: spec.lasts,
          maxPerVm,
        }),
      ),
    };
    this.jobs.set(id, {
      kind,
      job,
      acceptedMs: this.nowMs,
      startedMs: undefined,
      endedMs: undefined,
      trueMs,
      cancelAtMs: spec.lasts
        ? this.nowMs + SERVICE_LIFE_MS * this.drawExponential()
        : Infinity,
      cancelled: false,
    });
    if (kind === 'urgent') this.urgentJobs += 1;
    if (kind === 'batch') this.batchJobs += 1;
    this.scheduler.acceptJob(job, 0, this.nowMs, this.nowMs);
    if (!spec.lasts) return;
    for (let index = 0; index < job.steps[0]!.count; index += 1)
      this.waits.set(`${id}.0.0.${index}`, {
        sinceMs: this.nowMs,
        isAfterLoss: false,
        roomSinceMs: undefined,
      });
  }

  /** Draws the mean time of a job's tasks and what is declared of it. */
  private drawTimes(kind: Burst['kind']): {
    readonly trueMs: number;
    readonly declaredMs: number;
  } {
    const { meanMs } = this.kinds[kind];
    const { uneven } = this.scenario;
    if (uneven === undefined || kind === 'service')
      return { trueMs: meanMs, declaredMs: meanMs };
    const trueMs = this.draw(meanMs, meanMs * 2.5);
    const error = uneven.declaredErrors[kind] * (2 * this.random() - 1);
    return {
      trueMs,
      declaredMs: uneven.known === 'true' ? trueMs : trueMs * (1 + error),
    };
  }

  /** Draws the time of a run of a task that doesn't last. */
  private drawRunMs(trueMs: number, speed: number): number {
    const { uneven } = this.scenario;
    if (uneven === undefined) return this.drawRunTime(trueMs);
    const factor = this.random() < uneven.stragglers ? 7 : 1;
    return (
      (trueMs * factor * computeExp(0.2 * this.drawNormal() - 0.02)) / speed
    );
  }

  private send(delayMs: number, deliver: () => void): void {
    this.messages.push({ dueMs: this.nowMs + delayMs, deliver });
  }

  private step(): void {
    this.nowMs += TICK_MS;
    const due = this.messages
      .filter(({ dueMs }) => dueMs <= this.nowMs)
      .sort((a, b) => a.dueMs - b.dueMs);
    this.messages = this.messages.filter(({ dueMs }) => dueMs > this.nowMs);
    for (const message of due) message.deliver();
    this.addArrivals();
    this.drainVms();
    this.silenceVms();
    for (const vm of [...this.vms.values()]) this.advanceVm(vm);
    const decision = this.scheduler.tick(this.nowMs, this.nowMs);
    for (const command of decision.commands) this.execute(command);
    if (decision.batch !== undefined) {
      this.batchDueMs = this.nowMs + WRITE_MS;
      this.recordFinals(decision.batch);
    }
    if (this.batchDueMs !== undefined && this.batchDueMs <= this.nowMs) {
      this.batchDueMs = undefined;
      for (const command of this.scheduler.confirmBatch())
        this.execute(command);
    }
    this.checkServices();
  }

  private recordFinals(batch: core.workloads.RecordBatch): void {
    for (const id of batch.finals.keys()) {
      const row = this.jobs.get(id)!;
      row.endedMs = this.nowMs;
      if (row.kind === 'service') continue;
      const { policy, steps } = row.job;
      const allowedMs =
        policy.stretch * steps.length * (row.trueMs + 30) + policy.slackMs;
      if (this.nowMs - row.acceptedMs > allowedMs) continue;
      if (row.kind === 'urgent') this.urgentInTime += 1;
      else this.batchInTime += 1;
    }
  }

  private addArrivals(): void {
    if (this.scenario.workspaces === undefined) {
      this.addJobs();
      return;
    }
    const { random } = this;
    this.random = this.drawArrivals;
    this.addJobs();
    this.random = random;
  }

  /** Chooses the workspace of a job, with the current factor on all arrivals. */
  private chooseWorkspace(): {
    readonly name: string | undefined;
    readonly factor: number;
  } {
    const { workspaces = [] } = this.scenario;
    if (workspaces.length === 0) return { name: undefined, factor: 1 };
    const atMs = this.nowMs - START_MS;
    const rates = workspaces.map(({ part, hot }) =>
      hot !== undefined && hot.fromMs <= atMs && atMs < hot.toMs
        ? part * hot.factor
        : part,
    );
    const total = rates.reduce((sum, rate) => sum + rate, 0);
    let left = this.random() * total;
    const index = rates.findIndex((rate) => (left -= rate) < 0);
    const usual = workspaces.reduce((sum, { part }) => sum + part, 0);
    return { name: workspaces.at(index)!.name, factor: total / usual };
  }

  private addJobs(): void {
    const { scenario } = this;
    const atMs = this.nowMs - START_MS;
    for (const kind of ['urgent', 'batch', 'service'] as const) {
      const spec = this.kinds[kind];
      let rate =
        spec.jobsPerSecond * scenario.vms * (spec.lasts ? 1 : scenario.load);
      for (const burst of scenario.bursts)
        if (burst.kind === kind && burst.fromMs <= atMs && atMs < burst.toMs)
          rate *= burst.factor;
      const { name, factor } = this.chooseWorkspace();
      if (!spec.lasts) rate *= factor;
      if (this.random() < (rate * TICK_MS) / 1_000) this.addJob(kind, name);
    }
    for (const [id, row] of this.jobs)
      if (row.cancelAtMs <= this.nowMs && !row.cancelled) {
        row.cancelled = true;
        this.scheduler.cancelJob(id, this.nowMs);
        for (const task of [...this.waits.keys()])
          if (task.startsWith(`${id}.`)) this.waits.delete(task);
      }
  }

  private drainVms(): void {
    const atMs = this.nowMs - START_MS;
    if (this.scenario.drainsAtMs.includes(atMs))
      for (const vm of [...this.vms.values()]) {
        if (this.random() > 0.1) continue;
        vm.entry = { ...vm.entry, draining: true };
        vm.leavesAtMs = this.nowMs + 8_000;
        this.scheduler.setVmEntry(vm.entry.id, vm.entry, this.nowMs);
      }
    for (const [id, vm] of [...this.vms]) {
      if (vm.leavesAtMs > this.nowMs) continue;
      for (const run of vm.running.values()) this.beginWait(run);
      this.vms.delete(id);
      this.scheduler.setVmEntry(id, undefined, this.nowMs);
      this.scheduler.loseVm(id, this.nowMs);
      this.addVm();
    }
  }

  private silenceVms(): void {
    if (this.scenario.silencesAtMs?.includes(this.nowMs - START_MS) === true)
      for (const [id, vm] of this.vms) {
        if (this.random() > 0.1) continue;
        vm.lostAtMs = this.nowMs + LEASE_MS;
        this.scheduler.suspendVm(id);
      }
    const silent = [...this.vms].filter(([, vm]) => isSilent(vm));
    this.scheduler.setSilentVms(
      new Map(silent.map(([id, { lostAtMs }]) => [id, lostAtMs])),
    );
    for (const [id, vm] of silent) {
      if (vm.lostAtMs > this.nowMs) continue;
      for (const run of vm.running.values()) this.beginWait(run, true);
      this.vms.delete(id);
      this.scheduler.setVmEntry(id, undefined, this.nowMs);
      this.scheduler.loseVm(id, this.nowMs);
      this.addVm();
    }
  }

  private advanceVm(vm: PoolVm): void {
    if (isSilent(vm)) return;
    let changed = false;
    for (const [key, run] of [...vm.running])
      if (run.endMs <= this.nowMs) {
        this.endRun(vm, key, run);
        changed = true;
      }
    if (changed || vm.nextReportMs <= this.nowMs) this.report(vm);
  }

  private endRun(vm: PoolVm, key: string, run: RunOnVm): void {
    vm.running.delete(key);
    addSize(vm.free, run.spec, 1);
    if (run.task.job.startsWith('batch') && run.how === 'done')
      this.batchTasksDone += 1;
    vm.ended.push({
      number: vm.nextEnd,
      task: run.task,
      run: run.run,
      how: run.how,
      saved: '',
    });
    vm.nextEnd += 1;
    this.beginWait(run);
  }

  private beginWait(run: RunOnVm, isAfterLoss = false): void {
    if (!run.spec.lasts || this.jobs.get(run.task.job)!.cancelled) return;
    this.waits.set(core.workloads.formatTask(run.task), {
      sinceMs: this.nowMs,
      isAfterLoss,
      roomSinceMs: undefined,
    });
  }

  private report(vm: PoolVm): void {
    vm.nextReportMs = this.nowMs + REPORT_INTERVAL_MS;
    const { id, incarnation } = vm.entry;
    const durableEnd = this.scheduler.getDurableEnd(id);
    vm.ended = vm.ended.filter(({ number }) => number > durableEnd);
    const report: core.workloads.VmReport = {
      incarnation,
      running: [...vm.running.values()].map((run) => ({
        task: run.task,
        run: run.run,
        saved: '',
        percent: run.spec.lasts
          ? 100
          : Math.min(
              99,
              Math.floor(
                ((this.nowMs - run.startedMs) / (run.endMs - run.startedMs)) *
                  100,
              ),
            ),
        load: 0,
      })),
      ended: [...vm.ended],
      requestSentMs: this.nowMs,
    };
    this.send(NETWORK_MS, () => {
      if (this.vms.has(id) && !isSilent(vm))
        this.scheduler.applyReport(id, report, this.nowMs);
    });
  }

  private execute(command: core.workloads.Command): void {
    switch (command.command) {
      case 'start':
        this.starts.push(
          `${core.workloads.formatTask(command.task)}@${command.vm}`,
        );
        this.jobs.get(command.task.job)!.startedMs ??= this.nowMs;
        this.send(NETWORK_MS, () => {
          this.receiveStart(command);
        });
        return;
      case 'stop':
        this.send(NETWORK_MS, () => {
          this.receiveStop(command);
        });
        return;
      case 'poll': {
        const vm = this.vms.get(command.vm);
        if (vm !== undefined) vm.nextReportMs = this.nowMs;
        return;
      }
      case 'advise':
        this.receiveAdvise(command);
        return;
      case 'pace':
    }
  }

  private receiveStart(
    command: Extract<core.workloads.Command, { command: 'start' }>,
  ): void {
    const vm = this.vms.get(command.vm);
    const row = this.jobs.get(command.task.job)!;
    const apply = (outcome: core.workloads.StartOutcome): void => {
      this.send(NETWORK_MS, () => {
        this.scheduler.applyStart(
          command.vm,
          command.task,
          command.run,
          outcome,
          this.nowMs,
        );
      });
    };
    if (vm === undefined || isSilent(vm)) {
      apply('unreachable');
      return;
    }
    const validUntilMs = Number(command.ticket);
    if (validUntilMs < this.nowMs) {
      apply('ticket');
      return;
    }
    const spec = row.job.steps[command.task.step]!;
    const task = core.workloads.formatTask(command.task);
    addSize(vm.free, spec, -1);
    if (vm.free.cores < -1e-6 || vm.free.memoryMb < -1e-6)
      this.violations.push(`${this.nowMs}: ${task} exceeds the capacity`);
    const lastsMs = spec.lasts
      ? this.drawExponential() * this.scenario.failureIntervalMs
      : this.drawRunMs(row.trueMs, vm.speed);
    vm.running.set(`${task}#${command.run}`, {
      task: command.task,
      run: command.run,
      spec,
      startedMs: this.nowMs,
      endMs: this.nowMs + lastsMs,
      how: spec.lasts ? 'failed' : 'done',
    });
    const wait = this.waits.get(task);
    if (wait !== undefined) {
      this.serviceWaitsMs.push(this.nowMs - wait.sinceMs);
      if (wait.isAfterLoss) this.lossWaitsMs.push(this.nowMs - wait.sinceMs);
      this.waits.delete(task);
    }
    apply('started');
  }

  private receiveStop(
    command: Extract<core.workloads.Command, { command: 'stop' }>,
  ): void {
    const { vm: id, task, run } = command;
    const vm = this.vms.get(id);
    if (vm === undefined || isSilent(vm)) return;
    const row = vm.running.get(`${core.workloads.formatTask(task)}#${run}`);
    if (row !== undefined) {
      row.how = 'stopped';
      row.endMs = this.nowMs + STOP_MS * (0.5 + this.random() / 2);
    }
    this.send(NETWORK_MS, () => {
      this.scheduler.applyStop(id, task, run, true, this.nowMs);
    });
  }

  private receiveAdvise(
    command: Extract<core.workloads.Command, { command: 'advise' }>,
  ): void {
    const { step, vms, helper, costMs } = command;
    const idleMs = Math.max(
      this.nowMs,
      this.adviceBusyUntilMs.get(helper) ?? 0,
    );
    const doneMs = idleMs + costMs + 40 + this.random() * 160;
    this.adviceBusyUntilMs.set(helper, idleMs + costMs);
    const { kind, job } = this.jobs.get(step.job)!;
    this.send(doneMs - this.nowMs, () => {
      const validUntilMs = doneMs + job.policy.advice!.validMs;
      this.scheduler.applyAdvice(
        step,
        vms,
        vms
          .filter((vm) => isApproved(step, vm, this.kinds[kind].approvedShare))
          .map((vm) => ({ vm, ticket: `${validUntilMs}` })),
        this.nowMs,
      );
    });
  }

  /** Checks that no service task waits longer than it may while an approved VM has room for it. */
  private checkServices(): void {
    const rooms = new Map<string, boolean>();
    for (const [task, wait] of this.waits) {
      const [job = '', , step = ''] = task.split('.');
      const key = `${job}.0.${step}`;
      const hasRoom = rooms.get(key) ?? this.hasApprovedRoom(job, Number(step));
      rooms.set(key, hasRoom);
      if (!hasRoom) {
        wait.roomSinceMs = undefined;
        continue;
      }
      wait.roomSinceMs ??= this.nowMs;
      const withRoomMs = this.nowMs - wait.roomSinceMs;
      this.longestWithRoomMs = Math.max(this.longestWithRoomMs, withRoomMs);
      const isOwed =
        this.nowMs - wait.sinceMs > REPLACEMENT_MS + ROOM_MS &&
        withRoomMs > ROOM_MS;
      if (!isOwed || this.violated.has(`${task}@${wait.sinceMs}`)) continue;
      this.violated.add(`${task}@${wait.sinceMs}`);
      this.violations.push(
        `${this.nowMs - START_MS}: ${task} hasn't run for ${this.nowMs - wait.sinceMs} ms and has had room for ${withRoomMs} ms`,
      );
    }
  }

  private hasApprovedRoom(jobId: string, index: number): boolean {
    const { job, kind } = this.jobs.get(jobId)!;
    const spec = job.steps[index]!;
    const step = { job: jobId, occurrence: 0, step: index };
    for (const [id, vm] of this.vms) {
      if (vm.entry.draining || isSilent(vm)) continue;
      if (
        vm.free.cores < spec.size.cores ||
        vm.free.memoryMb < spec.size.memoryMb
      )
        continue;
      if (!isApproved(step, id, this.kinds[kind].approvedShare)) continue;
      if (spec.maxPerVm === undefined) return true;
      const same = [...vm.running.values()].filter(
        ({ task }) => task.job === jobId,
      ).length;
      if (same < spec.maxPerVm) return true;
    }
    return false;
  }
}

/** Returns whether advice approves a VM for a step; the same for every call. */
function isApproved(
  step: core.workloads.StepKey,
  vm: string,
  share: number,
): boolean {
  let hash = 2_166_136_261;
  for (const char of `${step.job}.${step.step}@${vm}`)
    hash = Math.imul(hash ^ char.charCodeAt(0), 16_777_619);
  hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_519);
  hash = Math.imul(hash ^ (hash >>> 13), 3_266_489_917);
  return ((hash ^ (hash >>> 16)) >>> 0) / 4_294_967_296 < share;
}

function isSilent(vm: PoolVm): boolean {
  return vm.lostAtMs < Infinity;
}

function addSize(
  to: { cores: number; memoryMb: number },
  spec: StepSpec,
  times: number,
): void {
  to.cores += spec.size.cores * times;
  to.memoryMb += spec.size.memoryMb * times;
}

/** Approximates e^x within a percent for |x| up to 4. */
function computeExp(x: number): number {
  let power = 1 + x / 1_024;
  for (let count = 0; count < 10; count += 1) power *= power;
  return power;
}

function createRandom(seed: number): () => number {
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
