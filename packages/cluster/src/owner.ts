/**
 * The owner of the cluster: restores the tables from the store, takes over every VM
 * by one hold under its fence, and from then on feeds the scheduler with what VMs,
 * callers and advice say and carries out what it decides.
 */
import * as core from '@flamingoward/core';
import * as adviser from './adviceRouter.js';
import * as contacts from './vmSessions.js';
import type * as claims from './claims.js';
import type * as contexts from './context.js';
import type * as fleets from './fleet.js';
import type * as jobStores from './jobStore.js';
import * as patiences from './timeouts.js';
import * as recorders from './recorder.js';
import type * as records from './records.js';
import * as tails from './tail.js';

/** Time between ticks when nothing happens, in ms. */
const IDLE_TICK_MS = 100;
/** Events that arrive within this time are decided together, in ms. */
const GATHER_MS = 4;
/** Time without a confirmed claim from which starts go out without their record, in ms. */
const UNRECORDED_AFTER_MS = 1_200;
/** Added to the longest lease that a previous owner may have granted, in ms: its last orders were on the way. */
const INHERIT_MARGIN_MS = 500;
/** Time between reads of the jobs, in ms: other nodes write only when this one doesn't answer them. */
const FOLLOW_MS = 200;
/** Time between rounds that drop jobs that ended long ago, in ms. */
const FORGET_MS = 10_000;
/** Run numbers of one owner; a new owner begins above all of them. */
const RUNS_PER_FENCE = 1_000_000;

/** What an owner needs besides the context. */
export interface OwnerOptions {
  readonly fence: number;
  readonly previous: claims.PreviousOwner;
  /** Time for which a previous owner may go on deciding without the store, in ms. */
  readonly selfLimitMs: number;
  readonly jobs: jobStores.JobStore;
  readonly fleet: fleets.Fleet;
  readonly adviser: adviser.Adviser;
  readonly readPolicies: () => {
    readonly version: number;
    readonly policies: ReadonlyMap<
      core.workloads.QueueName,
      core.workloads.QueuePolicy
    >;
  };
  readonly readConfirmedAge: () => number;
  /** The store doesn't take this owner's records. */
  readonly onStoreTrouble: () => void;
  /** A VM has met a higher fence. */
  readonly onFenced: () => void;
}

/** The owner of the cluster. */
export interface Owner {
  readonly fence: number;
  /** State of a job; `unknown` only after the stream was read to its end. */
  readJob(
    id: core.ids.JobId,
  ): Promise<core.workloads.JobState | 'unknown' | undefined>;
  /** Why a job can never be run; undefined when it can, or when this isn't known. */
  checkAdmission(job: core.workloads.Job): string | undefined;
  /** Whether starts went out whose record isn't durable. */
  hasUnrecorded(): boolean;
  countWaiting(): ReadonlyMap<core.workloads.QueueName, number>;
  readCounts(): ReadonlyMap<string, number>;
  dump(): unknown;
  close(): void;
}

/** Creates the owner and begins to take over. */
export function createOwner(
  context: contexts.NodeContext,
  options: OwnerOptions,
): Owner {
  const { timers, log, metrics, ports: outside } = context;
  const { fence, jobs, fleet, previous } = options;
  const createdMs = timers.readNow();
  const inheritMs =
    (previous.ended ? 0 : options.selfLimitMs) +
    context.settings.leaseMs / contacts.CLOCK_RATE +
    INHERIT_MARGIN_MS;
  const recorder = recorders.createRecorder(
    context,
    fence,
    options.onStoreTrouble,
  );
  const contactsByVm = new Map<core.ids.VmId, contacts.Contact>();
  const durableWaiters = new Set<() => void>();
  const scheduler = core.workloads.createWorkloadScheduler({
    bounds: {
      inheritMs,
      firstRun: fence * RUNS_PER_FENCE + 1,
    },
    unrecordedStarts:
      previous.unrecorded || (previous.gapMs ?? 0) > UNRECORDED_AFTER_MS,
    nowMs: createdMs,
  });
  const patience = patiences.createOrderPatience();
  const holdPatience = patiences.createHoldPatience();
  let closed = false;
  let ready = false;
  let gathering = false;
  let lastTickMs = 0;
  let policyVersion = -1;
  let recordingSinceMs: number | undefined;

  function isClosed(): boolean {
    return closed;
  }

  async function takeOver(): Promise<void> {
    await recorder.open();
    const stored = await readProgress();
    await readUntilDone(() => jobs.refresh());
    await readUntilDone(() => fleet.refresh());
    if (isClosed()) return;
    const nowMs = timers.readNow();
    const nowDate = timers.readDate();
    updatePolicies();
    let restored = 0;
    for (const entry of jobs.list()) {
      const { job } = entry;
      if (entry.final !== undefined || job === undefined) continue;
      const ageMs = Math.max(0, nowDate - job.acceptedAtMs);
      const text = stored.get(job.id);
      scheduler.restoreJob(job, text, ageMs, nowMs, nowDate);
      if (entry.cancelled) scheduler.cancelJob(job.id, nowMs);
      restored += 1;
    }
    for (const vm of fleet.list()) listVm(vm.id, vm);
    fleet.setObserver(listVm);
    jobs.setObserver(receiveChange);
    ready = true;
    log.write('info', 'owner.ready', {
      fence,
      restored,
      progress: stored.size,
      vms: contactsByVm.size,
      tookMs: Math.round(timers.readNow() - createdMs),
    });
    requestTick();
    await followJobs();
  }

  async function readUntilDone(read: () => Promise<boolean>): Promise<void> {
    while (!isClosed() && !(await read()))
      await core.waitFor(timers, 'owner.retry', IDLE_TICK_MS);
  }

  async function readProgress(): Promise<ReadonlyMap<core.ids.JobId, string>> {
    const found = new Map<core.ids.JobId, string>();
    const tail = tails.createTail({
      source: outside.store.openStream('progress'),
      apply: ({ key, value }) => {
        if (value === undefined) found.delete(key);
        else found.set(key, value);
      },
      onFailed: (why) => {
        log.write('warn', 'owner.read-failed', { stream: 'progress', why });
      },
    });
    await readUntilDone(() => tail.refresh());
    return found;
  }

  async function followJobs(): Promise<void> {
    while (!isClosed()) {
      await core.waitFor(timers, 'owner.follow', FOLLOW_MS);
      await jobs.refresh();
    }
  }

  function receiveChange(change: records.JobChange): void {
    const nowMs = timers.readNow();
    const nowDate = timers.readDate();
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

  function listVm(
    id: core.ids.VmId,
    vm: core.workloads.VmEntry | undefined,
  ): void {
    scheduler.listVm(id, vm, timers.readNow());
    const contact = contactsByVm.get(id);
    if (vm === undefined) {
      // It may still run things; the contact ends with its lease.
      if (contact !== undefined) log.write('info', 'vm.unlisted', { vm: id });
      requestTick();
      return;
    }
    if (contact?.target.address === vm.address) return;
    contact?.close();
    contactsByVm.set(
      id,
      contacts.createContact(
        context,
        { id, address: vm.address },
        {
          fence,
          inheritedUntilMs: createdMs + inheritMs,
          patience: holdPatience,
        },
        contactEvents,
      ),
    );
  }

  const contactEvents: contacts.ContactEvents = {
    onReport(id, report) {
      if (isClosed()) return;
      scheduler.applyReport(id, report, timers.readNow());
      requestTick();
    },
    onSilent(id) {
      scheduler.suspendVm(id);
    },
    onLost(id) {
      scheduler.loseVm(id, timers.readNow());
      if (fleet.find(id) === undefined) {
        const contact = contactsByVm.get(id);
        contact?.close();
        if (contact !== undefined) outside.vmCalls.drop(contact.target.address);
        contactsByVm.delete(id);
      }
      requestTick();
    },
    onFenced: options.onFenced,
    readDurableEnd: (id) => scheduler.readDurableEnd(id),
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

  function requestTick(): void {
    if (gathering || !ready) return;
    gathering = true;
    timers.subscribe(
      {
        name: 'owner.tick',
        // Callers and VMs get as much of the processor as decisions.
        delayMs: Math.max(GATHER_MS, lastTickMs),
        repeat: 'once',
      },
      () => {
        gathering = false;
        tick();
      },
    );
  }

  function updatePolicies(): void {
    const { version, policies } = options.readPolicies();
    if (version === policyVersion) return;
    policyVersion = version;
    scheduler.setPolicies(policies);
  }

  function tick(): void {
    if (isClosed() || !ready) return;
    updatePolicies();
    const startedMs = timers.readNow();
    scheduler.setHelpers(options.adviser.listHelpers());
    const decision = scheduler.tick(startedMs, timers.readDate());
    lastTickMs = timers.readNow() - startedMs;
    metrics.record('tick', {}, lastTickMs);
    for (const command of decision.commands) execute(command);
    if (decision.batch !== undefined) void record(decision.batch);
    else releaseUnrecorded();
  }

  async function record(batch: core.workloads.RecordBatch): Promise<void> {
    const startedMs = timers.readNow();
    recordingSinceMs = startedMs;
    try {
      await recorder.write(batch);
    } catch (cause) {
      log.write('warn', 'owner.replaced', {
        fence,
        why: core.describeError(cause),
      });
      options.onFenced();
      return;
    }
    recordingSinceMs = undefined;
    if (isClosed()) return;
    for (const [id, state] of batch.finals) {
      jobs.noteFinal(id, state);
      log.write('info', 'job.ended', {
        job: id,
        state,
        ...scheduler.readTiming(id, timers.readNow()),
      });
    }
    metrics.record('record', {}, timers.readNow() - startedMs);
    for (const command of scheduler.confirmBatch()) execute(command);
    for (const wake of [...durableWaiters]) wake();
    requestTick();
  }

  /** Accepted work goes on while the store is away, at the price of a careful successor. */
  function releaseUnrecorded(): void {
    if (recordingSinceMs === undefined) return;
    const nowMs = timers.readNow();
    if (nowMs - recordingSinceMs < UNRECORDED_AFTER_MS) return;
    if (options.readConfirmedAge() < UNRECORDED_AFTER_MS) return;
    for (const command of scheduler.releaseStarts()) execute(command);
  }

  function execute(command: core.workloads.Command): void {
    switch (command.command) {
      case 'start':
        void start(command);
        return;
      case 'stop':
        void stop(command);
        return;
      case 'poll':
        contactsByVm.get(command.vm)?.poll();
        return;
      case 'pace':
        void pace(command);
        return;
      case 'advise':
        void advise(command);
    }
  }

  type CommandOf<Name> = Extract<
    core.workloads.Command,
    { readonly command: Name }
  >;

  async function start(command: CommandOf<'start'>): Promise<void> {
    const { vm, task, run } = command;
    const outcome = await sendStart(command);
    if (isClosed()) return;
    log.write(outcome === 'started' ? 'info' : 'warn', 'task.start', {
      task: core.workloads.formatTask(task),
      run,
      vm,
      fence,
      outcome,
    });
    scheduler.applyStart(vm, task, run, outcome, timers.readNow());
    if (outcome === 'fenced') options.onFenced();
    if (outcome !== 'started') requestTick();
  }

  async function sendStart(
    command: CommandOf<'start'>,
  ): Promise<core.workloads.StartOutcome> {
    const contact = contactsByVm.get(command.vm);
    const untilMs = contact?.computeUntil();
    if (contact === undefined || untilMs === undefined) return 'unreachable';
    contact.noteOrder(untilMs);
    const sentMs = timers.readNow();
    const outcome = await outside.vmCalls.start(
      contact.target,
      { ...command, untilMs, fence },
      patience.readTimeout(),
    );
    if (outcome === 'unknown') patience.noteSilence();
    else patience.noteAnswer(timers.readNow() - sentMs);
    return outcome;
  }

  async function stop(command: CommandOf<'stop'>): Promise<void> {
    const contact = contactsByVm.get(command.vm);
    if (contact === undefined) return;
    const { vm, task, run } = command;
    const result = await outside.vmCalls.stop(
      contact.target,
      { task, run, fence },
      patience.readTimeout(),
    );
    if (isClosed()) return;
    log.write('info', 'task.stop', {
      task: core.workloads.formatTask(task),
      run,
      vm,
      why: command.why,
      outcome: result,
    });
    scheduler.applyStop(vm, task, run, result === 'closed', timers.readNow());
    requestTick();
    if (result === 'fenced') options.onFenced();
  }

  async function pace(command: CommandOf<'pace'>): Promise<void> {
    const contact = contactsByVm.get(command.vm);
    if (contact === undefined) return;
    const { task, run, percent } = command;
    const paced = await outside.vmCalls.pace(
      contact.target,
      { task, run, percent, fence },
      patience.readTimeout(),
    );
    log.write('info', 'task.pace', {
      task: core.workloads.formatTask(task),
      run,
      vm: command.vm,
      percent,
      paced,
    });
  }

  async function advise(command: CommandOf<'advise'>): Promise<void> {
    const startedMs = timers.readNow();
    const good = await options.adviser.ask(command);
    if (isClosed()) return;
    metrics.record('advice', {}, timers.readNow() - startedMs);
    log.write('info', 'step.advice', {
      step: core.workloads.formatStep(command.step),
      asked: command.vms.length,
      helper: command.helper,
      costMs: Math.round(command.costMs),
      good: good?.length,
      tookMs: Math.round(timers.readNow() - startedMs),
    });
    scheduler.applyAdvice(command.step, command.vms, good, timers.readNow());
    requestTick();
  }

  function readKnown(id: core.ids.JobId): core.workloads.JobState | undefined {
    const stored = jobs.find(id);
    if (stored?.final !== undefined) return stored.final;
    if (stored?.cancelled === true) return 'cancelled';
    return scheduler.readJob(id) ?? (stored?.job && 'pending');
  }

  async function readJob(
    id: core.ids.JobId,
  ): Promise<core.workloads.JobState | 'unknown' | undefined> {
    if (!ready || isClosed()) return undefined;
    const known = readKnown(id);
    if (known !== undefined) return known;
    if (!(await jobs.refresh())) return undefined;
    return readKnown(id) ?? 'unknown';
  }

  const forgetting = timers.subscribe(
    { name: 'owner.forget', delayMs: FORGET_MS, repeat: 'periodic' },
    () => {
      if (ready) void jobs.dropOld();
    },
  );
  const idle = timers.subscribe(
    { name: 'owner.idle', delayMs: IDLE_TICK_MS, repeat: 'periodic' },
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
    readJob,
    countWaiting: () => (ready ? scheduler.countWaiting() : new Map()),
    checkAdmission(job) {
      // Entries of VMs may be missing while the store is away, and of known jobs none is refused.
      if (!ready || options.readConfirmedAge() > UNRECORDED_AFTER_MS)
        return undefined;
      if (jobs.find(job.id) !== undefined) return undefined;
      const { pool } = job.policy;
      return scheduler.checkAdmission(job.steps, pool, timers.readNow());
    },
    hasUnrecorded: () => scheduler.hasUnrecorded(),
    readCounts: () => scheduler.readCounts(),
    dump: () => scheduler.dump(),
    close() {
      closed = true;
      idle.end();
      forgetting.end();
      recorder.close();
      jobs.setObserver(undefined);
      fleet.setObserver(undefined);
      for (const contact of contactsByVm.values()) contact.close();
      for (const wake of [...durableWaiters]) wake();
    },
  };
}
