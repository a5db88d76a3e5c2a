/**
 * The owner of the cluster. It restores the jobs and their progress from the store and
 * opens a session with every VM under its fence. From then on it passes VM reports, job
 * changes and advice to the scheduler and executes the scheduler's commands.
 */
import * as core from '@flamingoward/core';
import * as answerAge from './answerAge.js';
import * as adviceRouters from './adviceRouter.js';
import * as crashReports from './crashReports.js';
import * as vmSessions from './vmSessions.js';
import * as claims from './claims.js';
import type * as contexts from './context.js';
import type * as fleets from './fleet.js';
import type * as jobStores from './jobStore.js';
import * as leases from './leases.js';
import * as loadReporters from './loadReporter.js';
import * as owedReporters from './owedReporter.js';
import * as timeouts from './timeouts.js';
import * as startReporters from './startReporter.js';
import * as recorders from './recorder.js';
import * as records from './records.js';
import * as tails from './tail.js';

/** Time between ticks without events, in ms. */
const IDLE_TICK_INTERVAL_MS = 100;
/** Time between two rounds from which this process counts as paused, in ms; several idle ticks and a long round. */
const PAUSE_MS = 1_000;
/** Delay of a tick after an event, in ms, so that events close together share one tick. */
const TICK_DELAY_MS = 4;
/** Time between reads of the stream `jobs`, in ms; other nodes write to it only when this owner doesn't answer them. */
const FOLLOW_INTERVAL_MS = 200;
/** Time between rounds that drop the records of jobs past their retention, in ms. */
const DROP_EXPIRED_INTERVAL_MS = 10_000;
/** Time for which a count of the waiting jobs is told again, in ms: nodes ask often while a queue is unresolved. */
const COUNT_INTERVAL_MS = 100;
/** Time after an outage of the store within which the entries of VMs that lapsed during it are back, in ms; the platform says about two seconds. */
const RELISTED_WITHIN_MS = 3_000;
/** Run numbers reserved for each fence, so that a new owner's runs are numbered above all earlier ones. */
const RUNS_PER_FENCE = 1_000_000;

/** Dependencies of an owner besides the context. */
export interface OwnerOptions {
  readonly fence: number;
  readonly previous: claims.PreviousOwner;
  /** Time at which the store last failed to answer this node; -Infinity if it never did. */
  readonly storeLostMs: number;
  /** Time for which a previous owner may keep granting leases without a confirmed claim, in ms. */
  readonly unconfirmedLimitMs: number;
  readonly jobs: jobStores.JobStore;
  readonly fleet: fleets.Fleet;
  readonly adviceRouter: adviceRouters.AdviceRouter;
  readonly getPolicies: () => {
    readonly version: number;
    readonly policies: ReadonlyMap<
      core.workloads.QueueName,
      core.workloads.QueuePolicy
    >;
    readonly workspaces?: ReadonlyMap<
      core.workloads.WorkspaceName,
      core.workloads.WorkspacePolicy
    >;
  };
  readonly getConfirmedAge: () => number;
  readonly getLongestConfirmedAge: () => number;
  /** Called when the store refuses an append of this owner or doesn't answer it. */
  readonly onAppendFailed: () => void;
  /** Called when a VM or the store has seen a higher fence. */
  readonly onFenced: () => void;
  /** Called when a scheduling round has failed. */
  readonly onFailed: () => void;
}

/** A copy of an owner's tables for operators. */
export interface OwnerDump {
  readonly fence: number;
  /** Whether it has restored its tables. */
  readonly ready: boolean;
  /** Whether they are recent enough to answer callers from. */
  readonly recent: boolean;
  /** Time since its last complete read of the jobs began, in ms. */
  readonly readAgeMs: number;
  /** Time since the store last confirmed its claim, in ms. */
  readonly confirmedAgeMs: number;
  readonly tables: unknown;
}

/** A count of the waiting jobs, and the age that it had when it was made. */
interface CountedJobs {
  readonly atMs: number;
  readonly ageMs: number;
  readonly counts: readonly (readonly [
    core.workloads.QueueName,
    core.workloads.UnstartedJobs,
  ])[];
}

/** The owner of the cluster. */
export interface Owner {
  readonly fence: number;
  /**
   * Resolves with what this owner can tell of a job: `unknown` only after the stream was read
   * to its end, undefined while its tables aren't restored or are too old.
   */
  getJobState(
    id: core.ids.JobId,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<core.clusterMessages.JobAnswer | undefined>;
  /** Returns the reason why no VM can ever run a job; undefined when one can, or when this isn't known. */
  checkAdmission(job: core.workloads.Job): string | undefined;
  /** Returns whether starts of this owner, or of one before it, may not be durably recorded. */
  hasUnrecorded(): boolean;
  /** Counts the waiting jobs per queue; undefined while the tables aren't restored or are too old. */
  countWaiting(): core.clusterMessages.OwnerCounts | undefined;
  getCounts(): ReadonlyMap<string, number>;
  listWorkspaceUse(): readonly core.workloads.WorkspaceUse[];
  /** Lists the workspaces with their jobs and shares. */
  listWorkspaces(): readonly core.workloads.WorkspaceSummary[];
  /** Builds the record of what a successor may assume about leases. */
  buildLeaseRecord(): records.LeaseRecord;
  /** Builds the same for the release of ownership, after which no lease may be granted. */
  buildFinalLeaseRecord(): records.LeaseRecord;
  /** Applies that the store has confirmed a record about leases. */
  confirmLeaseRecord(record: records.LeaseRecord): void;
  /** Applies that a process follows this owner, so that it sends no more orders as an earlier one. */
  handleFollower(instance: core.ids.InstanceId): void;
  /** Applies that a process has connected, so that earlier processes of its node have terminated. */
  handleProcess(
    node: core.ids.ProcessName,
    instance: core.ids.InstanceId,
  ): void;
  /** Returns its tables, which are left out until they are restored, with what tells whether they are still in force. */
  dump(): OwnerDump;
  close(): void;
}

function chooseCrashEvidence(
  why: vmSessions.LossReason,
): core.workloads.CrashEvidence | undefined {
  switch (why) {
    case 'lease expired':
      return undefined;
    case 'process terminated':
      return 'terminated';
    case 'another incarnation answered':
      return 'replaced';
  }
}

/** Creates the owner, which begins to restore state and take over the VMs. */
export function createOwner(
  context: contexts.NodeContext,
  options: OwnerOptions,
): Owner {
  const { timers, log, metrics, ports: dependencies } = context;
  const { fence, jobs, fleet, previous } = options;
  const createdMs = timers.getNow();
  const { leaseMs } = context.settings;
  let earlierOwners = previous.owners;
  let earlierLeasesEndMs = leases.computeEndMs(earlierOwners);
  /** Lease ends that the previous owner recorded. */
  const recordedEnds: ReadonlyMap<core.ids.VmId, number> = new Map([
    ...previous.silentVms,
    ...previous.lastEnds,
  ]);
  /** VMs that didn't answer the previous owner and haven't answered this one. */
  const inheritedSilentVms = new Set(previous.silentVms.keys());
  /** VMs without a session on which runs of earlier owners may go on until their leases end. */
  const unlistedVms = new Set(inheritedSilentVms);
  /** VMs that a record may name as silent; their leases aren't extended. */
  let recordedSilentVms: ReadonlySet<core.ids.VmId> = new Set(
    inheritedSilentVms,
  );
  const recorder = recorders.createRecorder(
    context,
    fence,
    options.onAppendFailed,
    (id) => jobs.find(id)?.origin,
  );
  const sessionsByVm = new Map<core.ids.VmId, vmSessions.VmSession>();
  const durableWaiters = new Set<() => void>();
  const scheduler = core.workloads.createWorkloadScheduler({
    bounds: {
      inheritedRunTimeoutMs: earlierLeasesEndMs - createdMs,
      longestStopMs: context.settings.runStopMs / leases.MIN_CLOCK_RATE,
      firstRun: fence * RUNS_PER_FENCE + 1,
      maxRecordBytes:
        context.settings.maxRecordBytes - records.RECORD_OVERHEAD_BYTES,
    },
    unrecordedStarts: previous.unrecorded,
    unlistedUntilMs: options.storeLostMs + RELISTED_WITHIN_MS,
    runTimes: context.settings.runTimes,
    nowMs: createdMs,
  });
  const owedReporter = owedReporters.createOwedReporter(context, {
    fence,
    findOwed: () =>
      scheduler.findOwed({
        nowMs: timers.getNow(),
        nowUnixMs: timers.getDate(),
        hasSession: (id) => sessionsByVm.has(id),
      }),
    listJobs: () => jobs.list(),
    hasJob: (id) => scheduler.hasJob(id),
  });
  const startReporter = startReporters.createStartReporter(context, {
    fence,
    measureStarts: () => scheduler.measureStarts(timers.getNow()),
  });
  const loadReporter = loadReporters.createLoadReporter(context, fence);
  log.write('info', 'leases.inherited', {
    fence,
    previous: earlierOwners.map(({ node }) => node).join(),
    ordersLeftMs: earlierOwners
      .map(({ lastOrderMs }) => Math.round(lastOrderMs - createdMs))
      .join(),
    claimLeftMs: earlierOwners
      .map(({ claimEndMs }) => Math.round(claimEndMs - createdMs))
      .join(),
    unrecorded: previous.unrecorded,
    inactive: previous.inactive,
    leftMs: Math.round(earlierLeasesEndMs - createdMs),
    silentVms: inheritedSilentVms.size,
    recordedEnds: recordedEnds.size,
  });
  const orderTimeout = timeouts.createOrderTimeout();
  const holdWait = timeouts.createHoldWait();
  let closed = false;
  let ready = false;
  let tickScheduled = false;
  let lastTickMs = 0;
  let lastChecked = { atMs: createdMs, date: timers.getDate() };
  /** End of the last pause of this process. */
  let resumedMs = -Infinity;
  /** Time at which the append of the last durable batch began: until then, no successor had opened its recorder. */
  let recordedSinceMs = -Infinity;
  let policyVersion = -1;
  let counted: CountedJobs | undefined;

  function isClosed(): boolean {
    return closed;
  }

  async function takeOver(): Promise<void> {
    await recorder.open();
    const progressByJob = await readProgress();
    await readUntilDone(() => jobs.refresh());
    await readUntilDone(() => fleet.refresh());
    if (isClosed()) return;
    const nowMs = timers.getNow();
    const nowDate = timers.getDate();
    updatePolicies();
    let restoredJobs = 0;
    for (const entry of jobs.list()) {
      const { job } = entry;
      if (entry.final !== undefined || job === undefined) continue;
      const ageMs = Math.max(0, nowDate - job.acceptedAtMs);
      const progress = progressByJob.get(job.id);
      scheduler.restoreJob(job, progress, ageMs, nowMs, nowDate);
      if (entry.cancelled) scheduler.cancelJob(job.id, nowMs);
      restoredJobs += 1;
    }
    for (const vm of fleet.list()) updateVm(vm.id, vm);
    for (const id of [
      ...scheduler.listInheritedVms(),
      ...listReleasedVms(nowMs),
    ])
      if (!sessionsByVm.has(id)) unlistedVms.add(id);
    // Jobs wait for VMs in the tables only.
    for (const id of unlistedVms) scheduler.setVmEntry(id, undefined, nowMs);
    fleet.setObserver(updateVm);
    jobs.setObserver(handleJobChange);
    ready = true;
    owedReporter.start();
    startReporter.start();
    log.write('info', 'owner.ready', {
      fence,
      restored: restoredJobs,
      progress: progressByJob.size,
      vms: sessionsByVm.size,
      unlisted: unlistedVms.size,
      tookMs: Math.round(timers.getNow() - createdMs),
    });
    requestTick();
    await followJobs();
  }

  async function readUntilDone(read: () => Promise<boolean>): Promise<void> {
    while (!isClosed() && !(await read()))
      await core.waitFor(timers, 'owner.retry', IDLE_TICK_INTERVAL_MS);
  }

  async function readProgress(): Promise<
    ReadonlyMap<core.ids.JobId, core.workloads.ProgressRecords>
  > {
    const progressByKey = new Map<core.workloads.ProgressKey, string>();
    const tail = tails.createTail({
      source: dependencies.store.openStream('progress'),
      apply: ({ key, value }) => {
        if (value === undefined) progressByKey.delete(key);
        else progressByKey.set(key, value);
      },
      onFailed: (why) => {
        log.write('warn', 'owner.read-failed', { stream: 'progress', why });
      },
    });
    await readUntilDone(() => tail.refresh());
    return core.workloads.splitProgress(progressByKey);
  }

  async function followJobs(): Promise<void> {
    while (!isClosed()) {
      await core.waitFor(timers, 'owner.follow', FOLLOW_INTERVAL_MS);
      await jobs.refresh();
    }
  }

  function handleJobChange(change: records.JobChange): void {
    const nowMs = timers.getNow();
    const nowDate = timers.getDate();
    switch (change.change) {
      case 'accepted': {
        const entry = jobs.find(change.job.id);
        if (entry?.final !== undefined) return;
        const ageMs = Math.max(0, nowDate - change.job.acceptedAtMs);
        scheduler.acceptJob(change.job, ageMs, nowMs, nowDate);
        if (entry?.cancelled === true)
          scheduler.cancelJob(change.job.id, nowMs);
        break;
      }
      case 'cancelled':
        scheduler.cancelJob(change.id, nowMs);
        break;
      case 'final':
      case 'body-dropped':
      case 'forgotten':
        return;
    }
    requestTick();
  }

  function updateVm(
    id: core.ids.VmId,
    vm: core.workloads.VmEntry | undefined,
  ): void {
    scheduler.setVmEntry(id, vm, timers.getNow());
    const session = sessionsByVm.get(id);
    if (vm === undefined) {
      // The VM may still have runs, so its session stays open until the lease has expired.
      if (session !== undefined) log.write('info', 'vm.unlisted', { vm: id });
      if (session?.isLost() === true) {
        scheduler.loseVm(id, timers.getNow());
        endSession(id);
      }
      requestTick();
      return;
    }
    session?.setDraining(vm.draining);
    if (session?.target.address === vm.address) return;
    unlistedVms.delete(id);
    const replacedLeaseEndMs = session?.getLeaseEnd() ?? -Infinity;
    session?.close();
    sessionsByVm.set(
      id,
      vmSessions.createVmSession(
        context,
        { id, address: vm.address },
        {
          fence,
          silentBefore: inheritedSilentVms.has(id),
          getEarlierLeaseEnd: () =>
            Math.max(replacedLeaseEndMs, getInheritedLeaseEnd(id)),
          getLeaseLimit: () =>
            options.unconfirmedLimitMs - options.getLongestConfirmedAge(),
          canExtendLease: () => !recordedSilentVms.has(id),
          draining: vm.draining,
          holdWait,
        },
        sessionEvents,
      ),
    );
  }

  /** Ends the session with a VM that is neither listed nor may have runs. */
  function endSession(id: core.ids.VmId): void {
    const session = sessionsByVm.get(id);
    if (session === undefined) return;
    session.close();
    sessionsByVm.delete(id);
    const { address } = session.target;
    // Another VM may have taken the address, and would lose its calls with the connections.
    for (const { target } of sessionsByVm.values())
      if (target.address === address) return;
    dependencies.vmCalls.drop(address);
  }

  const sessionEvents: vmSessions.VmSessionEvents = {
    onReport(id, report) {
      if (isClosed()) return;
      inheritedSilentVms.delete(id);
      loadReporter.count('report');
      // Most reports of hundreds of VMs only show that their runs go on; the idle tick is soon enough for those.
      if (scheduler.applyReport(id, report, timers.getNow())) requestTick();
    },
    onUnresponsive(id) {
      scheduler.suspendVm(id);
    },
    onLost(id, why) {
      scheduler.loseVm(id, timers.getNow(), chooseCrashEvidence(why));
      if (fleet.find(id) === undefined) endSession(id);
      requestTick();
    },
    onFenced: options.onFenced,
    getDurableEnd: (id) => scheduler.getDurableEnd(id),
    waitForDurable(waitMs) {
      return new Promise((resolve) => {
        const wake = () => {
          durableWaiters.delete(wake);
          timer.end();
          resolve();
        };
        const timer = timers.subscribe(
          { name: 'owner.durable', delayMs: waitMs, repeat: 'once' },
          wake,
        );
        durableWaiters.add(wake);
      });
    },
  };

  /** Returns the time at which the last lease of earlier owners ends on a VM. */
  function getInheritedLeaseEnd(id: core.ids.VmId): number {
    return Math.min(earlierLeasesEndMs, recordedEnds.get(id) ?? Infinity);
  }

  /** Lists the VMs that the previous owner named on its release and that may have runs without a record. */
  function listReleasedVms(nowMs: number): readonly core.ids.VmId[] {
    return previous.unrecorded
      ? [...previous.lastEnds.keys()].filter(
          (id) => getInheritedLeaseEnd(id) >= nowMs,
        )
      : [];
  }

  /** Loses the VMs that only records of earlier owners name, because they aren't listed any more. */
  function expireUnlisted(nowMs: number): void {
    for (const id of unlistedVms) {
      const endMs = getInheritedLeaseEnd(id);
      if (nowMs <= endMs) continue;
      unlistedVms.delete(id);
      inheritedSilentVms.delete(id);
      log.write('warn', 'vm.lost', {
        vm: id,
        why: 'lease expired',
        listed: false,
        leaseEndedMs: Math.round(nowMs - endMs),
      });
      scheduler.loseVm(id, nowMs);
    }
  }

  function collectSilentVms(): ReadonlyMap<core.ids.VmId, number> {
    const ends = new Map<core.ids.VmId, number>();
    for (const id of unlistedVms) ends.set(id, getInheritedLeaseEnd(id));
    for (const [id, session] of sessionsByVm)
      if (session.isSilent()) ends.set(id, session.getLeaseEnd());
    return ends;
  }

  /** Collects when the last lease ends on each VM that may have one. */
  function collectLeaseEnds(): ReadonlyMap<core.ids.VmId, number> {
    const ends = new Map<core.ids.VmId, number>();
    for (const id of [...recordedEnds.keys(), ...unlistedVms])
      ends.set(id, getInheritedLeaseEnd(id));
    for (const [id, session] of sessionsByVm)
      ends.set(id, session.getLeaseEnd());
    return ends;
  }

  /** Applies that earlier owners send no more orders. */
  function endOrders(
    hasEnded: (owner: leases.EarlierOwner) => boolean,
    why: string,
  ): void {
    const nowMs = timers.getNow();
    const ended = earlierOwners.filter(
      (owner) => owner.lastOrderMs > nowMs && hasEnded(owner),
    );
    if (ended.length === 0 || isClosed()) return;
    earlierOwners = earlierOwners.map((owner) =>
      ended.includes(owner) ? { ...owner, lastOrderMs: nowMs } : owner,
    );
    earlierLeasesEndMs = leases.computeEndMs(earlierOwners);
    log.write('info', 'leases.shortened', {
      fence,
      previous: ended.map(({ node }) => node).join(),
      why,
      leftMs: Math.round(earlierLeasesEndMs - nowMs),
    });
    scheduler.setInheritedUntil(earlierLeasesEndMs);
    for (const session of sessionsByVm.values()) session.updateEarlierLeases();
  }

  function requestTick(): void {
    if (tickScheduled || !ready) return;
    tickScheduled = true;
    timers.subscribe(
      {
        name: 'owner.tick',
        // A tick waits as long as the last one took, so that callers and VMs get half of the processor time.
        delayMs: Math.max(TICK_DELAY_MS, lastTickMs),
        repeat: 'once',
      },
      () => {
        tickScheduled = false;
        tick();
      },
    );
  }

  function updatePolicies(): void {
    const { version, policies, workspaces } = options.getPolicies();
    if (version === policyVersion) return;
    policyVersion = version;
    scheduler.setPolicies(policies);
    // Without a configuration, no limit is known yet.
    if (workspaces !== undefined || version > 0)
      scheduler.setWorkspaces(workspaces ?? new Map());
  }

  /**
   * Runs a round. One that fails may have left the tables half changed, so this owner
   * gives up and a successor restores them; the process goes on answering callers.
   */
  function tick(): void {
    if (isClosed() || !ready) return;
    try {
      runRound();
    } catch (cause) {
      log.write('error', 'owner.round-failed', {
        fence,
        cause: cause instanceof Error ? cause.stack : String(cause),
      });
      options.onFailed();
    }
  }

  function runRound(): void {
    updatePolicies();
    const startedMs = timers.getNow();
    trackPause();
    expireUnlisted(startedMs);
    scheduler.setHelpers(options.adviceRouter.listHelpers());
    scheduler.setSilentVms(collectSilentVms());
    const decision = scheduler.tick(startedMs, timers.getDate());
    lastTickMs = timers.getNow() - startedMs;
    metrics.record('tick', {}, lastTickMs);
    loadReporter.addRound(lastTickMs);
    owedReporter.logEnds(decision.endedRuns);
    owedReporter.logLateEnds(decision.lateEnds);
    crashReports.logCrashes(log, fence, decision.crashedRuns);
    crashReports.logGivenUp(log, fence, decision.givenUpTasks);
    for (const command of decision.commands) execute(command);
    if (decision.batch !== undefined) void record(decision.batch);
  }

  async function record(batch: core.workloads.RecordBatch): Promise<void> {
    trackPause();
    const startedMs = timers.getNow();
    loadReporter.count('record');
    const finals = new Map(batch.finals);
    try {
      const rejected = await recorder.write(batch);
      // Without a record, a successor would run the tasks of these jobs again.
      if (rejected.length > 0) {
        const failed = scheduler.failUnrecorded(rejected, timers.getNow());
        for (const [id, state] of failed) finals.set(id, state);
        await recorder.write({
          progress: new Map(),
          finals: failed,
          dropped: [],
        });
      }
    } catch (cause) {
      // This node may own the cluster again by now, under a later fence.
      if (isClosed()) return;
      log.write('warn', 'owner.replaced', {
        fence,
        why: core.describeError(cause),
      });
      options.onFenced();
      return;
    }
    if (isClosed()) return;
    for (const [id, state] of finals) {
      jobs.recordFinal(id, state);
      log.write('info', 'job.ended', {
        job: id,
        state,
        ...scheduler.getTiming(id, timers.getNow()),
      });
    }
    metrics.record('record', {}, timers.getNow() - startedMs);
    recordedSinceMs = startedMs;
    for (const command of scheduler.confirmBatch()) execute(command);
    for (const wake of [...durableWaiters]) wake();
    requestTick();
  }

  function execute(command: core.workloads.Command): void {
    switch (command.command) {
      case 'start':
        loadReporter.count('start');
        void start(command);
        return;
      case 'stop':
        loadReporter.count('stop');
        void stop(command);
        return;
      case 'poll':
        sessionsByVm.get(command.vm)?.poll();
        return;
      case 'pace':
        void pace(command);
        return;
      case 'advise':
        loadReporter.count('advice');
        void advise(command);
    }
  }

  type CommandOf<Name> = Extract<
    core.workloads.Command,
    { readonly command: Name }
  >;

  /** Keeps the end of the last pause; the monotonic clock stands still while the machine is suspended. */
  function trackPause(): void {
    const nowMs = timers.getNow();
    const pausedMs = Math.max(
      nowMs - lastChecked.atMs,
      timers.getDate() - lastChecked.date,
    );
    lastChecked = { atMs: nowMs, date: timers.getDate() };
    if (pausedMs > PAUSE_MS) resumedMs = nowMs;
  }

  /**
   * Returns whether a claim or batch was confirmed since the last pause of this process.
   * During the pause a successor may have learnt that a recorded start wasn't carried out,
   * and a VM that has restarted since rejects no orders of this owner.
   */
  function canSendStart(): boolean {
    trackPause();
    const nowMs = timers.getNow();
    const confirmedMs = nowMs - options.getConfirmedAge();
    return Math.max(confirmedMs, recordedSinceMs) >= resumedMs;
  }

  async function start(command: CommandOf<'start'>): Promise<void> {
    const { vm, task, run } = command;
    const confirmedAgeMs = Math.round(options.getConfirmedAge());
    const untilMs = canSendStart()
      ? sessionsByVm.get(vm)?.computeStartUntil()
      : undefined;
    const outcome = await sendStart(command, untilMs);
    if (isClosed()) return;
    log.write(outcome === 'started' ? 'info' : 'warn', 'task.start', {
      task: core.workloads.formatTask(task),
      run,
      vm,
      fence,
      outcome,
      confirmedAgeMs,
    });
    scheduler.applyStart(vm, task, run, outcome, timers.getNow(), untilMs);
    if (outcome === 'fenced') options.onFenced();
    if (outcome !== 'started') requestTick();
    for (const next of scheduler.sendWaitingStarts(vm)) execute(next);
  }

  async function sendStart(
    command: CommandOf<'start'>,
    untilMs: number | undefined,
  ): Promise<core.workloads.StartOutcome> {
    const session = sessionsByVm.get(command.vm);
    if (session === undefined || untilMs === undefined) return 'unreachable';
    session.recordLeaseExtension(untilMs);
    const sentMs = timers.getNow();
    const outcome = await dependencies.vmCalls.start(
      session.target,
      {
        ...command,
        untilMs,
        fence,
        onClock: (clockMs) => {
          session.recordStartClock(untilMs, clockMs);
        },
      },
      orderTimeout.getMs(),
    );
    if (outcome === 'unknown') orderTimeout.recordNoAnswer();
    else orderTimeout.recordAnswer(timers.getNow() - sentMs);
    return outcome;
  }

  async function stop(command: CommandOf<'stop'>): Promise<void> {
    const session = sessionsByVm.get(command.vm);
    if (session === undefined) return;
    const { vm, task, run } = command;
    const result = await dependencies.vmCalls.stop(
      session.target,
      { task, run, fence },
      orderTimeout.getMs(),
    );
    if (isClosed()) return;
    log.write('info', 'task.stop', {
      task: core.workloads.formatTask(task),
      run,
      vm,
      why: command.why,
      outcome: result,
    });
    scheduler.applyStop(vm, task, run, result === 'closed', timers.getNow());
    requestTick();
    if (result === 'fenced') options.onFenced();
  }

  async function pace(command: CommandOf<'pace'>): Promise<void> {
    const session = sessionsByVm.get(command.vm);
    if (session === undefined) return;
    const { task, run, percent } = command;
    const accepted = await dependencies.vmCalls.pace(
      session.target,
      { task, run, percent, fence },
      orderTimeout.getMs(),
    );
    log.write('info', 'task.pace', {
      task: core.workloads.formatTask(task),
      run,
      vm: command.vm,
      percent,
      paced: accepted,
    });
  }

  async function advise(command: CommandOf<'advise'>): Promise<void> {
    const startedMs = timers.getNow();
    const tickets = await options.adviceRouter.ask(command);
    if (isClosed()) return;
    metrics.record('advice', {}, timers.getNow() - startedMs);
    log.write('info', 'step.advice', {
      step: core.workloads.formatStep(command.step),
      asked: command.vms.length,
      helper: command.helper,
      costMs: Math.round(command.costMs),
      good: tickets?.length,
      tookMs: Math.round(timers.getNow() - startedMs),
    });
    scheduler.applyAdvice(command.step, command.vms, tickets, timers.getNow());
    requestTick();
  }

  /**
   * Returns the age of the tables, in ms: all jobs accepted before are in them, and no
   * later owner had claimed by then, so no other one had started any.
   */
  function getTablesAge(): number {
    return ready && !isClosed()
      ? Math.max(jobs.getReadAge(), options.getConfirmedAge())
      : Infinity;
  }

  function countJobs(nowMs: number, tablesAgeMs: number): CountedJobs {
    const counts = [...scheduler.countWaiting(nowMs)];
    // A start on its way may have been carried out since it was sent.
    const sentAgesMs = counts.map(([, { sentAgeMs }]) => sentAgeMs);
    return {
      atMs: nowMs,
      ageMs: Math.max(tablesAgeMs, ...sentAgesMs),
      counts,
    };
  }

  /** Returns the state of a job if its end is stored or the tables are recent. */
  function getKnownState(
    id: core.ids.JobId,
  ): core.clusterMessages.JobAnswer | undefined {
    const stored = jobs.find(id);
    if (stored?.final !== undefined) return stored.final;
    // An end may be stored after the cancellation and replaces it.
    if (stored?.cancelled === true && jobs.getReadAge() < answerAge.STALE_MS)
      return 'cancelled';
    if (getTablesAge() >= answerAge.STALE_MS) return undefined;
    return scheduler.getJobState(id, timers.getNow());
  }

  async function getJobState(
    id: core.ids.JobId,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<core.clusterMessages.JobAnswer | undefined> {
    if (!ready || isClosed()) return undefined;
    // A job that the caller may not read is told as one that doesn't exist.
    const isKnown = () => jobs.findReadable(id, caller) !== undefined;
    if (isKnown()) return getKnownState(id);
    if (!(await jobs.refresh())) return undefined;
    return isKnown() ? getKnownState(id) : 'unknown';
  }

  const dropExpiredTimer = timers.subscribe(
    {
      name: 'owner.forget',
      delayMs: DROP_EXPIRED_INTERVAL_MS,
      repeat: 'periodic',
    },
    () => {
      if (ready) void jobs.dropExpired();
    },
  );
  const idleTimer = timers.subscribe(
    { name: 'owner.idle', delayMs: IDLE_TICK_INTERVAL_MS, repeat: 'periodic' },
    requestTick,
  );
  takeOver().catch((cause: unknown) => {
    log.write('warn', 'owner.replaced', {
      fence,
      why: core.describeError(cause),
    });
    if (!isClosed()) options.onFenced();
  });

  return {
    fence,
    getJobState,
    countWaiting() {
      const tablesAgeMs = getTablesAge();
      if (tablesAgeMs >= answerAge.STALE_MS) return undefined;
      const nowMs = timers.getNow();
      if (counted === undefined || nowMs - counted.atMs >= COUNT_INTERVAL_MS)
        counted = countJobs(nowMs, tablesAgeMs);
      return {
        fence,
        ageMs: nowMs - counted.atMs + counted.ageMs,
        waiting: counted.counts.map(([queue, { waiting }]) => [queue, waiting]),
        unresolved: counted.counts.flatMap(([queue, { unresolved }]) =>
          unresolved > 0 ? [queue] : [],
        ),
      };
    },
    checkAdmission(job) {
      // VM entries may be missing while the store is unavailable, and jobs already known are never declined.
      if (!ready || options.getConfirmedAge() > claims.STORE_OUTAGE_AFTER_MS)
        return undefined;
      if (jobs.find(job.id) !== undefined) return undefined;
      const { pool } = job.policy;
      return scheduler.checkAdmission(
        job.steps,
        pool,
        timers.getNow(),
        job.workspace,
      );
    },
    hasUnrecorded: () =>
      ready
        ? scheduler.hasUnrecordedStarts(timers.getNow())
        : previous.unrecorded,
    getCounts: () => scheduler.getCounts(),
    listWorkspaceUse: () => scheduler.listWorkspaceUse(),
    listWorkspaces: () => scheduler.listWorkspaces(),
    buildLeaseRecord() {
      const silentVms = collectSilentVms();
      recordedSilentVms = new Set([...recordedSilentVms, ...silentVms.keys()]);
      return leases.buildRecord(
        { leaseMs, owners: earlierOwners, silentVms },
        timers.getNow(),
      );
    },
    buildFinalLeaseRecord() {
      const lastEnds = collectLeaseEnds();
      const silentVms = collectSilentVms();
      log.write('info', 'leases.released', {
        fence,
        ready,
        vms: lastEnds.size,
        silentVms: silentVms.size,
        unlisted: unlistedVms.size,
      });
      return leases.buildRecord(
        {
          // Without sessions it has granted none.
          leaseMs: ready ? leaseMs : 0,
          owners: earlierOwners,
          silentVms,
          lastEnds,
        },
        timers.getNow(),
      );
    },
    confirmLeaseRecord(record) {
      recordedSilentVms = new Set(record.silentVms.map(([id]) => id));
    },
    handleFollower(instance) {
      endOrders((owner) => owner.instance === instance, 'follows this owner');
    },
    handleProcess(node, instance) {
      endOrders(
        (owner) => owner.node === node && owner.instance !== instance,
        'process terminated',
      );
    },
    dump: () => ({
      fence,
      ready,
      recent: getTablesAge() < answerAge.STALE_MS,
      readAgeMs: Math.round(jobs.getReadAge()),
      confirmedAgeMs: Math.round(options.getConfirmedAge()),
      tables: ready ? scheduler.dump(timers.getNow()) : undefined,
    }),
    close() {
      closed = true;
      idleTimer.end();
      dropExpiredTimer.end();
      owedReporter.close();
      startReporter.close();
      loadReporter.close();
      recorder.close();
      jobs.setObserver(undefined);
      fleet.setObserver(undefined);
      for (const session of sessionsByVm.values()) session.close();
      for (const wake of [...durableWaiters]) wake();
    },
  };
}
