/**
 * Leader election by conditional appends to the stream `claims`. A claim is appended
 * only if the stream still ends where the candidate last read it, so one of several
 * candidates wins; the claim's offset gives the fence, which rises with each owner.
 * The owner renews its claim. Other nodes claim when renewals stop, or without that
 * delay when the owner's process seems to have terminated, staggered by rank so that few
 * compete. A claim too early costs a change of owner, and no more: what the owner before may
 * still do counts as over only on proof.
 */
import * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import * as leases from './leases.js';
import type * as ports from './ports.js';
import * as records from './records.js';
import * as successorRanks from './successors.js';
import * as tails from './tail.js';

/** Time between renewals, in ms. */
const RENEW_INTERVAL_MS = 500;
/** Time between reads of the stream by a node that isn't the owner, in ms. */
const WATCH_INTERVAL_MS = 1_000;
/** The same while the owner is suspected, released or unknown, in ms. */
const FAST_WATCH_INTERVAL_MS = 100;
/** Time without a renewal after which an owner that is also suspected is replaced, in ms. */
const SUSPECTED_OWNER_TIMEOUT_MS = 1_000;
/** Time without a renewal after which any owner is replaced, in ms. */
const OWNER_TIMEOUT_MS = 2_500;
/** Delay between the claims of consecutive successors, in ms. */
const CLAIM_DELAY_PER_RANK_MS = 250;
/**
 * Time without a confirmed renewal after which an owner gives up ownership, in ms. All its
 * leases end within that time as well, because a successor that hears nothing from it has
 * to wait for their end.
 */
export const UNCONFIRMED_LIMIT_MS = 10_000;
/**
 * Time without a confirmed claim after which the store counts as unavailable to the owner,
 * in ms. Owners of earlier builds then send starts before these are recorded.
 */
export const STORE_OUTAGE_AFTER_MS = 1_200;
/** Timeout for appending a claim or renewal, in ms. */
const APPEND_TIMEOUT_MS = 800;
/** Attempts to append a release record; a renewal in flight makes one of them conflict, rarely two. */
const MAX_RELEASE_ATTEMPTS = 3;
/** Delay of the very first claim in round trips to the store, so that nodes near the store win. */
const FIRST_CLAIM_ROUND_TRIPS = 3;
const FIRST_CLAIM_MAX_JITTER_MS = 30;
const KEY = 'owner';

/** What shows that the owner may have failed. */
export type Suspicion =
  /** A link has broken or heartbeats are missing. */
  | 'silent'
  /** Connections to it are refused: no process listens there, or the network rejects them. */
  | 'refused'
  /** A later process of its node runs. */
  | 'terminated';

/** A moment on the monotonic clock and as time of day. */
interface Moment {
  readonly atMs: number;
  readonly date: number;
}

/** The owner according to the stream. */
export interface Owner {
  readonly fence: number;
  readonly instance: core.ids.InstanceId;
  readonly node: core.ids.ProcessName;
  readonly address: core.ids.Address;
  readonly released: boolean;
  /** Its starts, or those of an owner before it, may not all be durably recorded. */
  readonly unrecorded: boolean;
  /** It sends no start before its record is durable; owners of earlier builds do in an outage. */
  readonly recordsStarts: boolean;
  /** Time at which its newest record was read. */
  readonly readMs: number;
  /** Undefined when its build doesn't record leases. */
  readonly leases: records.LeaseRecord | undefined;
}

/** What a new owner knows about its predecessor. */
export interface PreviousOwner {
  /** Its starts, or those of an owner before it, may not all be durably recorded. */
  readonly unrecorded: boolean;
  /** It sends no more orders: its process has terminated, or it released ownership. */
  readonly inactive: boolean;
  /** The owners whose leases may not have ended. */
  readonly owners: readonly leases.EarlierOwner[];
  /** Time at which the lease of each VM ends that didn't answer the previous owner. */
  readonly silentVms: ReadonlyMap<core.ids.VmId, number>;
  /** Time at which the last lease of any owner ends, by VM, if the previous owner recorded it on its release. */
  readonly lastEnds: ReadonlyMap<core.ids.VmId, number>;
}

/** Callbacks to the node. */
export interface ClaimEvents {
  /** This node has become the owner. */
  readonly onOwned: (fence: number, previous: PreviousOwner) => void;
  /** The store didn't confirm a renewal of this node's claim; the node is still the owner. */
  readonly onUnconfirmed: (fence: number) => void;
  /** This node is no longer the owner. */
  readonly onLost: (why: string) => void;
  /** Another node has become the owner, or has released ownership. */
  readonly onOwner: (owner: Owner) => void;
  /** Builds what this node records about leases as the owner. */
  readonly buildLeaseRecord: () => records.LeaseRecord | undefined;
  /** Builds what this node records about leases when it grants no more. */
  readonly buildFinalLeaseRecord: () => records.LeaseRecord | undefined;
  /** Returns whether starts of this owner, or of one before it, may not be durably recorded. */
  readonly hasUnrecorded: () => boolean;
  /** The store has confirmed a renewal with this record. */
  readonly onRenewed: (record: records.LeaseRecord) => void;
}

/** Claims, renews, watches and releases ownership of the cluster. */
export interface Claims {
  open(): void;
  /** Reports that the owner may have failed. */
  suspect(instance: core.ids.InstanceId, evidence: Suspicion): void;
  /** Handles a heartbeat, which carries the time since the store last confirmed the owner's claim, and the offset of that renewal. */
  handleHeartbeat(
    fence: number,
    confirmedAgeMs: number,
    confirmedOffset: core.ids.Offset | undefined,
  ): void;
  /** Returns whether the store answered this node's last read. */
  isStoreReachable(): boolean;
  /** Returns the time at which the store last failed to answer a read of this node; -Infinity if it never did. */
  getStoreLostMs(): number;
  /** Reads from the store and returns whether it answered. */
  checkStore(): Promise<boolean>;
  /** Handles the owner's notice that it releases ownership; `unrecorded` when some of its starts aren't durably recorded. */
  handleRelease(fence: number, unrecorded: boolean): void;
  setSuccessors(instances: readonly core.ids.InstanceId[]): void;
  /** Releases ownership with a record in the stream; `unrecorded` when some starts aren't durably recorded. */
  release(unrecorded: boolean): Promise<void>;
  /** Renews at once, because another node may have claimed while this process was paused. */
  verify(why: string): void;
  /** Gives up ownership without a record in the stream. */
  resign(why: string): void;
  getOwner(): Owner | undefined;
  /** Fence of this node; undefined while it isn't the owner. */
  getFence(): number | undefined;
  /** Time since the store last confirmed this node's claim, in ms. */
  getConfirmedAge(): number;
  /**
   * Longest time that may have passed since the store last confirmed this node's claim, in
   * ms. The monotonic clock stands still while the machine is suspended, and the time of day
   * may jump.
   */
  getLongestConfirmedAge(): number;
  /** Offset of the newest renewal that the store has confirmed; undefined before the first one. */
  getConfirmedOffset(): core.ids.Offset | undefined;
  close(): void;
}

/** Creates the ownership of a node; `open` begins to watch the stream. */
export function createClaims(
  context: contexts.NodeContext,
  events: ClaimEvents,
): Claims {
  const { timers, log, instance, ports: dependencies } = context;
  const { store } = dependencies;
  let currentOwner: Owner | undefined;
  let ownerChangedMs = 0;
  /** Time from which a missing renewal counts: that of the newest record, confirmed heartbeat or failed read. */
  let ownerRenewedMs = 0;
  /** Lower bound of the time at which the store last confirmed the owner's claim. */
  let ownerConfirmedMs = -Infinity;
  let newestOffset = -1;
  let ownedFence: number | undefined;
  let claimConfirmed: Moment = { atMs: 0, date: 0 };
  let claimConfirmedOffset: core.ids.Offset | undefined;
  /** Newest renewal of which the owner has told, and the latest time at which it was sent. */
  let toldRenewal: { offset: core.ids.Offset; sentByMs: number } | undefined;
  let suspectedSinceMs: number | undefined;
  let suspicion: Suspicion = 'silent';
  /** Offset of the newest record once the owner's process seemed to have terminated. */
  let offsetAtTermination: core.ids.Offset | undefined;
  let successors: readonly core.ids.InstanceId[] = [];
  /** Position of this process among those that aren't ranked; drawn once, so that its delay doesn't change. */
  const unrankedDelayShare = context.getRandom();
  let claiming = false;
  let closing = false;
  let releasedFence = 0;
  /** Time at which the owner's notice of its release arrived. */
  let toldReleasedMs = -Infinity;
  let releasedUnrecorded = false;
  let renewTimer: core.TimerSubscription | undefined;
  let watchTimer: core.TimerSubscription | undefined;
  let roundTripMs = 0;
  let lastReadStart: Moment = { atMs: -Infinity, date: -Infinity };
  let storeReachable = false;
  /** Time of the last read that failed. */
  let storeLostMs = -Infinity;

  const tail = tails.createTail({
    source: store.openStream('claims'),
    apply: applyRecord,
    onFailed: (why) => {
      storeLostMs = timers.getNow();
      log.write('debug', 'claims.read-failed', { why });
    },
  });

  function applyRecord(record: ports.KeyedRecord): void {
    if (record.key !== KEY || record.offset <= newestOffset) return;
    const claim =
      record.value === undefined ? undefined : records.parseClaim(record.value);
    newestOffset = record.offset;
    if (claim === undefined) return;
    ownerRenewedMs = timers.getNow();
    ownerConfirmedMs = Math.max(ownerConfirmedMs, lastReadStart.atMs);
    clearSuspicion(claim.instance, record.offset);
    const next: Owner = {
      fence: claim.fence ?? record.offset + 1,
      instance: claim.instance,
      node: claim.node,
      address: claim.address,
      released: claim.released === true,
      unrecorded: claim.unrecorded === true,
      recordsStarts: claim.recordsStarts === true,
      readMs: ownerRenewedMs,
      leases: claim.leases,
    };
    const changed =
      next.fence !== currentOwner?.fence ||
      next.released !== currentOwner.released;
    currentOwner = next;
    if (!changed) return;
    ownerChangedMs = ownerRenewedMs;
    log.write('info', 'owner.changed', {
      owner: next.node,
      fence: next.fence,
      released: next.released,
    });
    if (next.instance === instance && !next.released)
      startOwnership(next.fence);
    else {
      endOwnership('another node claimed ownership');
      events.onOwner(next);
      // The owner is an earlier process of this node, which must have terminated.
      if (next.node === context.settings.name && next.instance !== instance) {
        suspectedSinceMs = ownerRenewedMs;
        suspicion = 'terminated';
        offsetAtTermination = undefined;
      }
    }
  }

  /** Clears the suspicion after a renewal, unless that may have been sent before the owner's process terminated. */
  function clearSuspicion(
    renewingInstance: core.ids.InstanceId,
    offset: core.ids.Offset,
  ): void {
    const mayPrecedeTermination =
      offsetAtTermination === undefined || offset <= offsetAtTermination;
    if (
      suspicion !== 'silent' &&
      renewingInstance === currentOwner?.instance &&
      mayPrecedeTermination
    )
      return;
    suspectedSinceMs = undefined;
    suspicion = 'silent';
  }

  function startOwnership(fence: number): void {
    if (ownedFence === fence || closing) return;
    ownedFence = fence;
    // Others may have read the claim before this node, whose append may have got no answer.
    claimConfirmed = lastReadStart;
    claimConfirmedOffset = undefined;
    log.write('info', 'ownership.gained', { fence });
    events.onOwned(fence, previous);
  }

  function readClocks(): Moment {
    return { atMs: timers.getNow(), date: timers.getDate() };
  }

  let previous: PreviousOwner = {
    unrecorded: false,
    inactive: true,
    owners: [],
    silentVms: new Map(),
    lastEnds: new Map(),
  };

  function endOwnership(why: string): void {
    if (ownedFence === undefined) return;
    log.write('warn', 'ownership.lost', { fence: ownedFence, why });
    ownedFence = undefined;
    events.onLost(why);
  }

  function buildClaimValue(extra: Partial<records.ClaimRecord>): string {
    const record: records.ClaimRecord = {
      node: context.settings.name,
      instance,
      address: context.settings.listen.links,
      recordsStarts: true,
      ...extra,
    };
    return JSON.stringify(record);
  }

  async function appendClaim(
    extra: Partial<records.ClaimRecord>,
  ): Promise<ports.AppendResult> {
    return store.append(
      'claims',
      [{ key: KEY, value: buildClaimValue(extra) }],
      {
        expectedEnd: tail.getNextOffset(),
        timeoutMs: APPEND_TIMEOUT_MS,
      },
    );
  }

  /**
   * Computes the latest time at which the newest record was sent. It may have been read
   * much later, for example after an outage of the store.
   */
  function computeSentBy({ readMs }: Owner): number {
    return toldRenewal?.offset === newestOffset
      ? Math.min(readMs, toldRenewal.sentByMs)
      : readMs;
  }

  /** Lists the owners whose leases may not have ended when this node claims. */
  function listEarlierOwners(
    recorded: leases.RecordedLeases | undefined,
    inactive: boolean,
    nowMs: number,
  ): readonly leases.EarlierOwner[] {
    const leaseMs = recorded?.leaseMs ?? context.settings.leaseMs;
    // This node's claim succeeds only if the owner's last confirmed record is the one read here.
    const lastConfirmedMs =
      recorded === undefined || currentOwner === undefined
        ? nowMs
        : computeSentBy(currentOwner);
    const limitMs = lastConfirmedMs + UNCONFIRMED_LIMIT_MS;
    const owner: leases.EarlierOwner = {
      node: currentOwner?.node ?? '',
      instance: currentOwner?.instance ?? '',
      leaseMs,
      lastOrderMs: inactive ? Math.min(nowMs, limitMs) : limitMs,
      claimEndMs:
        recorded === undefined
          ? Infinity
          : lastConfirmedMs + leases.computeLongestMs(UNCONFIRMED_LIMIT_MS),
    };
    if (currentOwner === undefined) return [owner];
    // Without a record, owners before it may have gone on since its claim.
    const unknownOwner: leases.EarlierOwner = {
      node: '',
      instance: '',
      leaseMs,
      lastOrderMs: ownerChangedMs + UNCONFIRMED_LIMIT_MS,
      claimEndMs: Infinity,
    };
    return [...(recorded?.owners ?? [unknownOwner]), owner];
  }

  /**
   * Computes when the last lease ends on the VMs that a release named. The claim after it
   * names them too, and its owner may have granted leases since, except to silent VMs.
   */
  function computeLastEnds(
    recorded: leases.RecordedLeases | undefined,
    owners: readonly leases.EarlierOwner[],
  ): ReadonlyMap<core.ids.VmId, number> {
    const recordedEnds = recorded?.lastEnds ?? new Map<core.ids.VmId, number>();
    if (currentOwner?.released === true) return recordedEnds;
    const endMs = leases.computeEndMs(owners);
    return new Map(
      [...recordedEnds.keys()].map((id) => [
        id,
        recorded?.silentVms.get(id) ?? endMs,
      ]),
    );
  }

  async function claim(why: string): Promise<void> {
    if (claiming || closing || ownedFence !== undefined) return;
    claiming = true;
    const nowMs = timers.getNow();
    const ownerReleased =
      currentOwner === undefined ||
      currentOwner.released ||
      releasedFence === currentOwner.fence;
    // An upper bound of the time since the store last confirmed the owner's claim.
    const unconfirmedMs = ownerReleased ? 0 : nowMs - ownerConfirmedMs;
    const toldUnrecorded =
      releasedFence === currentOwner?.fence && releasedUnrecorded;
    // An earlier ownership of this process has ended with its orders.
    const inactive =
      ownerReleased ||
      suspicion === 'terminated' ||
      currentOwner?.instance === instance;
    // An owner of an earlier build may begin with starts without a record after this claim.
    const mayStartUnrecorded =
      currentOwner?.recordsStarts !== true &&
      (!inactive || unconfirmedMs > STORE_OUTAGE_AFTER_MS);
    const unrecorded =
      currentOwner?.unrecorded === true ||
      (toldUnrecorded && currentOwner?.released !== true) ||
      mayStartUnrecorded;
    const sentByMs = currentOwner && computeSentBy(currentOwner);
    const sentAgeMs = sentByMs && Math.round(nowMs - sentByMs);
    const recorded =
      currentOwner?.leases &&
      leases.parseLeases(currentOwner.leases, sentByMs ?? nowMs);
    const owners = listEarlierOwners(recorded, inactive, nowMs);
    previous = {
      unrecorded,
      inactive,
      owners,
      silentVms: recorded?.silentVms ?? new Map(),
      lastEnds: computeLastEnds(recorded, owners),
    };
    const { leaseMs } = context.settings;
    const result = await appendClaim({
      leases: leases.buildRecord({ leaseMs, ...previous }, nowMs),
      ...(unrecorded ? { unrecorded } : {}),
    });
    log.write('info', 'ownership.claim', {
      why,
      outcome: result.outcome,
      after: tail.getNextOffset(),
      previousFence: currentOwner?.fence,
      renewedAgeMs: Math.round(nowMs - ownerRenewedMs),
      sentAgeMs,
      unrecorded,
      inactive,
    });
    // The stream decides who owns the cluster, also when the outcome of the append is unknown.
    await tail.refresh();
    claiming = false;
  }

  async function renew(): Promise<void> {
    const fence = ownedFence;
    if (fence === undefined || claiming) return;
    claiming = true;
    // Successors count the times of the record from when its append began, or from later.
    const record = events.buildLeaseRecord();
    const renewal = {
      fence,
      leases: record,
      ...(events.hasUnrecorded() ? { unrecorded: true } : {}),
    };
    let started = readClocks();
    let result = await appendClaim(renewal);
    // Either an earlier renewal was appended although its answer was lost, or another node has
    // claimed. In the first case a successor may have read that renewal long ago.
    if (
      result.outcome === 'conflict' &&
      (await tail.refresh()) &&
      ownedFence === fence
    ) {
      started = readClocks();
      result = await appendClaim(renewal);
    }
    claiming = false;
    switch (result.outcome) {
      case 'appended':
        claimConfirmed = started;
        claimConfirmedOffset = result.offset;
        if (ownedFence === fence && record !== undefined)
          events.onRenewed(record);
        await tail.refresh();
        return;
      case 'conflict':
      case 'fenced':
      case 'sequence':
      case 'refused':
      case 'rejected':
      case 'unknown':
        if (ownedFence !== fence) return;
        log.write('warn', 'ownership.renewal-failed', {
          fence,
          outcome: result.outcome,
          confirmedAgeMs: Math.round(timers.getNow() - claimConfirmed.atMs),
        });
        if (timers.getNow() - claimConfirmed.atMs > UNCONFIRMED_LIMIT_MS)
          endOwnership(
            'claim not confirmed within the limit; ownership given up',
          );
        else events.onUnconfirmed(fence);
        if (result.outcome === 'unknown') await tail.refresh();
    }
  }

  /**
   * Returns whether nodes that the owner has ranked go first, so that this one waits for
   * their turns. A node of low capacity that has just started doesn't know the order yet;
   * where the owner's process seems to have terminated, all nodes may have started just now.
   */
  function isBehindRanked(): boolean {
    if (successors.length > 0) return true;
    return (
      currentOwner !== undefined &&
      suspicion === 'silent' &&
      !successorRanks.hasOwnerCapacity(context.settings.cores)
    );
  }

  /** Time by which this node delays its claim in favour of other candidates, in ms. */
  function computeClaimDelay(): number {
    const rank = successors.indexOf(instance);
    if (rank >= 0) return rank * CLAIM_DELAY_PER_RANK_MS;
    if (isBehindRanked())
      return (
        successorRanks.MAX_SUCCESSORS *
        CLAIM_DELAY_PER_RANK_MS *
        (1 + unrankedDelayShare)
      );
    // No owner has ranked any node, so nodes near the store claim first.
    return (
      roundTripMs * FIRST_CLAIM_ROUND_TRIPS +
      context.getRandom() * FIRST_CLAIM_MAX_JITTER_MS +
      successorRanks.computeLowCapacityDelay(context.settings.cores)
    );
  }

  /** Returns the reason to claim now; undefined when this node must not claim yet. */
  function decideClaim(nowMs: number): string | undefined {
    if (currentOwner === undefined) return undefined;
    const claimDelayMs = computeClaimDelay();
    const toldReleased = releasedFence === currentOwner.fence;
    if (currentOwner.released || toldReleased) {
      const sinceMs = toldReleased ? toldReleasedMs : ownerChangedMs;
      return nowMs - sinceMs >= claimDelayMs ? 'released' : undefined;
    }
    const unrenewedMs = nowMs - ownerRenewedMs;
    if (suspectedSinceMs !== undefined) {
      const suspectedForMs = nowMs - suspectedSinceMs;
      if (suspicion !== 'silent' && suspectedForMs >= claimDelayMs)
        return suspicion === 'refused'
          ? 'owner refuses connections'
          : 'owner process terminated';
      if (unrenewedMs >= SUSPECTED_OWNER_TIMEOUT_MS + claimDelayMs)
        return 'owner suspected and claim not renewed';
    }
    return unrenewedMs >= OWNER_TIMEOUT_MS + claimDelayMs
      ? 'claim not renewed'
      : undefined;
  }

  async function watchOwner(): Promise<void> {
    if (closing || ownedFence !== undefined) return;
    const started = readClocks();
    const storeAnswered = await tail.refresh();
    const nowMs = timers.getNow();
    storeReachable = storeAnswered;
    // Records that a later read finds were appended after this read began.
    if (storeAnswered) lastReadStart = started;
    if (!storeAnswered) {
      // Without an answer from the store, missing renewals don't show that the owner failed.
      ownerRenewedMs = Math.max(ownerRenewedMs, nowMs - FAST_WATCH_INTERVAL_MS);
      return;
    }
    roundTripMs = nowMs - started.atMs;
    if (suspicion !== 'silent') offsetAtTermination ??= newestOffset;
    if (currentOwner === undefined) {
      await claimFirst();
      return;
    }
    const why = decideClaim(nowMs);
    if (why !== undefined) await claim(why);
  }

  /** Claims when the stream has no owner yet, delayed so that nodes near the store come first. */
  async function claimFirst(): Promise<void> {
    await core.waitFor(timers, 'claims.first', computeClaimDelay());
    if (currentOwner === undefined) await claim('no owner');
  }

  function scheduleWatch(delayMs: number): void {
    watchTimer?.end();
    if (closing) return;
    watchTimer = timers.subscribe(
      { name: 'claims.watch', delayMs, repeat: 'once' },
      () => {
        void watchOwner().then(() => {
          const watchFast =
            suspectedSinceMs !== undefined ||
            currentOwner === undefined ||
            currentOwner.released ||
            releasedFence === currentOwner.fence;
          scheduleWatch(watchFast ? FAST_WATCH_INTERVAL_MS : WATCH_INTERVAL_MS);
        });
      },
    );
  }

  return {
    open() {
      renewTimer = timers.subscribe(
        {
          name: 'claims.renew',
          delayMs: RENEW_INTERVAL_MS,
          repeat: 'periodic',
        },
        () => {
          void renew();
        },
      );
      scheduleWatch(0);
    },
    suspect(suspectedInstance, evidence) {
      if (
        currentOwner?.instance !== suspectedInstance ||
        ownedFence !== undefined
      )
        return;
      const isFirst = suspicion === 'silent' && evidence !== 'silent';
      if (suspectedSinceMs === undefined || isFirst) {
        log.write('info', 'owner.suspected', {
          owner: currentOwner.node,
          evidence,
        });
        suspectedSinceMs = timers.getNow();
      }
      if (isFirst) offsetAtTermination = undefined;
      if (isFirst || evidence === 'terminated') suspicion = evidence;
      scheduleWatch(evidence === 'silent' ? 0 : computeClaimDelay());
    },
    handleHeartbeat(fence, confirmedAgeMs, confirmedOffset) {
      if (currentOwner?.fence !== fence) return;
      const atMs = timers.getNow() - confirmedAgeMs;
      if (confirmedOffset !== undefined) {
        const sentByMs =
          toldRenewal?.offset === confirmedOffset
            ? Math.min(atMs, toldRenewal.sentByMs)
            : atMs;
        toldRenewal = { offset: confirmedOffset, sentByMs };
      }
      ownerConfirmedMs = Math.max(ownerConfirmedMs, atMs);
      ownerRenewedMs = Math.max(ownerRenewedMs, atMs);
    },
    isStoreReachable: () => storeReachable,
    getStoreLostMs: () => storeLostMs,
    checkStore: () => tail.refresh(),
    handleRelease(fence, unrecorded) {
      if (currentOwner?.fence !== fence || ownedFence !== undefined) return;
      releasedFence = fence;
      releasedUnrecorded = unrecorded;
      toldReleasedMs = timers.getNow();
      // Also reads before its turn to claim, since one of the first successors has probably claimed by then.
      scheduleWatch(Math.min(computeClaimDelay(), FAST_WATCH_INTERVAL_MS));
    },
    setSuccessors(instances) {
      successors = instances;
    },
    async release(unrecorded) {
      const fence = ownedFence;
      if (fence === undefined) return;
      const record = events.buildFinalLeaseRecord();
      endOwnership('released');
      closing = true;
      for (let attempts = 0; attempts < MAX_RELEASE_ATTEMPTS; attempts += 1) {
        const result = await appendClaim({
          fence,
          released: true,
          leases: record,
          ...(unrecorded ? { unrecorded } : {}),
        });
        log.write('info', 'ownership.released', {
          fence,
          unrecorded,
          outcome: result.outcome,
        });
        // A conflict means that a renewal was in flight or that another node has claimed.
        if (result.outcome !== 'conflict') return;
        if (!(await tail.refresh()) || currentOwner?.fence !== fence) return;
      }
    },
    verify(why) {
      if (ownedFence === undefined) return;
      log.write('info', 'ownership.verified', { why });
      void renew();
    },
    resign(why) {
      endOwnership(why);
      scheduleWatch(0);
    },
    getOwner: () => currentOwner,
    getFence: () => ownedFence,
    getConfirmedAge: () => timers.getNow() - claimConfirmed.atMs,
    getLongestConfirmedAge: () =>
      Math.max(
        timers.getNow() - claimConfirmed.atMs,
        timers.getDate() - claimConfirmed.date,
      ),
    getConfirmedOffset: () => claimConfirmedOffset,
    close() {
      closing = true;
      renewTimer?.end();
      watchTimer?.end();
    },
  };
}
