/**
 * The owner of one workers shard. It connects the scheduler, which decides, with
 * the workers, which run, and with the log, which remembers.
 *
 * The rules of authority over workers are applied here: nothing starts on a worker
 * before its inventory is complete; a task of a job that was accepted before the
 * take-over is held until it is found or known to be on no worker; a start whose
 * answer is lost stays in flight until the worker's clock has passed its bound.
 */
import * as core from '@flamingoward/core';
import * as attemptTable from './attempts.js';
import * as calls from './calls.js';
import * as confirmation from './confirmation.js';
import * as gate from './gate.js';
import * as pauseGuard from './pauseGuard.js';
import * as quotas from './quotas.js';
import * as recorders from './recorder.js';
import * as reports from './reports.js';
import * as session from './session.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';
import * as stores from '../jobs/stores.js';
import * as takeOver from './takeover.js';
import type * as types from './types.js';

const TICK_DELAY_MS = 10;
const CHECK_PERIOD_MS = 500;
const CARRY_PERIOD_MS = 60_000;

/** Time in which heartbeats tell a process that was paused of a new owner. */
const HEARTBEATS_MS = 1_000;

/** Short sync calls at a time. */
const CALL_LIMIT = 64;

/** Failed calls after which a worker gets no new work. */
const FAILURE_LIMIT = 2;

/** Runs a workers shard until `end` is called. */
export function createWorkersShard(
  parts: types.WorkersParts,
  tasks: stores.TaskStore,
  region: core.ids.RegionName,
  epoch: core.ids.Epoch,
): types.WorkersShard {
  const { context, streams, membership, ownership, releases, jobs } = parts;
  const { timers, log, identity } = context;
  const { scheduler, state } = createState();
  const { shard, workers } = state;
  const syncGate = gate.createGate(CALL_LIMIT);
  const pauses = pauseGuard.createPauseGuard(timers);
  const confirmer = confirmation.createConfirmation(state);
  const quotaOf = new Map<core.ids.TeamName, string>();
  const ended = core.createSubject<boolean>();
  let tickTimer: core.TimerSubscription | undefined;

  function createState() {
    const own = { instance: identity.instance, epoch };
    const created = parts.createScheduler({
      maxStartsPerTick: parts.options.maxStartsPerTick,
      seed: computeSeed(epoch, parts.options.random),
    });
    const shardState: states.ShardState = {
      parts,
      tasks,
      region,
      shard: stores.formatWorkersShard(region),
      epoch,
      own,
      scheduler: created,
      recorder: recorders.createRecorder(
        context,
        streams,
        tasks,
        region,
        epoch,
      ),
      attempts: attemptTable.createAttemptTable(),
      workers: new Map(),
      held: new Map(),
      given: new Set(),
      ending: new Set(),
      undecided: [],
      gainedMs: timers.readNow(),
      claimKnownMs: timers.readNow(),
      waitingFor: undefined,
      firstAnswerMs: undefined,
      oldBelow: Infinity,
      prepared: false,
      concluded: false,
      concluding: false,
      settledMs: 0,
      closed: false,
      apply,
      isDeciding,
    };
    return { scheduler: created, state: shardState };
  }

  // Deciding

  function isDeciding(): boolean {
    if (state.closed || !state.prepared || pauses.isHeld(0)) return false;
    const current = ownership.readEpoch(shard);
    return current !== undefined && core.compareEpochs(current, epoch) === 0;
  }

  /**
   * A process that was paused may have been replaced, and its renewals would outlast
   * the wait of the new owner. Without the log it renews again once heartbeats had
   * time to tell, so that running tasks survive an outage.
   */
  function isRenewing(): boolean {
    if (state.closed || pauses.isHeld(0)) return false;
    if (ownership.readEpoch(shard) !== undefined) return true;
    const away = streams.readAwaySince() !== undefined;
    return away && !pauses.isHeld(HEARTBEATS_MS);
  }

  function apply(event: core.scheduling.SchedulerEvent): void {
    scheduler.apply(event, timers.readNow());
    // Reports come all the time; the periodic check is soon enough for them.
    if (event.event !== 'worker.reported') scheduleTick();
  }

  function scheduleTick(): void {
    if (state.closed || tickTimer !== undefined) return;
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
    const commands = scheduler.tick(timers.readNow());
    reports.recordUndecided(state);
    for (const command of commands) execute(command);
    // What one tick left over follows in the next one.
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

  // Workers

  function updateVms(): void {
    const vms = membership.readVms();
    const listed = new Map<core.ids.VmId, core.workers.VmRecord>();
    for (const vm of vms)
      if (vm.role === 'worker' && vm.region === region) listed.set(vm.id, vm);
    const addresses = new Set([...listed.values()].map((vm) => vm.address));
    for (const entry of workers.values()) {
      entry.listed = listed.has(entry.vm.id);
      // The calls would reach another VM; the leases end without renewal.
      if (!entry.listed && addresses.has(entry.vm.address))
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
    const left = entry.vm.state === 'live' && vm.state === 'leaving';
    const changed = entry.vm.state !== vm.state;
    entry.vm = vm;
    if (changed) apply({ event: 'worker.listed', worker: vm });
    // A planned stop of the VM loses little work when each task was saved.
    if (left)
      for (const attempt of state.attempts.list(vm.id))
        calls.checkpointAttempt(state, attempt);
  }

  function createEntry(vm: core.workers.VmRecord): states.WorkerEntry {
    const entry: states.WorkerEntry = {
      vm,
      usable: false,
      listed: true,
      complete: false,
      strays: 0,
      handled: new Map(),
      session: session.createSession(
        {
          timers,
          client: parts.client,
          gate: syncGate,
          random: parts.options.random,
          isRenewing,
        },
        () => entry.vm,
        parts.options.workerKind,
        state.own,
        {
          handleReport: (report, complete) => {
            tryReport(entry, report, complete);
          },
          handleReboot: () => {
            entry.handled.clear();
            reports.expireAttempts(state, entry);
          },
          handleHigher,
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
    if (state.closed) return;
    state.firstAnswerMs ??= timers.readNow();
    entry.complete = complete && state.prepared;
    if (entry.complete) reports.applyReport(state, entry, report);
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

  function handleHigher(seen: core.workers.SeenSession): void {
    if (state.closed) return;
    log.write('info', 'shard.replaced', { shard, by: seen.instance });
    end();
    if (seen.instance !== identity.instance)
      ownership.noteHigherEpoch(shard, seen.epoch);
  }

  function updateUsable(entry: states.WorkerEntry): void {
    const usable =
      entry.listed &&
      entry.complete &&
      entry.strays === 0 &&
      entry.session.readFailures() < FAILURE_LIMIT;
    if (state.closed || usable === entry.usable) return;
    entry.usable = usable;
    apply({ event: 'worker.usable', worker: entry.vm.id, usable });
  }

  function checkLeases(nowMs: number): void {
    for (const entry of [...workers.values()]) {
      const leaseEndMs = core.readLeaseEnd(entry.session.readAuthority());
      if (leaseEndMs !== undefined && nowMs > leaseEndMs)
        reports.expireAttempts(state, entry);
      if (entry.listed || entry.strays > 0 || !state.concluded) continue;
      if (state.attempts.list(entry.vm.id).length === 0) removeWorker(entry);
    }
  }

  function removeWorker(entry: states.WorkerEntry): void {
    entry.session.close();
    workers.delete(entry.vm.id);
    apply({ event: 'worker.removed', worker: entry.vm.id });
  }

  // Jobs, release and quotas

  function handleJobChange(change: core.JobChange): void {
    if (change.change === 'none' || change.job.shard !== shard) return;
    switch (change.change) {
      case 'accepted':
        if (!state.prepared) return;
        if (change.job.acceptedAt < state.oldBelow)
          shardJobs.addJob(state, change.job);
        else confirmer.add(change.job);
        return;
      case 'cancelled':
        if (!state.given.has(change.job.id)) return;
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
    if (!state.prepared) return;
    const release = releases.readState();
    apply({
      event: 'release.changed',
      release: release.current,
      classes: [...release.classes.values()],
      teams: [...release.teams.values()],
    });
    quotaOf.clear();
    updateQuotas();
  }

  function updateQuotas(): void {
    if (!state.prepared) return;
    const share = quotas.computeShare(membership.readVms(), region);
    for (const team of releases.readState().teams.values()) {
      const quota = quotas.splitQuota(team.quota, share);
      const text = JSON.stringify(quota);
      if (quotaOf.get(team.name) === text) continue;
      quotaOf.set(team.name, text);
      apply({ event: 'team.quota', team: team.name, quota });
    }
  }

  async function begin(): Promise<void> {
    await takeOver.readTables(state);
    if (state.closed) return;
    state.prepared = true;
    updateRelease();
    for (const job of [...jobs.table.jobs.values()])
      if (job.shard === shard) shardJobs.addJob(state, job);
    // Inventories that came before the jobs were known are asked for again.
    for (const entry of workers.values()) void entry.session.sync();
  }

  const subscriptions = [
    timers.subscribe(
      { name: 'workers.check', delayMs: CHECK_PERIOD_MS, repeat: 'periodic' },
      () => {
        // Not the due time: the timer may be overdue after a pause.
        const nowMs = timers.readNow();
        if (streams.readAwaySince() !== undefined) state.claimKnownMs = nowMs;
        if (!isDeciding()) return;
        checkLeases(nowMs);
        void takeOver.endTakeOver(state);
        tick();
      },
    ),
    timers.subscribe(
      { name: 'workers.carry', delayMs: CARRY_PERIOD_MS, repeat: 'periodic' },
      () => void shardJobs.renewJobs(state),
    ),
  ];

  function end(): void {
    if (state.closed) return;
    state.closed = true;
    ended.push(true);
    ended.end();
    for (const subscription of subscriptions) subscription.end();
    tickTimer?.end();
    pauses.close();
    state.recorder.close();
    for (const entry of workers.values()) entry.session.close();
  }

  function describeState(): unknown {
    return {
      shard,
      epoch,
      prepared: state.prepared,
      concluded: state.concluded,
      held: state.held.size,
      attempts: state.attempts.count(),
      endsPending: state.recorder.countPending(),
      workers: [...workers.values()].map((entry) => ({
        worker: entry.vm.id,
        usable: entry.usable,
        complete: entry.complete,
        failures: entry.session.readFailures(),
        strays: entry.strays,
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
  void begin();

  return {
    shard,
    epoch,
    check: (spec) => scheduler.check(spec, timers.readNow()),
    readTasks: (job) => scheduler.readTasks(job),
    explain: (job) => scheduler.explain(job),
    readTeamUse: () =>
      [...scheduler.readTeamUse()].map(([team, used]) => ({ team, used })),
    listWorkers: () =>
      [...workers.values()].map((entry) => ({
        id: entry.vm.id,
        attempts: state.attempts.list(entry.vm.id).length,
        closedBy: describeClosed(entry),
      })),
    isSettled: () => state.concluded,
    end,
    dump: describeState,
  };
}

function describeClosed(entry: states.WorkerEntry): string | undefined {
  if (entry.vm.state === 'leaving') return 'it is leaving';
  if (!entry.listed) return 'it left the VM list';
  if (entry.strays > 0) return 'it runs attempts that this owner does not know';
  if (!entry.complete) return 'its tasks are not known yet after the take-over';
  return entry.usable ? undefined : 'it does not answer';
}

/** Provisional numbers that seeds tell apart. */
const SEED_PROVISIONALS = 4;

/** Random part of a seed: two provisional owners may hold the same epoch for a moment. */
const SEED_RANDOM = 256;

/** Attempt ids carry the seed, so every owner needs one of its own, also after a loss and a new gain. */
function computeSeed(epoch: core.ids.Epoch, random: () => number): number {
  const provisional = Math.min(epoch.provisional, SEED_PROVISIONALS - 1);
  const own = Math.max(0, epoch.offset) * SEED_PROVISIONALS + provisional;
  return own * SEED_RANDOM + Math.floor(random() * SEED_RANDOM);
}
