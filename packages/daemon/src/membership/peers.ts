/**
 * Table of the other processes and their health, updated by heartbeats and connections.
 * Has no clock of its own: each call passes the current time.
 */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** Interval of heartbeats to peers of the same region. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Interval of heartbeats to peers of other regions. */
export const OTHER_REGION_HEARTBEAT_INTERVAL_MS = 1_000;

/** Longest interval between two full heartbeats; short ones without content are sent in between. */
export const FULL_HEARTBEAT_INTERVAL_MS = 2_000;

/** Time without a message after which a peer of the same region is `suspect` and avoided for routing. */
export const SUSPECT_AFTER_MS = 600;

/** Time without a message after which a peer of the same region is `dead` and may lose its shards. */
export const DEAD_AFTER_MS = 1_000;

/** Time without a message after which a peer of another region is `suspect` and avoided for routing. */
export const OTHER_REGION_SUSPECT_AFTER_MS = 2_500;

/** Time without a message after which a peer of another region is `dead`. */
export const OTHER_REGION_DEAD_AFTER_MS = 4_000;

/** Time without a message after which a peer is removed from the table. */
export const REMOVE_PEER_AFTER_MS = 600_000;

interface Peer {
  readonly hello: core.messages.Hello;
  heardMs: number;
  heartbeat: core.messages.Heartbeat;
  /** The process has ended: its address refuses connections, or another instance has its name. */
  ended: boolean;
}

/** Table of the peers of this process. */
export interface PeerTable {
  /** Adds a peer to which a connection was opened; older instances of its name have ended. */
  addPeer(hello: core.messages.Hello, nowMs: number): void;
  /** Stores a full heartbeat; returns whether its content changed. */
  applyHeartbeat(heartbeat: core.messages.Heartbeat, nowMs: number): boolean;
  /** Records that bytes from an instance arrived. */
  recordActivity(instance: core.ids.InstanceId, nowMs: number): void;
  /** Marks an instance as ended, because its address refuses connections. */
  markEnded(instance: core.ids.InstanceId): void;
  /** Moves all times on after a pause of this process, during which it received nothing. */
  advanceTimes(byMs: number): void;
  list(nowMs: number): readonly types.PeerView[];
  /** Removes peers without a message for REMOVE_PEER_AFTER_MS. */
  sweep(nowMs: number): void;
}

/** Creates an empty table. */
export function createPeerTable(ownRegion: core.ids.RegionName): PeerTable {
  const peers = new Map<core.ids.InstanceId, Peer>();

  function addPeer(hello: core.messages.Hello, nowMs: number): void {
    for (const peer of peers.values())
      if (
        peer.hello.name === hello.name &&
        peer.hello.instance !== hello.instance
      )
        peer.ended = true;
    if (peers.has(hello.instance)) return;
    peers.set(hello.instance, {
      hello,
      heardMs: nowMs,
      heartbeat: buildFirstHeartbeat(hello.instance),
      ended: false,
    });
  }

  function applyHeartbeat(
    heartbeat: core.messages.Heartbeat,
    nowMs: number,
  ): boolean {
    const peer = peers.get(heartbeat.instance);
    if (peer === undefined) return false;
    const changed =
      JSON.stringify(peer.heartbeat) !== JSON.stringify(heartbeat);
    peer.heartbeat = heartbeat;
    peer.heardMs = nowMs;
    return changed;
  }

  function recordActivity(instance: core.ids.InstanceId, nowMs: number): void {
    const peer = peers.get(instance);
    if (peer !== undefined) peer.heardMs = nowMs;
  }

  function markEnded(instance: core.ids.InstanceId): void {
    const peer = peers.get(instance);
    if (peer !== undefined) peer.ended = true;
  }

  function advanceTimes(byMs: number): void {
    for (const peer of peers.values()) peer.heardMs += byMs;
  }

  function list(nowMs: number): readonly types.PeerView[] {
    return [...peers.values()].map((peer) => ({
      name: peer.hello.name,
      instance: peer.hello.instance,
      region: peer.hello.region,
      availabilityZone: peer.hello.availabilityZone,
      heardMs: peer.heardMs,
      health: computeHealth(peer, nowMs),
      ended: peer.ended,
      heartbeat: peer.heartbeat,
    }));
  }

  function computeHealth(peer: Peer, nowMs: number): types.PeerView['health'] {
    if (peer.ended) return 'dead';
    const unresponsiveMs = nowMs - peer.heardMs;
    const isSameRegion = peer.hello.region === ownRegion;
    if (
      unresponsiveMs >=
      (isSameRegion ? DEAD_AFTER_MS : OTHER_REGION_DEAD_AFTER_MS)
    )
      return 'dead';
    if (
      unresponsiveMs >=
      (isSameRegion ? SUSPECT_AFTER_MS : OTHER_REGION_SUSPECT_AFTER_MS)
    )
      return 'suspect';
    return 'live';
  }

  function sweep(nowMs: number): void {
    for (const [instance, peer] of peers)
      if (nowMs - peer.heardMs >= REMOVE_PEER_AFTER_MS) peers.delete(instance);
  }

  return {
    addPeer,
    applyHeartbeat,
    recordActivity,
    markEnded,
    advanceTimes,
    list,
    sweep,
  };
}

function buildFirstHeartbeat(
  instance: core.ids.InstanceId,
): core.messages.Heartbeat {
  return {
    kind: 'heartbeat',
    instance,
    state: 'starting',
    releaseOffset: -1,
    claimsOffset: -1,
    shards: [],
    leaving: [],
    logAway: false,
    teamUse: [],
  };
}
