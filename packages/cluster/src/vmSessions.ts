/**
 * The owner's session with each VM. It sends one hold at a time: a long-polling call
 * that renews the VM's lease, waits for an end and returns a complete report of its runs.
 * The session tracks the end of the lease, until which an unresponsive VM may still have
 * runs, and reports the VM as lost after it.
 */
import * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';
import type * as contexts from './context.js';
import * as leases from './leases.js';
import type * as timeouts from './timeouts.js';
import type * as ports from './ports.js';

/** Added to the wait of a hold to get its timeout, in ms; several times the answer time of a healthy VM in another region. */
const HOLD_TIMEOUT_MARGIN_MS = 400;
/** Delay before the next hold after a failed one, in ms. */
const RETRY_DELAY_MS = 250;
const NO_DELAY_MS = 0;
/** Longest delay after answers that aren't reports, in ms; it doubles with each of them in a row. */
const MAX_UNREADABLE_DELAY_MS = 10_000;
/** Time between holds while reported ends aren't durable, in ms; such holds are answered without waiting. */
const NOT_DURABLE_WAIT_MS = 400;
/** Longest time by which answers overtake each other, in ms; a clock further back is that of a new incarnation. */
const MAX_REORDERING_MS = 3_000;
/** Acknowledges no end. */
const NO_END = 0;
/** Age of the last report above which a hold acknowledges no ends, in ms; longer than a hold waits for ends to become durable. */
const MAX_ACKNOWLEDGED_AGE_MS = 500;
/** Wait of holds that must not extend the lease now, in ms. */
const UNEXTENDED_WAIT_MS = 200;
/**
 * Share of the time left by the owner's claim for which a hold waits at most: the next one
 * must arrive before the lease ends, as the claim may be confirmed meanwhile.
 */
const CLAIM_WAIT_SHARE = 1 / 4;
/** Shortest such wait, in ms. */
const MIN_CLAIM_WAIT_MS = 100;
/** Added to the computed end of a lease, in ms. */
const LEASE_END_MARGIN_MS = 50;
/** Lease left below which a start extends it, in ms; two unanswered holds must not end the run. */
const MIN_START_LEASE_MS = 3_000;

/**
 * Longest lease of a draining VM, in ms. A VM leaves without a last report, so the end of
 * its runs is known only when its lease has expired. This is long enough for a change of
 * owner or two lost answers in a row.
 */
const DRAINING_LEASE_MS = 4_000;

/** Why no run of a VM can be left. */
export type LossReason =
  | 'lease expired'
  /** Its lease has expired, and connections to it are refused. */
  | 'process terminated'
  | 'another incarnation answered';

/** Callbacks to the owner. */
export interface VmSessionEvents {
  readonly onReport: (
    vm: core.ids.VmId,
    report: core.workloads.VmReport,
  ) => void;
  /** The VM didn't answer two holds in a row; it may still have runs. */
  readonly onUnresponsive: (vm: core.ids.VmId, why: string) => void;
  /** No run of this incarnation can be left on the VM. Called again when a new incarnation answers after the lease has expired. */
  readonly onLost: (vm: core.ids.VmId, why: LossReason) => void;
  readonly onFenced: (vm: core.ids.VmId) => void;
  /** Returns the highest number of an end whose effect is durable. */
  readonly getDurableEnd: (vm: core.ids.VmId) => number;
  /** Resolves when an end has been made durable, or after `waitMs`. */
  readonly waitForDurable: (waitMs: number) => Promise<void>;
}

/** A session with a VM. */
export interface VmSession {
  readonly target: ports.VmTarget;
  /** Computes the time on the VM's clock until which a start sent now holds its lease; undefined before the first answer and while no lease may be granted. */
  computeStartUntil(): number | undefined;
  /** Requests a report at once, in parallel with the hold that waits. */
  poll(): void;
  /** Records that a start may have extended the lease until `untilMs`, whether it is answered or not. */
  recordLeaseExtension(untilMs: number): void;
  /**
   * Records that a start with the lease `untilMs` was answered at the VM's clock `clockMs`.
   * The clock of a VM that has restarted is set back, so its lease ends later than computed.
   */
  recordStartClock(untilMs: number, clockMs: number): void;
  /** Sets whether the VM is about to leave. What its lease was granted before still counts. */
  setDraining(draining: boolean): void;
  /** Returns the time at which the last lease ends that this or an earlier owner granted. */
  getLeaseEnd(): number;
  /** Returns whether the VM doesn't answer. */
  isSilent(): boolean;
  /** Returns whether the VM was reported as lost and hasn't answered since. */
  isLost(): boolean;
  /** Applies that the leases of earlier owners end sooner than was known. */
  updateEarlierLeases(): void;
  close(): void;
}

/** Creates a session, which sends its first hold at once. */
export function createVmSession(
  context: contexts.NodeContext,
  target: ports.VmTarget,
  options: {
    readonly fence: number;
    /** Whether the VM didn't answer the previous owner. */
    readonly silentBefore: boolean;
    /** Returns the latest time at which leases granted by earlier owners and sessions end. */
    readonly getEarlierLeaseEnd: () => number;
    /** Returns whether the owner may still extend leases. */
    readonly canExtendLease: () => boolean;
    /** Returns the longest lease that the age of the owner's claim allows, in ms. */
    readonly getLeaseLimit: () => number;
    readonly draining: boolean;
    readonly holdWait: timeouts.HoldWait;
  },
  events: VmSessionEvents,
): VmSession {
  const { timers, log, metrics } = context;
  const { leaseMs } = context.settings;
  let vmClock: { readonly vmMs: number; readonly atMs: number } | undefined;
  let ownLeaseEndMs = -Infinity;
  /** Latest end of earlier owners' leases on this incarnation, which rejects their orders since it answered. */
  let earlierLeaseLimitMs = Infinity;
  let leaseEndTimer: core.TimerSubscription | undefined;
  /** Time on the VM's clock until which the last extending hold granted the lease. */
  let grantedUntilMs = -Infinity;
  let draining = options.draining;
  let closed = false;
  /** The last hold got no answer; a single answer may have been lost. */
  let responseMissed = false;
  /** The connection for the last hold was refused. */
  let refused = false;
  /** Answers in a row that weren't reports. */
  let unreadableAnswers = 0;
  /** An error has been logged and no report applied since. */
  let failing = false;
  let unresponsive = options.silentBefore;
  let lost = false;
  let replaced = false;
  let highestEndNumber = 0;
  /** Number of the latest end whose acknowledgement the incarnation that reports has answered. */
  let acknowledgedEnd = NO_END;
  /** Incarnation and VM clock of the newest report. */
  let newestReport: {
    readonly incarnation: number | undefined;
    readonly clockMs: number;
  } = { incarnation: undefined, clockMs: -Infinity };

  function getLeaseEnd(): number {
    return Math.max(
      ownLeaseEndMs,
      Math.min(options.getEarlierLeaseEnd(), earlierLeaseLimitMs),
    );
  }

  function getGrantMs(): number {
    return Math.min(
      draining ? Math.min(leaseMs, DRAINING_LEASE_MS) : leaseMs,
      options.getLeaseLimit(),
    );
  }

  function computeLeaseUntil(): number | undefined {
    const grantMs = getGrantMs();
    if (vmClock === undefined || grantMs < 0 || !options.canExtendLease())
      return undefined;
    return Math.floor(
      vmClock.vmMs + (timers.getNow() - vmClock.atMs) + grantMs,
    );
  }

  /**
   * Starts carry the lease that the last hold granted: a VM that has stopped answering gets
   * starts until its silence is noticed, and each extension would postpone the end of its runs.
   */
  function computeStartUntil(): number | undefined {
    const extendedMs = computeLeaseUntil();
    if (extendedMs === undefined) return undefined;
    // What was granted on the clock of an earlier incarnation can be far ahead of this one's.
    const untilMs = Math.min(grantedUntilMs, extendedMs);
    return extendedMs - untilMs > getGrantMs() - MIN_START_LEASE_MS
      ? extendedMs
      : untilMs;
  }

  function recordStartClock(untilMs: number, clockMs: number): void {
    const grantedMs = Math.min(leaseMs, untilMs - clockMs);
    const endMs = timers.getNow() + grantedMs / leases.MIN_CLOCK_RATE;
    ownLeaseEndMs = Math.max(ownLeaseEndMs, endMs);
  }

  /** Extends the known end of the lease to the latest time at which the VM's clock reaches `untilMs`. */
  function recordLeaseExtension(untilMs: number): void {
    if (vmClock === undefined) return;
    const endMs =
      vmClock.atMs + (untilMs - vmClock.vmMs) / leases.MIN_CLOCK_RATE;
    ownLeaseEndMs = Math.max(ownLeaseEndMs, endMs);
  }

  /**
   * Chooses the number up to which a hold acknowledges ends to a VM that has answered the
   * last one. Numbers start anew in each
   * incarnation, so an acknowledgement that a restarted VM carries out, perhaps seconds
   * late, makes it forget ends that it has never listed. Each one is therefore sent until
   * it is answered and not again, and only soon after a report.
   */
  function chooseAcknowledged(): number {
    const durableEnd = events.getDurableEnd(target.id);
    const reportAgeMs = timers.getNow() - (vmClock?.atMs ?? -Infinity);
    return durableEnd > acknowledgedEnd &&
      reportAgeMs <= MAX_ACKNOWLEDGED_AGE_MS
      ? durableEnd
      : NO_END;
  }

  function callHold(
    untilMs: number | undefined,
    waitMs: number,
    lastSeen: number,
  ): Promise<ports.HoldResult> {
    return context.ports.vmCalls.hold(
      target,
      {
        fence: options.fence,
        lastSeen,
        untilMs,
        waitMs,
      },
      waitMs + HOLD_TIMEOUT_MARGIN_MS,
    );
  }

  function getHoldWait(untilMs: number | undefined, nowMs: number): number {
    if (vmClock === undefined) return 0;
    if (untilMs === undefined) return UNEXTENDED_WAIT_MS;
    const claimWaitMs = Math.max(
      MIN_CLAIM_WAIT_MS,
      Math.floor(options.getLeaseLimit() * CLAIM_WAIT_SHARE),
    );
    return Math.min(options.holdWait.getMs(nowMs), claimWaitMs);
  }

  async function pollVm(): Promise<void> {
    const askedMs = timers.getNow();
    const result = await callHold(undefined, 0, NO_END);
    if (isClosed()) return;
    metrics.count('polls', { outcome: result.outcome });
    // A failed poll is ignored: only the waiting hold decides whether the VM is unresponsive.
    if (result.outcome === 'held') receiveReport(result, askedMs);
  }

  /** Resolves with the delay before the next hold, in ms. */
  async function holdOnce(): Promise<number> {
    const askedMs = timers.getNow();
    // An unresponsive VM may carry out holds without answering them. Holds that extend the
    // lease would keep postponing its end, so they don't until the VM answers again.
    const answers = !unresponsive && !responseMissed;
    const untilMs = answers ? computeLeaseUntil() : undefined;
    const waitMs = answers ? getHoldWait(untilMs, askedMs) : 0;
    if (untilMs !== undefined) {
      grantedUntilMs = untilMs;
      recordLeaseExtension(untilMs);
    }
    const lastSeen = answers ? chooseAcknowledged() : NO_END;
    const result = await callHold(untilMs, waitMs, lastSeen);
    if (isClosed()) return NO_DELAY_MS;
    refused = result.outcome === 'refused';
    const isUnreadable =
      result.outcome === 'failed' && result.unreadable === true;
    unreadableAnswers = isUnreadable ? unreadableAnswers + 1 : 0;
    switch (result.outcome) {
      case 'held':
        if (result.report.incarnation === newestReport.incarnation)
          acknowledgedEnd = Math.max(acknowledgedEnd, lastSeen);
        receiveReport(result, askedMs);
        failing = false;
        return NO_DELAY_MS;
      case 'fenced':
        events.onFenced(target.id);
        return RETRY_DELAY_MS;
      case 'other-life':
        if (!replaced) {
          log.write('warn', 'vm.lost', {
            vm: target.id,
            why: 'another incarnation answered',
            ...describeSilence(timers.getNow()),
          });
          events.onLost(target.id, 'another incarnation answered');
        }
        lost = true;
        replaced = true;
        return RETRY_DELAY_MS;
      case 'refused':
      case 'failed': {
        metrics.count('holds', { outcome: result.outcome });
        if (!refused) options.holdWait.recordNoAnswer(timers.getNow());
        const missedBefore = responseMissed;
        responseMissed = true;
        if (missedBefore) handleNoResponse(result.why);
        if (isUnreadable) return computeUnreadableDelay(unreadableAnswers);
        return missedBefore || refused ? RETRY_DELAY_MS : NO_DELAY_MS;
      }
    }
  }

  function receiveReport(
    result: Extract<ports.HoldResult, { outcome: 'held' }>,
    askedMs: number,
  ): void {
    // Answers on two connections can overtake each other; an older report is ignored.
    const olderMs = newestReport.clockMs - result.clockMs;
    const sameIncarnation =
      result.report.incarnation === newestReport.incarnation;
    if (sameIncarnation && olderMs > 0 && olderMs < MAX_REORDERING_MS) return;
    if (!sameIncarnation) acknowledgedEnd = NO_END;
    newestReport = {
      incarnation: result.report.incarnation,
      clockMs: result.clockMs,
    };
    vmClock = { vmMs: result.clockMs, atMs: timers.getNow() };
    const limitMs = timers.getNow() + leases.computeLongestMs(leaseMs);
    earlierLeaseLimitMs = sameIncarnation
      ? Math.min(earlierLeaseLimitMs, limitMs)
      : limitMs;
    if (unresponsive)
      log.write('info', 'vm.regained', {
        vm: target.id,
        lost,
        leaseLeftMs: Math.round(getLeaseEnd() - timers.getNow()),
        extends: options.canExtendLease(),
      });
    unresponsive = false;
    responseMissed = false;
    lost = false;
    replaced = false;
    metrics.count('holds', { outcome: 'held' });
    // A new incarnation numbers its ends from the start again.
    highestEndNumber = Math.max(
      0,
      ...result.report.ended.map(({ number }) => number),
    );
    events.onReport(target.id, {
      ...result.report,
      requestSentMs: askedMs,
      clockMs: result.clockMs,
    });
  }

  function describeSilence(nowMs: number): observability.LogFields {
    return {
      silentMs: vmClock && Math.round(nowMs - vmClock.atMs),
      leaseEndedMs: Math.round(nowMs - getLeaseEnd()),
      claimLeftMs: Math.round(options.getLeaseLimit()),
    };
  }

  function handleNoResponse(why: string): void {
    const nowMs = timers.getNow();
    if (!unresponsive) {
      log.write('warn', 'vm.silent', {
        vm: target.id,
        why,
        draining,
        leaseLeftMs: Math.round(getLeaseEnd() - nowMs),
      });
      events.onUnresponsive(target.id, why);
    }
    unresponsive = true;
    checkLeaseEnd();
  }

  /** Reports an unresponsive VM as lost once its lease has expired. */
  function checkLeaseEnd(): void {
    leaseEndTimer?.end();
    if (!unresponsive || lost || isClosed()) return;
    const nowMs = timers.getNow();
    const leftMs = getLeaseEnd() + LEASE_END_MARGIN_MS - nowMs;
    if (leftMs >= 0) {
      scheduleLeaseCheck(leftMs);
      return;
    }
    lost = true;
    // A firewall or a broken route refuses connections too, so only the lease ends the runs.
    const why = refused ? 'process terminated' : 'lease expired';
    log.write('warn', 'vm.lost', {
      vm: target.id,
      why,
      ...describeSilence(nowMs),
    });
    events.onLost(target.id, why);
  }

  function scheduleLeaseCheck(delayMs: number): void {
    leaseEndTimer = timers.subscribe(
      {
        name: 'session.lease-end',
        delayMs: Math.floor(delayMs) + 1,
        repeat: 'once',
      },
      checkLeaseEnd,
    );
  }

  function isClosed(): boolean {
    return closed;
  }

  /** Without further holds the lease of the VM would end, and with it its runs. */
  function handleFailure(cause: unknown): number {
    metrics.count('vm_session_errors', {});
    if (!failing)
      log.write('error', 'vm.session-failed', {
        vm: target.id,
        cause: cause instanceof Error ? cause.stack : String(cause),
      });
    failing = true;
    return RETRY_DELAY_MS;
  }

  async function run(): Promise<void> {
    while (!isClosed()) {
      const delayMs = await holdOnce().catch(handleFailure);
      if (isClosed()) return;
      if (delayMs > 0) await core.waitFor(timers, 'contacts.retry', delayMs);
      else if (
        !responseMissed &&
        events.getDurableEnd(target.id) < highestEndNumber
      )
        await events.waitForDurable(NOT_DURABLE_WAIT_MS);
    }
  }

  void run();
  if (options.silentBefore) {
    log.write('warn', 'vm.silent', {
      vm: target.id,
      why: 'no answer to the previous owner',
      leaseLeftMs: Math.round(getLeaseEnd() - timers.getNow()),
    });
    scheduleLeaseCheck(0);
  }

  return {
    target,
    computeStartUntil,
    recordLeaseExtension,
    recordStartClock,
    getLeaseEnd,
    isSilent: () => unresponsive,
    isLost: () => lost,
    updateEarlierLeases: checkLeaseEnd,
    poll() {
      void pollVm();
    },
    setDraining(next) {
      draining = next;
    },
    close() {
      closed = true;
      leaseEndTimer?.end();
    },
  };
}

function computeUnreadableDelay(answersInRow: number): number {
  return Math.min(
    RETRY_DELAY_MS * 2 ** (answersInRow - 1),
    MAX_UNREADABLE_DELAY_MS,
  );
}
