/**
 * Who decides for which shard. Claims live in the log; this part folds them, claims
 * shards without a live owner, and holds this process's own decisions when it may
 * have been replaced without knowing: after a pause, or cut off from log and peers.
 */
import * as core from '@flamingoward/core';
import * as memberships from '../membership/membership.js';
import type * as types from '../types.js';

/** Name of the stream of claims. */
export const CLAIMS_STREAM = 'claims';

const TICK_MS = 100;

/**
 * Longest wait of one read of the claims, in ms. An answer speaks for the time when
 * its read was sent, so just before the next answer the news is two waits old; that
 * has to stay below CLAIM_FRESH_MS.
 */
export const CLAIMS_WAIT_MS = 1_000;

/** How long the owner of a service shard may decide without news of the claims, in ms. */
export const CLAIM_FRESH_MS = 3_000;

/** Hold after a pause while the log is away: time to hear a provisional owner, in ms. */
const HOLD_WITHOUT_LOG_MS = 1_500;

/** Period after which an owner writes its claim again, in ms; well below any retention. */
const CLAIM_RENEW_MS = 300_000;

const CLAIM_GIVE_UP_MS = 3_000;

/** Silence of the log from which on claims are provisional, in ms; one failed call isn't an outage. */
const LOG_AWAY_MS = 1_000;

/** A shard that should have an owner, and the region whose processes may own it. */
export interface ShardPlan {
  readonly shard: core.ids.ShardName;
  readonly region: core.ids.RegionName;
}

/** What the ownership needs. */
export interface OwnershipOptions {
  readonly context: types.PartContext;
  readonly membership: types.Membership;
  readonly streams: types.Streams;
  /** Shards that should have an owner now. */
  readonly listShards: () => readonly ShardPlan[];
  /** True while this process may own shards. */
  readonly mayOwn: () => boolean;
}

/** The ownership and what only the process composition uses of it. */
export interface OwnershipPart extends types.Ownership, types.Dumpable {
  open(): void;
  /** Shards under the decision of this process, for heartbeats. */
  listOwn(): readonly core.messages.OwnedShard[];
  close(): void;
}

/** Creates the ownership of this process. */
export function createOwnership(options: OwnershipOptions): OwnershipPart {
  const { context, membership, streams } = options;
  const { timers, identity } = context;
  const claims: core.ClaimTable = new Map();
  const orphans: core.OrphanTable = new Map();
  const own = new Map<core.ids.ShardName, core.ids.Epoch>();
  const pending = new Set<core.ids.ShardName>();
  const renewedMs = new Map<core.ids.ShardName, number>();
  const regionSeenMs = new Map<core.ids.RegionName, number>();
  const changes = core.createSubject<types.OwnershipChange>();
  const reader = streams.open<core.records.ClaimRecord>(CLAIMS_STREAM);
  let joinedMs = 0;
  let lastTickMs = 0;
  let holding = false;
  let releasing = false;
  let timer: core.TimerSubscription | undefined;
  // In the turn that opens the stream: records that are read before `open` count too.
  void reader.records.observe(receive);

  function receive(
    record: core.records.LogRecord<core.records.ClaimRecord>,
  ): void {
    const claim = core.applyClaimRecord(claims, record);
    if (claim === undefined) return;
    pending.delete(claim.shard);
    const isOwn = claim.instance === identity.instance && !claim.released;
    const held = own.get(claim.shard);
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
    if (releasing) {
      void appendRelease(shard, epoch);
      return;
    }
    own.set(shard, epoch);
    renewedMs.set(shard, timers.readNow());
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
    own.delete(shard);
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
    if (holding || releasing || !options.mayOwn()) return;
    // Once per tick: the plan is derived from the whole VM list.
    const plans = options.listShards();
    noteRegions(plans, nowMs);
    claimShards(plans, nowMs);
    renewClaims(nowMs);
    dropUnplanned(plans);
  }

  function holdAfterPause(gapMs: number): void {
    if (own.size === 0) return;
    holding = true;
    context.log.write('warn', 'process.paused', {
      gapMs: Math.round(gapMs),
    });
    const resume = () => {
      holding = false;
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

  /** A provisional owner is known only from its heartbeats. */
  function stepDownForPeers(): void {
    for (const peer of membership.readPeers()) {
      if (peer.health === 'dead') continue;
      for (const theirs of peer.heartbeat.shards) noteOwner(peer, theirs);
    }
  }

  function noteOwner(
    peer: types.PeerView,
    theirs: core.messages.OwnedShard,
  ): void {
    const held = own.get(theirs.shard);
    if (held === undefined) return;
    const order =
      core.compareEpochs(theirs.epoch, held) ||
      compareText(peer.instance, identity.instance);
    if (order > 0) dropShard(theirs.shard, held, 'newer-epoch-heard');
  }

  function noteRegions(plans: readonly ShardPlan[], nowMs: number): void {
    const regions = new Set(plans.map((plan) => plan.region));
    for (const region of regions)
      if (
        !regionSeenMs.has(region) ||
        membership.listCandidates(region).length > 0
      )
        regionSeenMs.set(region, nowMs);
  }

  function listCandidates(
    region: core.ids.RegionName,
    nowMs: number,
  ): readonly core.ids.InstanceId[] {
    const near = membership.listCandidates(region);
    const seenMs = regionSeenMs.get(region) ?? nowMs;
    if (near.length > 0 || nowMs - seenMs < core.FOREIGN_CLAIM_AFTER_MS)
      return near;
    const regions = new Set(
      membership.readPeers().map((peer) => peer.region),
    ).add(identity.region);
    return [...regions].flatMap((name) => membership.listCandidates(name));
  }

  function claimShards(plans: readonly ShardPlan[], nowMs: number): void {
    if (
      reader.readHeadMs() === undefined &&
      streams.readAwaySince() === undefined
    )
      return;
    const peers = new Map(
      membership.readPeers().map((peer) => [peer.instance, peer]),
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
        wanted,
        claims: readEffectiveClaims(),
        isAlive: (instance) =>
          (peers.get(instance)?.health ?? 'dead') !== 'dead',
        isKnown: (instance) => peers.has(instance),
      },
      orphans,
    );
    for (const shard of shards) if (!pending.has(shard)) claim(shard);
  }

  /** Claims of the log, with own provisional ones and those that peers announce. */
  function readEffectiveClaims(): ReadonlyMap<core.ids.ShardName, core.Claim> {
    const effective = new Map(claims);
    for (const [shard, epoch] of own)
      putNewer(effective, buildView(shard, identity, epoch));
    for (const peer of membership.readPeers())
      if (peer.health !== 'dead')
        for (const theirs of peer.heartbeat.shards)
          putNewer(effective, buildView(theirs.shard, peer, theirs.epoch));
    return effective;
  }

  function claim(shard: core.ids.ShardName): void {
    const awaySince = streams.readAwaySince();
    if (awaySince !== undefined) {
      if (timers.readNow() - awaySince >= LOG_AWAY_MS) claimWithoutLog(shard);
      return;
    }
    pending.add(shard);
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
        giveUpMs: CLAIM_GIVE_UP_MS,
      })
      .then((outcome) => {
        // An appended claim stays pending until it is read back.
        if (outcome.outcome !== 'appended') pending.delete(shard);
      });
  }

  /**
   * Only workers can arbitrate between provisional owners; backend servers can't,
   * so the shard of a service waits for the log.
   */
  function claimWithoutLog(shard: core.ids.ShardName): void {
    if (!isWorkersShard(shard)) return;
    const last = readEffectiveClaims().get(shard)?.epoch;
    if (last === undefined) return;
    takeShard(shard, {
      offset: last.offset,
      provisional: last.provisional + 1,
    });
  }

  function renewClaims(nowMs: number): void {
    if (streams.readAwaySince() !== undefined) return;
    for (const [shard, epoch] of own) {
      if (epoch.provisional > 0 && !pending.has(shard)) claim(shard);
      else if (nowMs - (renewedMs.get(shard) ?? nowMs) >= CLAIM_RENEW_MS)
        renew(shard, epoch, nowMs);
    }
  }

  function renew(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
    nowMs: number,
  ): void {
    renewedMs.set(shard, nowMs);
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
      giveUpMs: CLAIM_GIVE_UP_MS,
    });
  }

  /** A withdrawn service or an emptied region needs no owner any more. */
  function dropUnplanned(plans: readonly ShardPlan[]): void {
    const planned = new Set(plans.map((plan) => plan.shard));
    for (const [shard, epoch] of own) {
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
      giveUpMs: CLAIM_GIVE_UP_MS,
    });
  }

  async function releaseAll(): Promise<void> {
    releasing = true;
    const held = [...own];
    for (const [shard, epoch] of held) dropShard(shard, epoch, 'planned-stop');
    await Promise.all(
      held.map(([shard, epoch]) => appendRelease(shard, epoch)),
    );
  }

  function readEpoch(shard: core.ids.ShardName): core.ids.Epoch | undefined {
    if (holding) return undefined;
    // The tick that notices a pause may itself be late.
    if (timers.readNow() - lastTickMs > memberships.PAUSE_GAP_MS)
      return undefined;
    if (!isWorkersShard(shard) && !isFresh()) return undefined;
    return own.get(shard);
  }

  /** Whether news of a newer claim would have reached this process. */
  function isFresh(): boolean {
    const headMs = reader.readHeadMs();
    if (headMs !== undefined && timers.readNow() - headMs < CLAIM_FRESH_MS)
      return true;
    if (streams.readAwaySince() === undefined) return false;
    const peers = membership.readPeers();
    if (peers.length === 0) return true;
    return peers.some(
      (peer) => peer.health === 'live' && peer.heartbeat.logAway,
    );
  }

  function readOwner(shard: core.ids.ShardName): types.OwnerView | undefined {
    const claim = readEffectiveClaims().get(shard);
    if (claim === undefined || claim.released) return undefined;
    return {
      shard,
      instance: claim.instance,
      process: claim.process,
      epoch: claim.epoch,
      self: claim.instance === identity.instance,
    };
  }

  function noteHigherEpoch(
    shard: core.ids.ShardName,
    epoch: core.ids.Epoch,
  ): void {
    const held = own.get(shard);
    if (held !== undefined && core.compareEpochs(epoch, held) > 0)
      dropShard(shard, held, 'newer-epoch-at-worker');
  }

  function open(): void {
    joinedMs = timers.readNow();
    lastTickMs = joinedMs;
    timer = timers.subscribe(
      { name: 'ownership.tick', delayMs: TICK_MS, repeat: 'periodic' },
      tick,
    );
  }

  return {
    open,
    close: () => {
      timer?.end();
    },
    listOwn: () => [...own].map(([shard, epoch]) => ({ shard, epoch })),
    readOwner,
    readEpoch,
    noteHigherEpoch,
    changes: changes.stream,
    releaseAll,
    dump: () => ({
      own: [...own].map(([shard, epoch]) => ({ shard, epoch })),
      claims: [...claims.values()],
      holding,
      orphans: [...orphans].map(([shard, sinceMs]) => ({ shard, sinceMs })),
    }),
  };
}

/** Tells the two kinds of shard apart by name. */
export function isWorkersShard(shard: core.ids.ShardName): boolean {
  return shard.startsWith('workers/');
}

function buildView(
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
