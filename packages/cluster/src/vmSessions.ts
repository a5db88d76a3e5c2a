/**
 * The owner's contact with each VM: one hold at a time, which renews the lease,
 * waits at the VM for an end and returns the whole truth about what runs there. The
 * contact knows how long a silent VM may still run things, and tells when that is over.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as patiences from './timeouts.js';
import type * as ports from './ports.js';

/** Time beyond the wait after which a hold has failed, in ms: several times a sound VM's answer from another region. */
const HOLD_TIMEOUT_MS = 400;
/** Time between tries at a VM that doesn't answer, in ms. */
const RETRY_MS = 250;
/** Time between holds while ends can't be made durable, in ms: they would be answered at once. */
const BLOCKED_WAIT_MS = 400;
/** Answers overtake each other by less, in ms; a clock that is further back is that of a new life. */
const OVERTAKEN_MS = 3_000;
/** VM clocks may be this much slower than ours. */
export const CLOCK_RATE = 0.98;
/** Added to the computed end of a lease, in ms. */
const LEASE_MARGIN_MS = 50;

/** What a contact tells the owner. */
export interface ContactEvents {
  readonly onReport: (
    vm: core.ids.VmId,
    report: core.workloads.VmReport,
  ) => void;
  /** The VM doesn't answer. */
  readonly onSilent: (vm: core.ids.VmId, why: string) => void;
  /** Nothing can run on the VM any more. */
  readonly onLost: (vm: core.ids.VmId, why: string) => void;
  readonly onFenced: (vm: core.ids.VmId) => void;
  /** Highest end whose effect is durable. */
  readonly readDurableEnd: (vm: core.ids.VmId) => number;
  /** Resolves when an end was made durable, or after `waitMs`. */
  readonly waitForDurable: (waitMs: number) => Promise<void>;
}

/** A contact with a VM. */
export interface Contact {
  readonly target: ports.VmTarget;
  /** Clock of the VM up to which a start may extend the lease; undefined before the first answer. */
  computeUntil(): number | undefined;
  /** Asks at once what runs there, beside the hold that waits. */
  poll(): void;
  /** An order without an answer extended the lease perhaps. */
  noteOrder(untilMs: number): void;
  close(): void;
}

/** Creates a contact and begins to hold. */
export function createContact(
  context: contexts.NodeContext,
  target: ports.VmTarget,
  terms: {
    readonly fence: number;
    /** Time at which leases of a previous owner are over at the latest. */
    readonly inheritedUntilMs: number;
    readonly patience: patiences.HoldPatience;
  },
  events: ContactEvents,
): Contact {
  const { timers, log, metrics } = context;
  const { leaseMs } = context.settings;
  let clock: { readonly vmMs: number; readonly atMs: number } | undefined;
  let leaseEndMs = terms.inheritedUntilMs;
  let closed = false;
  /** The last hold got no answer; one alone may have been lost. */
  let missed = false;
  let silent = false;
  let lost = false;
  let lastSeen = 0;
  /** Newest report, by the VM's own clock and life. */
  let newest: { readonly life: number | undefined; readonly clockMs: number } =
    { life: undefined, clockMs: -Infinity };

  function computeUntil(): number | undefined {
    if (clock === undefined) return undefined;
    return Math.floor(clock.vmMs + (timers.readNow() - clock.atMs) + leaseMs);
  }

  /** Latest time at which the VM's clock reaches `untilMs`. */
  function noteOrder(untilMs: number): void {
    if (clock === undefined) return;
    const endMs = clock.atMs + (untilMs - clock.vmMs) / CLOCK_RATE;
    leaseEndMs = Math.max(leaseEndMs, endMs);
  }

  function callHold(
    untilMs: number | undefined,
    waitMs: number,
  ): Promise<ports.HoldResult> {
    return context.ports.vmCalls.hold(
      target,
      {
        fence: terms.fence,
        lastSeen: events.readDurableEnd(target.id),
        untilMs,
        waitMs,
      },
      waitMs + HOLD_TIMEOUT_MS,
    );
  }

  async function pollVm(): Promise<void> {
    const askedMs = timers.readNow();
    const result = await callHold(undefined, 0);
    if (isClosed()) return;
    metrics.count('polls', { outcome: result.outcome });
    // Whether the VM is silent is decided by the hold that waits.
    if (result.outcome === 'held') receiveReport(result, askedMs);
  }

  async function holdOnce(): Promise<boolean> {
    const askedMs = timers.readNow();
    // A silent VM may carry out a hold without answering it: one that extends the lease
    // again and again would put off the time at which nothing can run there any more.
    const untilMs = silent || missed ? undefined : computeUntil();
    const waitMs = untilMs === undefined ? 0 : terms.patience.readWait(askedMs);
    if (untilMs !== undefined) noteOrder(untilMs);
    const result = await callHold(untilMs, waitMs);
    if (isClosed()) return false;
    switch (result.outcome) {
      case 'held':
        receiveReport(result, askedMs);
        return true;
      case 'fenced':
        events.onFenced(target.id);
        return false;
      case 'other-life':
        if (!lost) events.onLost(target.id, 'another life answered');
        lost = true;
        return false;
      case 'failed':
        metrics.count('holds', { outcome: 'failed' });
        terms.patience.noteSilence(timers.readNow());
        if (!missed) {
          missed = true;
          return true;
        }
        noteSilence(result.why);
        return false;
    }
  }

  function receiveReport(
    result: Extract<ports.HoldResult, { outcome: 'held' }>,
    askedMs: number,
  ): void {
    // Answers on two connections overtake each other; an older one says nothing new.
    const olderMs = newest.clockMs - result.clockMs;
    const sameLife = result.report.life === newest.life;
    if (sameLife && olderMs > 0 && olderMs < OVERTAKEN_MS) return;
    newest = { life: result.report.life, clockMs: result.clockMs };
    clock = { vmMs: result.clockMs, atMs: timers.readNow() };
    if (silent) log.write('info', 'vm.regained', { vm: target.id, lost });
    silent = false;
    missed = false;
    lost = false;
    metrics.count('holds', { outcome: 'held' });
    // A new life counts its ends anew.
    lastSeen = Math.max(0, ...result.report.ended.map(({ number }) => number));
    events.onReport(target.id, { ...result.report, askedMs });
  }

  function noteSilence(why: string): void {
    const nowMs = timers.readNow();
    if (!silent) {
      log.write('warn', 'vm.silent', {
        vm: target.id,
        why,
        leaseLeftMs: Math.round(leaseEndMs - nowMs),
      });
      events.onSilent(target.id, why);
    }
    silent = true;
    if (!lost && nowMs > leaseEndMs + LEASE_MARGIN_MS) {
      lost = true;
      log.write('warn', 'vm.lost', { vm: target.id, why: 'lease over' });
      events.onLost(target.id, 'lease over');
    }
  }

  function isClosed(): boolean {
    return closed;
  }

  async function run(): Promise<void> {
    while (!isClosed()) {
      const answered = await holdOnce();
      if (isClosed()) return;
      if (!answered) await core.waitFor(timers, 'contacts.retry', RETRY_MS);
      else if (!missed && events.readDurableEnd(target.id) < lastSeen)
        await events.waitForDurable(BLOCKED_WAIT_MS);
    }
  }

  void run();

  return {
    target,
    computeUntil,
    noteOrder,
    poll() {
      void pollVm();
    },
    close() {
      closed = true;
    },
  };
}
