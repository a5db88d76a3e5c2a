/** Table of the other processes, fed by heartbeats. Pure: the time is an argument. */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** Heartbeat period towards peers of the same region, in ms. */
export const HEARTBEAT_MS = 250;

/** Heartbeat period towards peers of other regions, in ms. */
export const FOREIGN_HEARTBEAT_MS = 1_000;

/** Longest time between two full heartbeats, in ms. */
export const FULL_HEARTBEAT_MS = 2_000;

/** Silence after which a peer of the same region is avoided for routing, in ms. */
export const SUSPECT_AFTER_MS = 600;

/** Silence after which a peer of the same region may lose its shards, in ms. */
export const OWNER_DEAD_MS = 1_000;

/** Silence after which a peer of another region is avoided for routing, in ms. */
export const FOREIGN_SUSPECT_AFTER_MS = 2_500;

/** Silence after which a peer of another region counts as dead, in ms. */
export const FOREIGN_DEAD_MS = 4_000;

/** Time for which a dead peer stays in the table, in ms. */
export const FORGET_PEER_AFTER_MS = 600_000;

interface Peer {
  readonly hello: core.messages.Hello;
  heardMs: number;
  heartbeat: core.messages.Heartbeat;
  /** Known to have ended: its address refuses connections or another instance answers there. */
  ended: boolean;
}

/** The table of peers. */
export interface PeerTable {
  /** A connection to the peer was opened. */
  open(hello: core.messages.Hello, nowMs: number): void;
  /** A full heartbeat arrived; true when it says something new. */
  receive(heartbeat: core.messages.Heartbeat, nowMs: number): boolean;
  /** An instance showed that it is alive. */
  receiveBeat(instance: core.ids.InstanceId, nowMs: number): void;
  /** The address of an instance refuses connections, so the instance has ended. */
  markEnded(instance: core.ids.InstanceId): void;
  /** Shifts all times after a pause of this process, during which it could hear nobody. */
  advance(byMs: number): void;
  list(nowMs: number): readonly types.PeerView[];
  /** Forgets peers that have been dead for long. */
  sweep(nowMs: number): void;
}

/** Creates an empty table. */
export function createPeerTable(ownRegion: core.ids.RegionName): PeerTable {
  const peers = new Map<core.ids.InstanceId, Peer>();

  function open(hello: core.messages.Hello, nowMs: number): void {
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

  function receive(heartbeat: core.messages.Heartbeat, nowMs: number): boolean {
    const peer = peers.get(heartbeat.instance);
    if (peer === undefined) return false;
    const changed =
      JSON.stringify(peer.heartbeat) !== JSON.stringify(heartbeat);
    peer.heartbeat = heartbeat;
    peer.heardMs = nowMs;
    return changed;
  }

  function receiveBeat(instance: core.ids.InstanceId, nowMs: number): void {
    const peer = peers.get(instance);
    if (peer !== undefined) peer.heardMs = nowMs;
  }

  function markEnded(instance: core.ids.InstanceId): void {
    const peer = peers.get(instance);
    if (peer !== undefined) peer.ended = true;
  }

  function advance(byMs: number): void {
    for (const peer of peers.values()) peer.heardMs += byMs;
  }

  function list(nowMs: number): readonly types.PeerView[] {
    return [...peers.values()].map((peer) => ({
      name: peer.hello.name,
      instance: peer.hello.instance,
      region: peer.hello.region,
      availabilityZone: peer.hello.availabilityZone,
      heardMs: peer.heardMs,
      health: readHealth(peer, nowMs),
      heartbeat: peer.heartbeat,
    }));
  }

  function readHealth(peer: Peer, nowMs: number): types.PeerView['health'] {
    if (peer.ended) return 'dead';
    const silentMs = nowMs - peer.heardMs;
    const isNear = peer.hello.region === ownRegion;
    if (silentMs >= (isNear ? OWNER_DEAD_MS : FOREIGN_DEAD_MS)) return 'dead';
    if (silentMs >= (isNear ? SUSPECT_AFTER_MS : FOREIGN_SUSPECT_AFTER_MS))
      return 'suspect';
    return 'live';
  }

  function sweep(nowMs: number): void {
    for (const [instance, peer] of peers)
      if (nowMs - peer.heardMs >= FORGET_PEER_AFTER_MS) peers.delete(instance);
  }

  return { open, receive, receiveBeat, markEnded, advance, list, sweep };
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
