/**
 * The owner of one workers shard: it passes events from the workers, the log and the
 * release to the scheduler and executes the scheduler's commands.
 *
 * It ensures that no task runs on two workers: nothing starts on a worker before its inventory
 * is complete; a task of a job that was accepted before the take-over is held until it
 * is found or known to be on no worker; a start whose answer is lost stays in flight
 * until the worker's clock has passed its `startByMs`.
 */
import * as core from '@flamingoward/core';
import * as attemptTable from './attempts.js';
import * as calls from './calls.js';
import * as confirmation from './confirmation.js';
import * as callLimiter from './callLimiter.js';
import * as pauseDetectors from './pauseDetector.js';
import * as quotas from './quotas.js';
import * as recorders from './taskEndRecorder.js';
import * as reports from './reports.js';
import * as session from './session.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';
import * as stores from '../jobs/stores.js';
import * as takeOver from './takeover.js';
import type * as types from './types.js';

const TICK_DELAY_MS = 10;
const CHECK_INTERVAL_MS = 500;
const JOB_RENEWAL_INTERVAL_MS = 60_000;

/** Time after a pause within which the heartbeats of a new owner arrive. */
const HEARTBEAT_MARGIN_MS = 1_000;

/** Limit of concurrent sync calls other than long polls. */
const MAX_CONCURRENT_SYNCS = 64;

/** Number of consecutive failed calls from which on a worker gets no new tasks. */
const MAX_FAILED_CALLS = 2;

/** Runs a workers shard until `end` is called. */
export function createWorkersShard(
  dependencies: types.WorkersDependencies,
  tasks: stores.TaskStore,
  region: core.ids.RegionName,
  epoch: core.ids.Epoch,
): types.WorkersShard {
  const { context, streams, membership, ownership, releases, jobs } =
    dependencies;
  const { timers, log, identity } = context;
  const { scheduler, state } = createState();
  const { shard, workers } = state;
  const syncLimiter = callLimiter.createCallLimiter(MAX_CONCURRENT_SYNCS);
  const pauseDetector = pauseDetectors.createPauseDetector(timers);
  const confirmer = confirmation.createConfirmation(state);
  const appliedQuotas = new Map<core.ids.TeamName, string>();
  const ended = core.createSubject<boolean>();
  let tickTimer: core.TimerSubscription | undefined;

  function createState() {
    const own = { instance: identity.instance, epoch };
    const created = dependencies.createScheduler({
      maxStartsPerTick: dependencies.options.maxStartsPerTick,
      seed: computeSeed(epoch, dependencies.options.random),
    });
    const shardState: states.ShardState = {
      dependencies,
      tasks,
      region,
      shard: stores.formatWorkersShard(region),
      epoch,
      session: own,
      scheduler: created,
      recorder: recorders.createTaskEndRecorder(
        context,
        streams,
        tasks,
        region,
        epoch,
      ),
      attempts: attemptTable.createAttemptTable(),
      workers: new Map(),
      heldTasks: new Map(),
      knownJobs: new Set(),
      endingJobs: new Set(),
      undecidedEnds: [],
      gainedMs: timers.getNow(),
      claimReadableMs: timers.getNow(),
      lastAwaitedWorker: undefined,
      firstReportMs: undefined,
      takeOverOffset: Infinity,
      isPrepared: false,
      isConcluded: false,
      isConcluding: false,
      settledDateMs: 0,
      isClosed: false,
      apply,
      isDeciding,
    };
    return { scheduler: created, state: shardState };
  }

  // --- decisions ---

  function isDeciding(): boolean {
    if (state.isClosed || !state.isPrepared || pauseDetector.isHolding(0))
      return false;
    const current = ownership.getEpoch(shard);
    return current !== undefined && core.compareEpochs(current, epoch) === 0;
  }

  /**
   * A process that was paused may have been replaced, and its renewals would extend
   * leases beyond the time for which the new owner waits. While the log is unreachable
   * it renews again once a new owner's heartbeats would have arrived, so that running
   * tasks survive the outage.
   */
  function isRenewing(): boolean {
    if (state.isClosed || pauseDetector.isHolding(0)) return false;
    if (ownership.getEpoch(shard) !== undefined) return true;
    const isLogUnreachable = streams.getUnreachableSinceMs() !== undefined;
    return isLogUnreachable && !pauseDetector.isHolding(HEARTBEAT_MARGIN_MS);
  }

  function apply(event: core.scheduling.SchedulerEvent): void {
    scheduler.apply(event, timers.getNow());
    // Reports are frequent, and the periodic check is early enough for them.
    if (event.event !== 'worker.reported') scheduleTick();
  }

  function scheduleTick(): void {
    if (state.isClosed || tickTimer !== undefined) return;
    tickTimer = timers.subscribe(
      { name: 'workers.tick', delayMs: TICK_DELAY_MS, repeat: 'once' },
      () => {
        tickTimer = undefined;
        tick();
      },
    );
  }

  function tick(): void {
    if (!isDeciding()) return;
    const commands = scheduler.tick(timers.getNow());
    reports.recordUndecided(state);
    for (const command of commands) execute(command);
    // A tick limits its commands; the next one issues the rest.
    if (commands.length > 0) scheduleTick();
  }

  function execute(command: core.scheduling.SchedulerCommand): void {
    switch (command.command) {
      case 'start':
        void calls.startAttempt(state, command);
        break;
      case 'stop':
        calls.stopAttempt(state, command);
        break;
      case 'throttle':
        calls.throttleAttempt(state, command.worker, command.attemptId);
        break;
      case 'end-job':
        void shardJobs.endJob(state, command.job, command);
        break;
    }
  }

  // --- workers ---

  function updateVms(): void {
    const vms = membership.listVms();
    const listed = new Map<core.ids.VmId, core.workers.VmRecord>();
    for (const vm of vms)
      if (vm.role === 'worker' && vm.region === region) listed.set(vm.id, vm);
    const addresses = new Set([...listed.values()].map((vm) => vm.address));
    for (const entry of workers.values()) {
      entry.isListed = listed.has(entry.vm.id);
      // A listed VM has the same address now, so calls would reach that VM; the leases expire without renewal.
      if (!entry.isListed && addresses.has(entry.vm.address))
        entry.session.close();
      updateUsable(entry);
    }
    for (const vm of listed.values()) updateVm(vm);
    updateQuotas();
  }

  function updateVm(vm: core.workers.VmRecord): void {
    const entry = workers.get(vm.id);
    if (entry === undefined) {
      apply({ event: 'worker.listed', worker: vm });
      apply({ event: 'worker.usable', worker: vm.id, usable: false });
      workers.set(vm.id, createEntry(vm));
      return;
    }
    const isNowLeaving = entry.vm.state === 'live' && vm.state === 'leaving';
    const changed = entry.vm.state !== vm.state;
    entry.vm = vm;
    if (changed) apply({ event: 'worker.listed', worker: vm });
    // Checkpoints keep the work that is lost by a planned stop of the VM small.
    if (isNowLeaving)
      for (const attempt of state.attempts.list(vm.id))
        calls.checkpointAttempt(state, attempt);
  }

  function createEntry(vm: core.workers.VmRecord): states.WorkerEntry {
    const entry: states.WorkerEntry = {
      vm,
      isUsable: false,
      isListed: true,
      isInventoryComplete: false,
      strayAttempts: 0,
      unknownJobs: new Set(),
      handledEnds: new Map(),
      session: session.createSession(
        {
          timers,
          client: dependencies.client,
          syncLimiter,
          random: dependencies.options.random,
          isRenewing,
        },
        () => entry.vm,
        dependencies.options.workerKind,
        state.session,
        {
          handleReport: (report, complete) => {
            tryReport(entry, report, complete);
          },
          handleRestart: () => {
            entry.handledEnds.clear();
            reports.expireAttempts(state, entry);
          },
          handleHigherSession,
          handleFailure: (error) => {
            log.write('debug', 'worker.sync.failed', {
              worker: entry.vm.id,
              error: core.describeError(error),
            });
            updateUsable(entry);
          },
        },
      ),
    };
    return entry;
  }

  function handleReport(
    entry: states.WorkerEntry,
    report: core.workers.SyncReport,
    complete: boolean,
  ): void {
    if (state.isClosed) return;
    state.firstReportMs ??= timers.getNow();
    entry.isInventoryComplete = complete && state.isPrepared;
    if (entry.isInventoryComplete) reports.applyReport(state, entry, report);
    updateUsable(entry);
    void takeOver.endTakeOver(state);
  }

  /** A fault in one report must not end the session with the worker. */
  function tryReport(
    entry: states.WorkerEntry,
    report: core.workers.SyncReport,
    complete: boolean,
  ): void {
    try {
      handleReport(entry, report, complete);
    } catch (error) {
      log.write('error', 'worker.report.failed', {
        worker: entry.vm.id,
        error: core.describeError(error),
      });
    }
  }

  function handleHigherSession(seen: core.workers.SeenSession): void {
    if (state.isClosed) return;
    log.write('info', 'shard.replaced', { shard, by: seen.instance });
    end();
    if (seen.instance !== identity.instance)
      ownership.handleHigherEpoch(shard, seen.epoch);
  }

  function updateUsable(entry: states.WorkerEntry): void {
    const usable =
      entry.isListed &&
      entry.isInventoryComplete &&
      entry.strayAttempts === 0 &&
      entry.session.countFailures() < MAX_FAILED_CALLS;
    if (state.isClosed || usable === entry.isUsable) return;
    entry.isUsable = usable;
    apply({ event: 'worker.usable', worker: entry.vm.id, usable });
  }

  function checkLeases(nowMs: number): void {
    for (const entry of [...workers.values()]) {
      const leaseEndMs = core.computeLeaseEnd(entry.session.getAuthority());
      if (leaseEndMs !== undefined && nowMs > leaseEndMs)
        reports.expireAttempts(state, entry);
      if (entry.isListed || entry.strayAttempts > 0 || !state.isConcluded)
        continue;
      if (state.attempts.list(entry.vm.id).length === 0) removeWorker(entry);
    }
  }

  function removeWorker(entry: states.WorkerEntry): void {
    entry.session.close();
    workers.delete(entry.vm.id);
    apply({ event: 'worker.removed', worker: entry.vm.id });
  }

  // --- jobs, release and quotas ---

  function handleJobChange(change: core.JobChange): void {
    if (change.change === 'none' || change.job.shard !== shard) return;
    switch (change.change) {
      case 'accepted':
        if (!state.isPrepared) return;
        if (change.job.acceptedAt < state.takeOverOffset)
          shardJobs.addJob(state, change.job);
        else confirmer.add(change.job);
        return;
      case 'cancelled':
        if (!state.knownJobs.has(change.job.id)) return;
        apply({
          event: 'job.cancelled',
          job: change.job.id,
          by: change.by,
        });
        return;
      case 'ended':
        shardJobs.dropJob(state, change.job);
        return;
    }
  }

  function handleEnds(ends: readonly core.records.TaskEnd[]): void {
    for (const job of new Set(ends.map((taskEnd) => taskEnd.job)))
      shardJobs.endFinishedJob(state, job);
  }

  function updateRelease(): void {
    if (!state.isPrepared) return;
    const release = releases.getState();
    apply({
      event: 'release.changed',
      release: release.current,
      classes: [...release.classes.values()],
      teams: [...release.teams.values()],
    });
    appliedQuotas.clear();
    updateQuotas();
  }

  function updateQuotas(): void {
    if (!state.isPrepared) return;
    const share = quotas.computeShare(membership.listVms(), region);
    for (const team of releases.getState().teams.values()) {
      const quota = quotas.splitQuota(team.quota, share);
      const text = JSON.stringify(quota);
      if (appliedQuotas.get(team.name) === text) continue;
      appliedQuotas.set(team.name, text);
      apply({ event: 'team.quota', team: team.name, quota });
    }
  }

  async function startTakeOver(): Promise<void> {
    await takeOver.readTables(state);
    if (state.isClosed) return;
    state.isPrepared = true;
    updateRelease();
    for (const job of [...jobs.table.jobs.values()])
      if (job.shard === shard) shardJobs.addJob(state, job);
    // Inventories that arrived before the jobs were known weren't applied, so they are requested again.
    for (const entry of workers.values()) void entry.session.sync();
  }

  const subscriptions = [
    timers.subscribe(
      { name: 'workers.check', delayMs: CHECK_INTERVAL_MS, repeat: 'periodic' },
      () => {
        // The time passed to the callback may be the due time, which is in the past for an overdue timer.
        const nowMs = timers.getNow();
        if (streams.getUnreachableSinceMs() !== undefined)
          state.claimReadableMs = nowMs;
        if (!isDeciding()) return;
        checkLeases(nowMs);
        void takeOver.endTakeOver(state);
        tick();
      },
    ),
    timers.subscribe(
      {
        name: 'workers.carry',
        delayMs: JOB_RENEWAL_INTERVAL_MS,
        repeat: 'periodic',
      },
      () => void shardJobs.renewJobs(state),
    ),
  ];

  function end(): void {
    if (state.isClosed) return;
    state.isClosed = true;
    ended.push(true);
    ended.end();
    for (const subscription of subscriptions) subscription.end();
    tickTimer?.end();
    pauseDetector.close();
    state.recorder.close();
    for (const entry of workers.values()) entry.session.close();
  }

  function describeState(): unknown {
    return {
      shard,
      epoch,
      prepared: state.isPrepared,
      concluded: state.isConcluded,
      held: state.heldTasks.size,
      attempts: state.attempts.count(),
      endsPending: state.recorder.countPending(),
      workers: [...workers.values()].map((entry) => ({
        worker: entry.vm.id,
        usable: entry.isUsable,
        complete: entry.isInventoryComplete,
        failures: entry.session.countFailures(),
        strays: entry.strayAttempts,
      })),
      scheduler: scheduler.dump(),
    };
  }

  void jobs.changes.until(ended.stream).observe(handleJobChange);
  void tasks.ends.until(ended.stream).observe(handleEnds);
  void membership.changes.until(ended.stream).observe((what) => {
    if (what === 'vms') updateVms();
  });
  void releases.changes.until(ended.stream).observe(updateRelease);
  updateVms();
  void startTakeOver();

  return {
    shard,
    epoch,
    check: (spec) => scheduler.check(spec, timers.getNow()),
    // Another owner may have changed the tasks while this process may not decide.
    getTasks: (job) =>
      isDeciding() ? scheduler.listTaskStates(job) : undefined,
    explain: (job) => (isDeciding() ? scheduler.explain(job) : undefined),
    getTeamUse: () =>
      [...scheduler.getTeamUse()].map(([team, used]) => ({ team, used })),
    listWorkers: () =>
      [...workers.values()].map((entry) => ({
        id: entry.vm.id,
        attempts:
          entry.isInventoryComplete && isDeciding()
            ? state.attempts.list(entry.vm.id).length
            : undefined,
        closedBy: describeBlocked(entry),
      })),
    isSettled: () => state.isConcluded,
    end,
    dump: describeState,
  };
}

function describeBlocked(entry: states.WorkerEntry): string | undefined {
  if (entry.vm.state === 'leaving') return 'it is leaving';
  if (!entry.isListed) return 'it left the VM list';
  if (entry.strayAttempts > 0)
    return 'it runs attempts that this owner does not know';
  if (!entry.isInventoryComplete)
    return 'its tasks are not known yet after the take-over';
  return entry.isUsable ? undefined : 'it does not answer';
}

/** Number of provisional epochs per offset that get different seeds. */
const SEEDED_PROVISIONALS = 4;

/** Size of the random part of a seed, needed because two provisional owners may briefly hold the same epoch. */
const RANDOM_SEEDS_PER_EPOCH = 256;

/** Computes the seed of attempt ids, which has to differ between owners and between two ownerships of the same process. */
function computeSeed(epoch: core.ids.Epoch, random: () => number): number {
  const provisional = Math.min(epoch.provisional, SEEDED_PROVISIONALS - 1);
  const epochSeed =
    Math.max(0, epoch.offset) * SEEDED_PROVISIONALS + provisional;
  return (
    epochSeed * RANDOM_SEEDS_PER_EPOCH +
    Math.floor(random() * RANDOM_SEEDS_PER_EPOCH)
  );
}
