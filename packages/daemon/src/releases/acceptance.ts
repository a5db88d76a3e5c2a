/**
 * Tracks which processes have an adopted release in force, from the release offsets in
 * their heartbeats. A release is accepted when no reachable process lacks it.
 */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** Time without a heartbeat after which the acceptance no longer waits for a process, in ms. */
export const PEER_TIMEOUT_MS = 60_000;

const MAX_TRACKED_RELEASES = 32;

/** Dependencies of the acceptance tracker. */
export interface AcceptanceOptions {
  readonly context: types.PartContext;
  readonly membership: types.Membership;
  /** The other processes as the settings name them. */
  readonly peers: readonly core.settings.PeerSetting[];
  getState(): core.releases.ReleaseState;
}

/** Acceptance of the most recent releases. */
export interface AcceptanceTracker {
  /** Begins to track a release published at `publishedMs`, unless it is tracked already. */
  readonly track: (offset: core.ids.Offset, publishedMs: number) => void;
  /** Records which processes have the tracked releases in force now. */
  readonly update: () => void;
  readonly get: (offset: core.ids.Offset) => types.Acceptance;
}

interface TrackedRelease {
  readonly publishedMs: number;
  /** Time from publication until each process had the release in force, in ms. */
  readonly times: Map<core.ids.ProcessName, number>;
  /** Time until all awaited processes had it in force, in ms; undefined until then. */
  tookMs: number | undefined;
}

/** Status of a release in one process; a process `without` it isn't waited for. */
interface ProcessStatus {
  readonly process: core.ids.ProcessName;
  readonly status: 'in-force' | 'waiting' | 'without';
}

/** Creates the tracker; the caller has to call `update` periodically. */
export function createAcceptanceTracker(
  options: AcceptanceOptions,
): AcceptanceTracker {
  const { timers } = options.context;
  const startedMs = timers.getNow();
  const tracked = new Map<core.ids.Offset, TrackedRelease>();

  function track(offset: core.ids.Offset, publishedMs: number): void {
    if (tracked.has(offset)) return;
    tracked.set(offset, { publishedMs, times: new Map(), tookMs: undefined });
    for (const old of [...tracked.keys()].slice(0, -MAX_TRACKED_RELEASES))
      tracked.delete(old);
  }

  function update(): void {
    for (const [offset, one] of tracked)
      if (one.tookMs === undefined) recordTimes(offset, one);
  }

  function recordTimes(offset: core.ids.Offset, one: TrackedRelease): void {
    const statuses = listStatuses(options, offset, startedMs);
    const tookMs = timers.getNow() - one.publishedMs;
    for (const { process, status } of statuses)
      if (status === 'in-force' && !one.times.has(process))
        one.times.set(process, tookMs);
    if (statuses.every((peer) => peer.status !== 'waiting'))
      one.tookMs = tookMs;
  }

  function get(offset: core.ids.Offset): types.Acceptance {
    update();
    const statuses = listStatuses(options, offset, startedMs);
    const list = (status: ProcessStatus['status']) =>
      statuses
        .filter((one) => one.status === status)
        .map((one) => one.process)
        .sort();
    const one = tracked.get(offset);
    const waitingFor = list('waiting');
    return {
      accepted: waitingFor.length === 0,
      inForce: list('in-force'),
      waitingFor,
      without: list('without'),
      ...(one?.tookMs === undefined ? {} : { tookMs: one.tookMs }),
      ...(one === undefined ? {} : { times: listTimes(one) }),
    };
  }

  return { track, update, get };
}

function listTimes(one: TrackedRelease): readonly types.AcceptanceTime[] {
  return [...one.times].map(([process, tookMs]) => ({ process, tookMs }));
}

function listStatuses(
  options: AcceptanceOptions,
  offset: core.ids.Offset,
  startedMs: number,
): readonly ProcessStatus[] {
  const { identity, timers } = options.context;
  const nowMs = timers.getNow();
  const own = options.getState().offset >= offset ? 'in-force' : 'waiting';
  const statuses: ProcessStatus[] = [{ process: identity.name, status: own }];
  const latestPeers = selectLatest(options.membership.listPeers());
  for (const peer of latestPeers.values()) {
    const isWaitedFor =
      nowMs - peer.heardMs < PEER_TIMEOUT_MS && isListed(options, peer.name);
    const isInForce = peer.heartbeat.releaseOffset >= offset;
    const status = isInForce ? 'in-force' : isWaitedFor ? 'waiting' : 'without';
    statuses.push({ process: peer.name, status });
  }
  // A process that has just started may not have received a heartbeat of every peer yet.
  for (const { name } of options.peers) {
    if (latestPeers.has(name)) continue;
    const isWaitedFor =
      nowMs - startedMs < PEER_TIMEOUT_MS && isListed(options, name);
    statuses.push({
      process: name,
      status: isWaitedFor ? 'waiting' : 'without',
    });
  }
  return statuses;
}

// A restarted process is listed under its old and its new instance until the old one expires.
function selectLatest(
  peers: readonly types.PeerView[],
): ReadonlyMap<core.ids.ProcessName, types.PeerView> {
  const latest = new Map<core.ids.ProcessName, types.PeerView>();
  for (const peer of peers) {
    const other = latest.get(peer.name);
    if (other === undefined || other.heardMs <= peer.heardMs)
      latest.set(peer.name, peer);
  }
  return latest;
}

// Process names equal VM ids where the platform allows it; elsewhere a process is
// matched with its VM by the IP address in the settings.
function isListed(
  options: AcceptanceOptions,
  name: core.ids.ProcessName,
): boolean {
  const vms = options.membership.listVms().filter((vm) => vm.role === 'entry');
  if (vms.length === 0) return true;
  if (vms.some((vm) => vm.id === options.context.identity.name))
    return vms.some((vm) => vm.id === name);
  const address = options.peers.find((peer) => peer.name === name)?.address;
  if (address === undefined) return true;
  const host = parseHost(address);
  return vms.some((vm) => parseHost(vm.address) === host);
}

function parseHost(address: core.ids.Address): string {
  return address.replace(/:[0-9]+$/, '');
}
