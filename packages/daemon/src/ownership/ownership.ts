/**
 * Ownership of shards: which process decides for which shard. Claims are records in
 * the log; this part folds them and claims shards without a live owner. It suspends the
 * decisions of this process while another one may have replaced it unnoticed: after a
 * pause, or without a connection to the log and the peers.
 */
import * as core from '@flamingoward/core';
import * as memberships from '../membership/membership.js';
import type * as types from '../types.js';

/** Name of the stream of claims. */
export const CLAIMS_STREAM = 'claims';

const TICK_INTERVAL_MS = 100;

/**
 * Longest wait of one read of the claims, in ms. An answer reflects the time when its
 * read was sent, so just before the next answer the known claims are two waits old;
 * that has to stay below CLAIM_MAX_AGE_MS.
 */
export const CLAIMS_WAIT_MS = 1_000;

/** Age of the last read of the claims up to which the owner of a service shard may decide, in ms. */
export const CLAIM_MAX_AGE_MS = 3_000;

/** Hold after a pause while the log is unreachable, in ms: time in which the heartbeat of a provisional owner arrives. */
const HOLD_WITHOUT_LOG_MS = 1_500;

/** Interval at which an owner writes its claim again, in ms; must stay well below the retention of the log. */
const CLAIM_RENEWAL_INTERVAL_MS = 300_000;

const CLAIM_APPEND_TIMEOUT_MS = 3_000;

/** Time without an answer of the log from which on claims are provisional, in ms; one failed call isn't an outage. */
const LOG_OUTAGE_MS = 1_000;

/** A shard that needs an owner, and the region whose processes own it first. */
export interface ShardPlan {
  readonly shard: core.ids.ShardName;
  readonly region: core.ids.RegionName;
}

/** Dependencies of the ownership part. */
export interface OwnershipOptions {
  readonly context: types.PartContext;
  readonly membership: types.Membership;
  readonly streams: types.Streams;
  /** Lists the shards that need an owner now. */
  readonly listShards: () => readonly ShardPlan[];
  /** Returns whether this process may own shards now. */
  readonly mayOwn: () => boolean;
}

/** The ownership part, with the functions that only the process composition uses. */
export interface OwnershipPart extends types.Ownership, types.Dumpable {
  open(): void;
  /** Lists the shards that this process owns, for heartbeats. */
  listOwned(): readonly core.messages.OwnedShard[];
  close(): void;
}

/** Creates the ownership part of this process. */
export function createOwnership(options: OwnershipOptions): OwnershipPart {
  const { context, membership, streams } = options;
  const { timers, identity } = context;
  const claims: core.ClaimTable = new Map();
  const orphans: core.OrphanTable = new Map();
  const ownedShards = new Map<core.ids.ShardName, core.ids.Epoch>();
  const pendingClaims = new Set<core.ids.ShardName>();
  const claimRenewedMs = new Map<core.ids.ShardName, number>();
  const regionLiveMs = new Map<core.ids.RegionName, number>();
  const changes = core.createSubject<types.OwnershipChange>();
  const reader = streams.open<core.records.ClaimRecord>(CLAIMS_STREAM);
  let joinedMs = 0;
  let lastTickMs = 0;
  let isHolding = false;
  let isReleasing = false;
  let timer: core.TimerSubscription | undefined;
  // Subscribed in the turn that opens the stream, so that records read before `open` aren't missed.
  void reader.records.observe(receive);

  function receive(
    record: core.records.LogRecord<core.records.ClaimRecord>,
  ): void {
    const claim = core.applyClaimRecord(claims, record);
    if (claim === undefined) return;
    pendingClaims.delete(claim.shard);
    const isOwn = claim.instance === identity.instance && !claim.released;
    const held = ownedShards.get(claim.shard);
    if (!isOwn) {
      if (held !== undefined) dropShard(claim.shard, held, 'newer-claim');
      return;
    }
    if (held !== undefined && core.compareEpochs(held, claim.epoch) === 0)
      return;
    if (held !== undefined) dropShard(claim.shard, held, 'reclaimed');
    takeShard(claim.shard, claim.epoch);
  }

  function takeShard(shard: core.ids.ShardName, epoch: core.ids.Epoch): void {
    if (isReleasing) {
      void appendRelease(shard, epoch);
      return;
    }
    ownedShards.set(shard, epoch);
    claimRenewedMs.set(shard, timers.getNow());
    context.log.write('info', 'shard.gained', {
      shard,
      epoch: core.formatEpoch(epoch),
    });
    changes.push({ change: 'gained', shard, epoch });
  }

  function dropShard(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
    cause: string,
  ): void {
    ownedShards.delete(shard);
    context.log.write('info', 'shard.lost', {
      shard,
      epoch: core.formatEpoch(epoch),
      cause,
    });
    changes.push({ change: 'lost', shard, epoch });
  }

  function tick(nowMs: number): void {
    const gapMs = nowMs - lastTickMs;
    lastTickMs = nowMs;
    if (gapMs > memberships.PAUSE_GAP_MS) holdAfterPause(gapMs);
    stepDownForPeers();
    if (isHolding || isReleasing || !options.mayOwn()) return;
    // Listed once per tick, because the plan is derived from the whole VM list.
    const plans = options.listShards();
    updateRegions(plans, nowMs);
    claimShards(plans, nowMs);
    renewClaims(nowMs);
    dropUnplanned(plans);
  }

  function holdAfterPause(gapMs: number): void {
    if (ownedShards.size === 0) return;
    isHolding = true;
    context.log.write('warn', 'process.paused', {
      gapMs: Math.round(gapMs),
    });
    const resume = () => {
      isHolding = false;
    };
    reader.waitForHead().then(resume, () => {
      timers.subscribe(
        {
          name: 'ownership.hold',
          delayMs: HOLD_WITHOUT_LOG_MS,
          repeat: 'once',
        },
        resume,
      );
    });
  }

  /** Gives up shards for which a peer's heartbeat has a newer epoch; a provisional owner is known only from its heartbeats. */
  function stepDownForPeers(): void {
    for (const peer of membership.listPeers()) {
      if (peer.health === 'dead') continue;
      for (const theirs of peer.heartbeat.shards) stepDownForPeer(peer, theirs);
    }
  }

  function stepDownForPeer(
    peer: types.PeerView,
    theirs: core.messages.OwnedShard,
  ): void {
    const held = ownedShards.get(theirs.shard);
    if (held === undefined) return;
    const order =
      core.compareEpochs(theirs.epoch, held) ||
      compareText(peer.instance, identity.instance);
    if (order > 0) dropShard(theirs.shard, held, 'newer-epoch-heard');
  }

  function updateRegions(plans: readonly ShardPlan[], nowMs: number): void {
    const regions = new Set(plans.map((plan) => plan.region));
    for (const region of regions)
      if (
        !regionLiveMs.has(region) ||
        membership.listCandidates(region).length > 0
      )
        regionLiveMs.set(region, nowMs);
  }

  function listCandidates(
    region: core.ids.RegionName,
    nowMs: number,
  ): readonly core.ids.InstanceId[] {
    const regional = membership.listCandidates(region);
    const liveMs = regionLiveMs.get(region) ?? nowMs;
    if (regional.length > 0 || nowMs - liveMs < core.FOREIGN_CLAIM_AFTER_MS)
      return regional;
    const regions = new Set(
      membership.listPeers().map((peer) => peer.region),
    ).add(identity.region);
    return [...regions].flatMap((name) => membership.listCandidates(name));
  }

  function claimShards(plans: readonly ShardPlan[], nowMs: number): void {
    if (
      reader.getHeadReadMs() === undefined &&
      streams.getUnreachableSinceMs() === undefined
    )
      return;
    const peers = new Map(
      membership.listPeers().map((peer) => [peer.instance, peer]),
    );
    const wanted = plans.map((plan) => ({
      shard: plan.shard,
      listCandidates: () => listCandidates(plan.region, nowMs),
    }));
    const shards = core.decideOwnership(
      {
        self: identity.instance,
        nowMs,
        joinedMs,
        ownableShards: wanted,
        claims: buildEffectiveClaims(),
        isAlive: (instance) =>
          (peers.get(instance)?.health ?? 'dead') !== 'dead',
        isKnownPeer: (instance) => peers.has(instance),
      },
      orphans,
    );
    for (const shard of shards) if (!pendingClaims.has(shard)) claim(shard);
  }

  /** Returns the newest claim of each shard from the log, the owned shards and the peers' heartbeats. */
  function buildEffectiveClaims(): ReadonlyMap<core.ids.ShardName, core.Claim> {
    const effective = new Map(claims);
    for (const [shard, epoch] of ownedShards)
      putNewer(effective, buildClaim(shard, identity, epoch));
    for (const peer of membership.listPeers())
      if (peer.health !== 'dead')
        for (const theirs of peer.heartbeat.shards)
          putNewer(effective, buildClaim(theirs.shard, peer, theirs.epoch));
    return effective;
  }

  function claim(shard: core.ids.ShardName): void {
    const outageSinceMs = streams.getUnreachableSinceMs();
    if (outageSinceMs !== undefined) {
      if (timers.getNow() - outageSinceMs >= LOG_OUTAGE_MS)
        claimWithoutLog(shard);
      return;
    }
    pendingClaims.add(shard);
    const record: core.records.ClaimRecord = {
      type: 'claim',
      shard,
      instance: identity.instance,
      process: identity.name,
      address: identity.linksAddress,
    };
    void streams
      .append(CLAIMS_STREAM, record, {
        flush: 'now',
        giveUpMs: CLAIM_APPEND_TIMEOUT_MS,
      })
      .then((outcome) => {
        // An appended claim stays pending until it is read back.
        if (outcome.outcome !== 'appended') pendingClaims.delete(shard);
      });
  }

  /**
   * Claims a workers shard provisionally. Workers can arbitrate between two provisional
   * owners; backend servers can't, so the shard of a service waits for the log.
   */
  function claimWithoutLog(shard: core.ids.ShardName): void {
    if (!isWorkersShard(shard)) return;
    const last = buildEffectiveClaims().get(shard)?.epoch;
    if (last === undefined) return;
    takeShard(shard, {
      offset: last.offset,
      provisional: last.provisional + 1,
    });
  }

  function renewClaims(nowMs: number): void {
    if (streams.getUnreachableSinceMs() !== undefined) return;
    for (const [shard, epoch] of ownedShards) {
      if (epoch.provisional > 0 && !pendingClaims.has(shard)) claim(shard);
      else if (
        nowMs - (claimRenewedMs.get(shard) ?? nowMs) >=
        CLAIM_RENEWAL_INTERVAL_MS
      )
        renew(shard, epoch, nowMs);
    }
  }

  function renew(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
    nowMs: number,
  ): void {
    claimRenewedMs.set(shard, nowMs);
    const record: core.records.ClaimRecord = {
      type: 'renew',
      shard,
      instance: identity.instance,
      process: identity.name,
      address: identity.linksAddress,
      epoch,
    };
    void streams.append(CLAIMS_STREAM, record, {
      flush: 'grouped',
      giveUpMs: CLAIM_APPEND_TIMEOUT_MS,
    });
  }

  /** Gives up shards of withdrawn services and of regions without VMs. */
  function dropUnplanned(plans: readonly ShardPlan[]): void {
    const planned = new Set(plans.map((plan) => plan.shard));
    for (const [shard, epoch] of ownedShards) {
      if (planned.has(shard)) continue;
      dropShard(shard, epoch, 'not-planned');
      void appendRelease(shard, epoch);
    }
  }

  function appendRelease(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
  ): Promise<types.AppendOutcome> {
    const record: core.records.ClaimRecord = {
      type: 'release',
      shard,
      instance: identity.instance,
      epoch,
    };
    return streams.append(CLAIMS_STREAM, record, {
      flush: 'now',
      giveUpMs: CLAIM_APPEND_TIMEOUT_MS,
    });
  }

  async function releaseAll(): Promise<void> {
    isReleasing = true;
    const held = [...ownedShards];
    for (const [shard, epoch] of held) dropShard(shard, epoch, 'planned-stop');
    await Promise.all(
      held.map(([shard, epoch]) => appendRelease(shard, epoch)),
    );
  }

  function getEpoch(shard: core.ids.ShardName): core.ids.Epoch | undefined {
    if (isHolding) return undefined;
    // After a pause this may be called before the tick that detects the pause.
    if (timers.getNow() - lastTickMs > memberships.PAUSE_GAP_MS)
      return undefined;
    if (!isWorkersShard(shard) && !hasFreshClaims()) return undefined;
    return ownedShards.get(shard);
  }

  /** Returns whether this process would have learned of a newer claim by now. */
  function hasFreshClaims(): boolean {
    const headMs = reader.getHeadReadMs();
    if (headMs !== undefined && timers.getNow() - headMs < CLAIM_MAX_AGE_MS)
      return true;
    if (streams.getUnreachableSinceMs() === undefined) return false;
    const peers = membership.listPeers();
    if (peers.length === 0) return true;
    return peers.some(
      (peer) => peer.health === 'live' && peer.heartbeat.logAway,
    );
  }

  function getOwner(shard: core.ids.ShardName): types.OwnerView | undefined {
    const claim = buildEffectiveClaims().get(shard);
    if (claim === undefined || claim.released) return undefined;
    return {
      shard,
      instance: claim.instance,
      process: claim.process,
      epoch: claim.epoch,
      self: claim.instance === identity.instance,
    };
  }

  function handleHigherEpoch(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
  ): void {
    const held = ownedShards.get(shard);
    if (held !== undefined && core.compareEpochs(epoch, held) > 0)
      dropShard(shard, held, 'newer-epoch-at-worker');
  }

  function open(): void {
    joinedMs = timers.getNow();
    lastTickMs = joinedMs;
    timer = timers.subscribe(
      { name: 'ownership.tick', delayMs: TICK_INTERVAL_MS, repeat: 'periodic' },
      tick,
    );
  }

  return {
    open,
    close: () => {
      timer?.end();
    },
    listOwned: () =>
      [...ownedShards].map(([shard, epoch]) => ({ shard, epoch })),
    getOwner,
    getEpoch,
    handleHigherEpoch,
    changes: changes.stream,
    releaseAll,
    dump: () => ({
      own: [...ownedShards].map(([shard, epoch]) => ({ shard, epoch })),
      claims: [...claims.values()],
      holding: isHolding,
      orphans: [...orphans].map(([shard, sinceMs]) => ({ shard, sinceMs })),
    }),
  };
}

/** Returns whether a shard is a workers shard; the others are service shards. */
export function isWorkersShard(shard: core.ids.ShardName): boolean {
  return shard.startsWith('workers/');
}

function buildClaim(
  shard: core.ids.ShardName,
  owner: { readonly instance: string; readonly name: string },
  epoch: core.ids.Epoch,
): core.Claim {
  return {
    shard,
    instance: owner.instance,
    process: owner.name,
    address: '',
    epoch,
    writtenAt: -1,
    released: false,
  };
}

function putNewer(
  table: Map<core.ids.ShardName, core.Claim>,
  claim: core.Claim,
): void {
  const current = table.get(claim.shard);
  if (
    current === undefined ||
    core.compareEpochs(claim.epoch, current.epoch) > 0
  )
    table.set(claim.shard, claim);
}

function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
