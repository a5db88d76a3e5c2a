/**
 * Ownership of the cluster by conditional appends: a claim is appended only where
 * the stream ended when it was read, so of several candidates one wins, and the
 * offset of the claim is a fence that rises with each owner. The owner renews its
 * claim; others take over when renewals stop, at once when the owner's process is
 * known to be gone, and wait their turn so that few claims compete.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as records from './records.js';
import * as successorRanks from './successors.js';
import * as tails from './tail.js';

/** Time between renewals, in ms. */
const RENEW_MS = 500;
/** Time between reads of a node that isn't the owner, in ms. */
const WATCH_MS = 1_000;
/** Time between reads while the owner is suspected, in ms. */
const SUSPECT_WATCH_MS = 100;
/** Time without a renewal after which an owner that is suspected by its silence is replaced, in ms. */
const SUSPECT_AFTER_MS = 1_000;
/** Time without a renewal after which any owner is replaced, in ms. */
const ABANDONED_AFTER_MS = 2_500;
/** Time by which each successor waits for the one before it, in ms. */
const RANK_STEP_MS = 250;
/** Time without a confirmed renewal after which an owner stops deciding, in ms. */
export const SELF_LIMIT_MS = 10_000;
/** Time that a claim or renewal may take, in ms. */
const APPEND_TIMEOUT_MS = 800;
/** Tries to record that the owner gives up: a renewal may be on its way, hardly two. */
const RELEASE_TRIES = 3;
/** Round trips to the store by which nodes wait before the first claim, so that near ones win. */
const FIRST_CLAIM_ROUND_TRIPS = 3;
const FIRST_CLAIM_JITTER_MS = 30;
const KEY = 'owner';

/** The owner as the stream tells it. */
export interface Owner {
  readonly fence: number;
  readonly instance: core.ids.InstanceId;
  readonly node: core.ids.ProcessName;
  readonly address: core.ids.Address;
  readonly released: boolean;
  /** It gave up without a record of all its starts. */
  readonly unrecorded: boolean;
}

/** What is known of the owner before this one. */
export interface PreviousOwner {
  /**
   * At least the time since the store last confirmed it, in ms; undefined when it gave
   * up or when there was none.
   */
  readonly gapMs: number | undefined;
  /** It gave up without a record of all its starts. */
  readonly unrecorded: boolean;
  /** It gives no orders any more: its process has ended, or it gave up. */
  readonly ended: boolean;
}

/** What ownership tells its node. */
export interface ClaimEvents {
  /** This node owns the cluster. */
  readonly onOwned: (fence: number, previous: PreviousOwner) => void;
  /** The store didn't confirm the claim of this node. */
  readonly onUnconfirmed: (fence: number) => void;
  /** This node has lost the cluster. */
  readonly onLost: (why: string) => void;
  /** Another node owns the cluster. */
  readonly onOwner: (owner: Owner) => void;
}

/** Ownership of the cluster. */
export interface Claims {
  open(): void;
  /** The link to the owner failed; `gone` when its process is known not to run. */
  suspect(instance: core.ids.InstanceId, gone: boolean): void;
  /** The owner has told when the store last confirmed its claim. */
  noteBeat(fence: number, confirmedAgeMs: number): void;
  /** Whether the store answered the last read. */
  isStoreReached(): boolean;
  /** Whether the store answers this node now. */
  checkStore(): Promise<boolean>;
  /** The owner has said that it gives up, and whether it leaves starts without a record. */
  noteReleased(fence: number, unrecorded: boolean): void;
  setSuccessors(instances: readonly core.ids.InstanceId[]): void;
  /** Gives up the claim; `unrecorded` tells whether it leaves starts without a record. */
  release(unrecorded: boolean): Promise<void>;
  /** This process may have been paused. */
  verify(why: string): void;
  /** A later claim is known to exist. */
  resign(why: string): void;
  readOwner(): Owner | undefined;
  /** Fence of this node while it owns the cluster. */
  readFence(): number | undefined;
  /** Time since the store confirmed this node's claim, in ms. */
  readConfirmedAge(): number;
  close(): void;
}

/** Creates ownership. */
export function createClaims(
  context: contexts.NodeContext,
  events: ClaimEvents,
): Claims {
  const { timers, log, instance, ports: outside } = context;
  const { store } = outside;
  let owner: Owner | undefined;
  let ownerKnownMs = 0;
  /** When the newest record was first seen here. */
  let renewedMs = 0;
  /** The store had confirmed the owner at this time or later. */
  let confirmedByMs = -Infinity;
  let newestOffset = -1;
  let owned: number | undefined;
  let confirmedMs = 0;
  let suspectedMs: number | undefined;
  let knownGone = false;
  /** Newest record when the owner's process was known to be gone. */
  let goneAfter: core.ids.Offset | undefined;
  let successors: readonly core.ids.InstanceId[] = [];
  let claiming = false;
  let closing = false;
  let releasedFence = 0;
  let releasedUnrecorded = false;
  let watch: core.TimerSubscription | undefined;
  let watchTurn: core.TimerSubscription | undefined;
  let roundTripMs = 0;
  let lastReadMs = -Infinity;
  let reached = false;

  const tail = tails.createTail({
    source: store.openStream('claims'),
    apply: applyRecord,
    onFailed: (why) => {
      log.write('debug', 'claims.read-failed', { why });
    },
  });

  function applyRecord(record: ports.KeyedRecord): void {
    if (record.key !== KEY || record.offset <= newestOffset) return;
    const claim =
      record.value === undefined ? undefined : records.parseClaim(record.value);
    newestOffset = record.offset;
    if (claim === undefined) return;
    renewedMs = timers.readNow();
    confirmedByMs = Math.max(confirmedByMs, lastReadMs);
    noteAlive(claim.instance, record.offset);
    const next: Owner = {
      fence: claim.fence ?? record.offset + 1,
      instance: claim.instance,
      node: claim.node,
      address: claim.address,
      released: claim.released === true,
      unrecorded: claim.unrecorded === true,
    };
    const changed =
      next.fence !== owner?.fence || next.released !== owner.released;
    owner = next;
    if (!changed) return;
    ownerKnownMs = renewedMs;
    log.write('info', 'owner.changed', {
      owner: next.node,
      fence: next.fence,
      released: next.released,
    });
    if (next.instance === instance && !next.released) beginOwning(next.fence);
    else {
      endOwning('another node claimed');
      events.onOwner(next);
      // An earlier process of this node is gone for certain.
      if (next.node === context.settings.name && next.instance !== instance) {
        suspectedMs = renewedMs;
        knownGone = true;
        goneAfter = undefined;
      }
    }
  }

  /** A renewal ends a suspicion, unless it may have been sent before the process ended. */
  function noteAlive(by: core.ids.InstanceId, offset: core.ids.Offset): void {
    const isLast = goneAfter === undefined || offset <= goneAfter;
    if (knownGone && by === owner?.instance && isLast) return;
    suspectedMs = undefined;
    knownGone = false;
  }

  function beginOwning(fence: number): void {
    if (owned === fence || closing) return;
    owned = fence;
    confirmedMs = timers.readNow();
    log.write('info', 'ownership.gained', { fence });
    events.onOwned(fence, previous);
  }

  let previous: PreviousOwner = {
    gapMs: undefined,
    unrecorded: false,
    ended: true,
  };

  function endOwning(why: string): void {
    if (owned === undefined) return;
    log.write('warn', 'ownership.lost', { fence: owned, why });
    owned = undefined;
    events.onLost(why);
  }

  function buildValue(extra: Partial<records.ClaimRecord>): string {
    const record: records.ClaimRecord = {
      node: context.settings.name,
      instance,
      address: context.settings.listen.links,
      ...extra,
    };
    return JSON.stringify(record);
  }

  async function appendClaim(
    extra: Partial<records.ClaimRecord>,
  ): Promise<ports.AppendResult> {
    return store.append('claims', [{ key: KEY, value: buildValue(extra) }], {
      expectedEnd: tail.readNext(),
      timeoutMs: APPEND_TIMEOUT_MS,
    });
  }

  async function claim(why: string): Promise<void> {
    if (claiming || closing || owned !== undefined) return;
    claiming = true;
    const nowMs = timers.readNow();
    const gaveUp =
      owner === undefined || owner.released || releasedFence === owner.fence;
    const unrecorded =
      owner?.released === true
        ? owner.unrecorded
        : gaveUp && releasedUnrecorded;
    previous = {
      gapMs: gaveUp ? undefined : nowMs - confirmedByMs,
      unrecorded,
      ended: gaveUp || knownGone,
    };
    const result = await appendClaim({});
    log.write('info', 'ownership.claim', {
      why,
      outcome: result.outcome,
      after: tail.readNext(),
      renewedAgeMs: Math.round(nowMs - renewedMs),
    });
    // Whatever the outcome, the stream tells who owns the cluster.
    await tail.refresh();
    claiming = false;
  }

  async function renew(): Promise<void> {
    const fence = owned;
    if (fence === undefined || claiming) return;
    claiming = true;
    const startedMs = timers.readNow();
    const result = await appendClaim({ fence });
    claiming = false;
    switch (result.outcome) {
      case 'appended':
        confirmedMs = startedMs;
        await tail.refresh();
        return;
      case 'conflict':
        // A renewal whose answer was lost, or another owner.
        await tail.refresh();
        if (owned === fence) confirmedMs = startedMs;
        return;
      case 'fenced':
      case 'sequence':
      case 'refused':
      case 'unknown':
        log.write('warn', 'ownership.renewal-failed', {
          fence,
          outcome: result.outcome,
          confirmedAgeMs: Math.round(timers.readNow() - confirmedMs),
        });
        if (timers.readNow() - confirmedMs > SELF_LIMIT_MS)
          endOwning('not confirmed for too long');
        else if (owned === fence) events.onUnconfirmed(fence);
        if (result.outcome === 'unknown') await tail.refresh();
    }
  }

  /** Time for which this node lets others claim before it, in ms. */
  function computeTurn(): number {
    const rank = successors.indexOf(instance);
    if (rank >= 0) return rank * RANK_STEP_MS;
    // No owner has told an order yet: nodes near the store claim first.
    return (
      roundTripMs * FIRST_CLAIM_ROUND_TRIPS +
      context.readRandom() * FIRST_CLAIM_JITTER_MS +
      successorRanks.computeWeakWait(context.settings.cores)
    );
  }

  /** Decides whether it is this node's turn to claim. */
  function decideClaim(nowMs: number): string | undefined {
    if (owner === undefined) return undefined;
    const turnMs = computeTurn();
    if (owner.released || releasedFence === owner.fence)
      return nowMs - ownerKnownMs >= turnMs || releasedFence === owner.fence
        ? 'released'
        : undefined;
    const silentMs = nowMs - renewedMs;
    if (suspectedMs !== undefined) {
      const suspectMs = nowMs - suspectedMs;
      if (knownGone && suspectMs >= turnMs) return 'process gone';
      if (silentMs >= SUSPECT_AFTER_MS + turnMs)
        return 'silent and not renewed';
    }
    return silentMs >= ABANDONED_AFTER_MS + turnMs ? 'not renewed' : undefined;
  }

  async function watchOwner(): Promise<void> {
    if (closing || owned !== undefined) return;
    const startedMs = timers.readNow();
    const read = await tail.refresh();
    const nowMs = timers.readNow();
    // A record that the next read finds was appended after this one.
    reached = read;
    if (read) lastReadMs = startedMs;
    if (!read) {
      // Renewals can't be seen now; their absence says nothing.
      renewedMs = Math.max(renewedMs, nowMs - SUSPECT_WATCH_MS);
      return;
    }
    roundTripMs = nowMs - startedMs;
    if (knownGone) goneAfter ??= newestOffset;
    if (owner === undefined) {
      await claimFirst();
      return;
    }
    const why = decideClaim(nowMs);
    if (why !== undefined) await claim(why);
  }

  /** Without any owner, nodes near the store claim first. */
  async function claimFirst(): Promise<void> {
    await core.waitFor(timers, 'claims.first', computeTurn());
    if (owner === undefined) await claim('no owner');
  }

  function scheduleWatch(delayMs: number): void {
    watchTurn?.end();
    if (closing) return;
    watchTurn = timers.subscribe(
      { name: 'claims.watch', delayMs, repeat: 'once' },
      () => {
        void watchOwner().then(() => {
          const eager =
            suspectedMs !== undefined ||
            owner === undefined ||
            owner.released ||
            releasedFence === owner.fence;
          scheduleWatch(eager ? SUSPECT_WATCH_MS : WATCH_MS);
        });
      },
    );
  }

  return {
    open() {
      watch = timers.subscribe(
        { name: 'claims.renew', delayMs: RENEW_MS, repeat: 'periodic' },
        () => {
          void renew();
        },
      );
      scheduleWatch(0);
    },
    suspect(suspected, gone) {
      if (owner?.instance !== suspected || owned !== undefined) return;
      if (suspectedMs === undefined || (gone && !knownGone)) {
        log.write('info', 'owner.suspected', { owner: owner.node, gone });
        suspectedMs = timers.readNow();
      }
      if (gone && !knownGone) goneAfter = undefined;
      knownGone = knownGone || gone;
      scheduleWatch(gone ? computeTurn() : 0);
    },
    noteBeat(fence, confirmedAgeMs) {
      if (owner?.fence !== fence) return;
      const atMs = timers.readNow() - confirmedAgeMs;
      confirmedByMs = Math.max(confirmedByMs, atMs);
      renewedMs = Math.max(renewedMs, atMs);
    },
    isStoreReached: () => reached,
    checkStore: () => tail.refresh(),
    noteReleased(fence, unrecorded) {
      if (owner?.fence !== fence || owned !== undefined) return;
      releasedFence = fence;
      releasedUnrecorded = unrecorded;
      scheduleWatch(computeTurn());
    },
    setSuccessors(instances) {
      successors = instances;
    },
    async release(unrecorded) {
      const fence = owned;
      if (fence === undefined) return;
      endOwning('released');
      closing = true;
      for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
        const result = await appendClaim({
          fence,
          released: true,
          ...(unrecorded ? { unrecorded } : {}),
        });
        log.write('info', 'ownership.released', {
          fence,
          unrecorded,
          outcome: result.outcome,
        });
        // A renewal was on its way, or another node has claimed.
        if (result.outcome !== 'conflict') return;
        if (!(await tail.refresh()) || owner?.fence !== fence) return;
      }
    },
    verify(why) {
      if (owned === undefined) return;
      log.write('info', 'ownership.verified', { why });
      void renew();
    },
    resign(why) {
      endOwning(why);
      scheduleWatch(0);
    },
    readOwner: () => owner,
    readFence: () => owned,
    readConfirmedAge: () => timers.readNow() - confirmedMs,
    close() {
      closing = true;
      watch?.end();
      watchTurn?.end();
    },
  };
}
