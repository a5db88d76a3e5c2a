/**
 * Test harness for the workload scheduler: VMs that carry out commands at once, a store
 * whose writes are durable at once, and a clock that only the test advances.
 */
import * as core from '../../src/index.js';
import * as schedulers from '../../src/workloads/scheduler.js';
import * as states from '../../src/workloads/state.js';

type Workloads = typeof core.workloads;
type Step = Parameters<Workloads['formatStep']>[0];

/** Longest time that VMs take to stop a run, in ms. */
export const LONGEST_STOP_MS = 900;

/** Creates a queue policy with defaults. */
export function createPolicy(
  given: Partial<core.workloads.QueuePolicy> = {},
): core.workloads.QueuePolicy {
  return {
    name: 'queue',
    pool: 'pool',
    priority: 1,
    attempts: 3,
    stretch: 2,
    slackMs: 1_000,
    advice: undefined,
    ...given,
  };
}

/** Creates a step with defaults. */
export function createStep(
  given: Partial<core.workloads.StepSpec> = {},
): core.workloads.StepSpec {
  return {
    count: 1,
    size: { cores: 1, memoryMb: 100, gpus: 0 },
    estimateMs: 1_000,
    after: [],
    savesProgress: false,
    gang: false,
    oneRack: false,
    label: undefined,
    dataRack: undefined,
    maxPerVm: undefined,
    allowsCopies: false,
    lasts: false,
    image: undefined,
    targetMs: undefined,
    fills: false,
    mayMiss: undefined,
    ...given,
  };
}

/** Creates a job of one step with defaults. */
export function createJob(
  given: Partial<core.workloads.Job> = {},
): core.workloads.Job {
  return {
    id: 'job',
    queue: 'queue',
    payload: 'work',
    steps: [createStep()],
    schedule: undefined,
    configVersion: 1,
    acceptedAtMs: 0,
    policy: createPolicy(),
    ...given,
  };
}

/** Creates the stored progress of a job with a single record; none when it has no record. */
export function createProgress(
  text: string | undefined,
  job = 'job',
): core.workloads.ProgressRecords | undefined {
  return text === undefined ? undefined : new Map([[job, text]]);
}

/** Creates a scheduler whose tables the test can examine. */
export function createOpenScheduler(
  nowMs: number,
  unrecordedStarts = false,
  runTimes: core.workloads.RunTimeSource = 'declared',
) {
  const options = {
    runTimes,
    bounds: {
      inheritedRunTimeoutMs: 16_000,
      longestStopMs: LONGEST_STOP_MS,
      firstRun: 1,
      maxRecordBytes: 262_144,
    },
    unrecordedStarts,
    nowMs,
  };
  const state = states.createState(options);
  return {
    state,
    scheduler: schedulers.createWorkloadScheduler(options, state),
  };
}

/** Creates a VM entry with defaults. */
export function createEntry(
  id: string,
  given: Partial<core.workloads.VmEntry> = {},
): core.workloads.VmEntry {
  return {
    id,
    address: `${id}:1`,
    incarnation: 1,
    pool: 'pool',
    availabilityZone: 'zone',
    rack: 'r1-1',
    labels: [],
    capacity: { cores: 8, memoryMb: 8_000, gpus: 8 },
    draining: false,
    ...given,
  };
}

interface RunOnVm {
  readonly task: core.workloads.TaskKey;
  readonly run: number;
  percent: number;
  load: number;
  /** Time at which its stop ends, until which the VM lists it nowhere. */
  stopEndsMs?: number;
}

/** A simulated VM. */
export interface HarnessVm {
  entry: core.workloads.VmEntry;
  readonly running: Map<string, RunOnVm>;
  ended: core.workloads.ReportedEnd[];
  nextEnd: number;
}

/** The scheduler under test with its simulated VMs, store and clock. */
export interface Harness {
  readonly scheduler: core.workloads.WorkloadScheduler;
  readonly vms: Map<string, HarnessVm>;
  /** All commands of the scheduler so far. */
  readonly commands: core.workloads.Command[];
  getNow(): number;
  /** Stored progress records by job. */
  readonly progress: Map<string, string>;
  readonly finals: Map<string, core.workloads.FinalState>;
  /** VMs whose runs make no progress. */
  readonly stalledVms: Set<string>;
  /** Sets whether batches become durable. */
  setStoreAvailable(available: boolean): void;
  addVm(id: string, given?: Partial<core.workloads.VmEntry>): void;
  addJob(
    id: string,
    steps: readonly core.workloads.StepSpec[],
    policy?: core.workloads.QueuePolicy,
    schedule?: core.workloads.Schedule,
    workspace?: core.workloads.WorkspaceName,
  ): core.workloads.Job;
  /** Advances the clock and the runs, sends all reports and runs the scheduler. */
  advance(byMs: number): void;
  /** Advances the clock by 1 ms and runs the scheduler without regular reports. */
  settle(): void;
  /** Advances the clock alone. */
  wait(forMs: number): void;
  /** Ends a run on its VM. */
  endRun(
    vm: string,
    run: number,
    how: core.workloads.RunEnd,
    saved?: string,
  ): void;
  /** Sends the report of a VM to the scheduler. */
  report(vm: string): void;
  listRuns(): readonly {
    readonly vm: string;
    readonly task: string;
    readonly run: number;
  }[];
  /** Steps of all advice requests so far. */
  listAdvisedSteps(): readonly Step[];
}

/** Options of a harness. */
export interface HarnessOptions {
  readonly firstRun?: number;
  readonly maxRecordBytes?: number;
  readonly unrecordedStarts?: boolean;
  /** Returns whether advice approves a VM for a step; all VMs are approved when absent. */
  readonly isApproved?: (step: Step, vm: string) => boolean;
  /** Whether the first start command is lost without an answer. */
  readonly losesFirstStart?: boolean;
  /** Whether advice requests get no answer. */
  readonly ignoresAdvice?: boolean;
  /** Time that VMs take to stop a run, which they list nowhere meanwhile, in ms; none when absent. */
  readonly unlistedStopMs?: number;
  /** Initial time of the clock, in ms. */
  readonly startMs?: number;
}

/** Creates a harness. */
export function createHarness(options: HarnessOptions = {}): Harness {
  let nowMs = options.startMs ?? 1_000;
  const vms = new Map<string, HarnessVm>();
  const commands: core.workloads.Command[] = [];
  const stalledVms = new Set<string>();
  let losesNextStart = options.losesFirstStart ?? false;
  let storeAvailable = true;
  let openBatch: core.workloads.RecordBatch | undefined;
  const progress = new Map<string, string>();
  const finals = new Map<string, core.workloads.FinalState>();
  const scheduler = core.workloads.createWorkloadScheduler({
    bounds: {
      inheritedRunTimeoutMs: 16_000,
      longestStopMs: LONGEST_STOP_MS,
      firstRun: options.firstRun ?? 1,
      maxRecordBytes: options.maxRecordBytes ?? 262_144,
    },
    unrecordedStarts: options.unrecordedStarts ?? false,
    nowMs,
  });

  function execute(command: core.workloads.Command): void {
    commands.push(command);
    switch (command.command) {
      case 'start': {
        if (losesNextStart) {
          losesNextStart = false;
          return;
        }
        const vm = vms.get(command.vm)!;
        vm.running.set(
          `${command.run}/${core.workloads.formatTask(command.task)}`,
          {
            task: command.task,
            run: command.run,
            percent: 0,
            load: 0,
          },
        );
        scheduler.applyStart(
          command.vm,
          command.task,
          command.run,
          'started',
          nowMs,
        );
        for (const next of scheduler.sendWaitingStarts(command.vm))
          execute(next);
        return;
      }
      case 'stop': {
        // No command reaches a VM that isn't listed.
        if (!vms.has(command.vm)) return;
        scheduler.applyStop(command.vm, command.task, command.run, true, nowMs);
        stopTask(command.vm, command.task, command.run);
        return;
      }
      case 'advise':
        if (options.ignoresAdvice === true) return;
        scheduler.applyAdvice(
          command.step,
          command.vms,
          command.vms
            .filter((vm) => options.isApproved?.(command.step, vm) ?? true)
            .map((vm) => ({ vm, ticket: `t-${vm}` })),
          nowMs,
        );
        return;
      case 'poll':
        nowMs += 1;
        report(command.vm);
        return;
      case 'pace':
    }
  }

  function stopTask(
    id: string,
    task: core.workloads.TaskKey,
    run: number,
  ): void {
    const name = `${run}/${core.workloads.formatTask(task)}`;
    const stopped = vms.get(id)!.running.get(name);
    if (options.unlistedStopMs === undefined) endTask(id, task, run, 'stopped');
    else if (stopped !== undefined)
      stopped.stopEndsMs ??= nowMs + options.unlistedStopMs;
  }

  function endTask(
    id: string,
    task: core.workloads.TaskKey,
    run: number,
    how: core.workloads.RunEnd,
    saved = '',
  ): void {
    const vm = vms.get(id)!;
    if (!vm.running.delete(`${run}/${core.workloads.formatTask(task)}`)) return;
    vm.ended.push({ number: vm.nextEnd, task, run, how, saved });
    vm.nextEnd += 1;
  }

  function report(id: string): void {
    const vm = vms.get(id)!;
    for (const { task, run, stopEndsMs } of [...vm.running.values()])
      if (stopEndsMs !== undefined && stopEndsMs <= nowMs)
        endTask(id, task, run, 'stopped');
    const durableEnd = scheduler.getDurableEnd(id);
    vm.ended = vm.ended.filter(({ number }) => number > durableEnd);
    scheduler.applyReport(
      id,
      {
        incarnation: vm.entry.incarnation,
        running: [...vm.running.values()]
          .filter(({ stopEndsMs }) => stopEndsMs === undefined)
          .map((run) => ({ ...run, saved: '' })),
        ended: vm.ended,
        requestSentMs: nowMs,
      },
      nowMs,
    );
  }

  function settle(): void {
    for (let round = 0; round < 5; round += 1) {
      const decision = scheduler.tick(nowMs, nowMs);
      for (const command of decision.commands) execute(command);
      openBatch ??= decision.batch;
      if (openBatch !== undefined && storeAvailable) {
        for (const [id, text] of openBatch.progress) progress.set(id, text);
        for (const [id, state] of openBatch.finals) finals.set(id, state);
        for (const id of openBatch.dropped) progress.delete(id);
        openBatch = undefined;
        for (const command of scheduler.confirmBatch()) execute(command);
      }
    }
  }

  return {
    scheduler,
    vms,
    commands,
    progress,
    finals,
    stalledVms,
    getNow: () => nowMs,
    setStoreAvailable(available) {
      storeAvailable = available;
    },
    addVm(id, given = {}) {
      const entry = createEntry(id, given);
      vms.set(id, { entry, running: new Map(), ended: [], nextEnd: 1 });
      scheduler.setVmEntry(id, entry, nowMs);
      report(id);
    },
    addJob(id, steps, policy = createPolicy(), schedule?, workspace?) {
      const job: core.workloads.Job = {
        id,
        queue: policy.name,
        payload: 'work',
        steps,
        schedule,
        configVersion: 1,
        acceptedAtMs: nowMs,
        policy,
        ...(workspace === undefined ? {} : { workspace }),
      };
      scheduler.acceptJob(job, 0, nowMs, nowMs);
      return job;
    },
    advance(byMs) {
      nowMs += byMs;
      for (const vm of vms.values())
        for (const run of vm.running.values())
          if (!stalledVms.has(vm.entry.id))
            run.percent = Math.min(99, run.percent + 1);
      for (const id of vms.keys()) report(id);
      settle();
    },
    settle() {
      nowMs += 1;
      settle();
    },
    wait(forMs) {
      nowMs += forMs;
    },
    endRun(id, run, how, saved) {
      for (const entry of [...vms.get(id)!.running.values()])
        if (entry.run === run) endTask(id, entry.task, run, how, saved);
    },
    report,
    listRuns: () =>
      [...vms].flatMap(([vm, { running }]) =>
        [...running.values()].map(({ task, run }) => ({
          vm,
          task: core.workloads.formatTask(task),
          run,
        })),
      ),
    listAdvisedSteps: () =>
      commands.flatMap((command) =>
        command.command === 'advise' ? [command.step] : [],
      ),
  };
}
