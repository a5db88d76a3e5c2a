/** Follows which processes have an adopted release in force, from their heartbeats. */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** A process that was silent for this long isn't waited for, in ms. */
export const SILENT_MS = 60_000;

const trackedReleases = 32;

/** What the acceptance depends on. */
export interface AcceptanceOptions {
  readonly context: types.PartContext;
  readonly membership: types.Membership;
  /** The other processes as the settings name them. */
  readonly peers: readonly core.settings.PeerSetting[];
  readState(): core.releases.ReleaseState;
}

/** Acceptance of the last releases. */
export interface AcceptanceTracker {
  /** Begins to measure from now unless the release is followed already. */
  readonly track: (offset: core.ids.Offset, publishedMs: number) => void;
  /** Notes which processes have the followed releases in force now. */
  readonly update: () => void;
  readonly read: (offset: core.ids.Offset) => types.Acceptance;
}

interface Tracked {
  readonly publishedMs: number;
  readonly times: Map<core.ids.ProcessName, number>;
  tookMs: number | undefined;
}

interface Standing {
  readonly process: core.ids.ProcessName;
  readonly standing: 'in-force' | 'waiting' | 'without';
}

/** Creates the tracker; the caller calls `update` from time to time. */
export function createAcceptanceTracker(
  options: AcceptanceOptions,
): AcceptanceTracker {
  const { timers } = options.context;
  const startedMs = timers.readNow();
  const tracked = new Map<core.ids.Offset, Tracked>();

  function track(offset: core.ids.Offset, publishedMs: number): void {
    if (tracked.has(offset)) return;
    tracked.set(offset, { publishedMs, times: new Map(), tookMs: undefined });
    for (const old of [...tracked.keys()].slice(0, -trackedReleases))
      tracked.delete(old);
  }

  function update(): void {
    for (const [offset, one] of tracked)
      if (one.tookMs === undefined) noteTimes(offset, one);
  }

  function noteTimes(offset: core.ids.Offset, one: Tracked): void {
    const standings = listStandings(options, offset, startedMs);
    const tookMs = timers.readNow() - one.publishedMs;
    for (const { process, standing } of standings)
      if (standing === 'in-force' && !one.times.has(process))
        one.times.set(process, tookMs);
    if (standings.every((peer) => peer.standing !== 'waiting'))
      one.tookMs = tookMs;
  }

  function read(offset: core.ids.Offset): types.Acceptance {
    update();
    const standings = listStandings(options, offset, startedMs);
    const list = (standing: Standing['standing']) =>
      standings
        .filter((one) => one.standing === standing)
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

  return { track, update, read };
}

function listTimes(one: Tracked): readonly types.AcceptanceTime[] {
  return [...one.times].map(([process, tookMs]) => ({ process, tookMs }));
}

function listStandings(
  options: AcceptanceOptions,
  offset: core.ids.Offset,
  startedMs: number,
): readonly Standing[] {
  const { identity, timers } = options.context;
  const nowMs = timers.readNow();
  const own = options.readState().offset >= offset ? 'in-force' : 'waiting';
  const standings: Standing[] = [{ process: identity.name, standing: own }];
  const heard = selectLatest(options.membership.readPeers());
  for (const peer of heard.values()) {
    const isWaitedFor =
      nowMs - peer.heardMs < SILENT_MS && isListed(options, peer.name);
    const has = peer.heartbeat.releaseOffset >= offset;
    const standing = has ? 'in-force' : isWaitedFor ? 'waiting' : 'without';
    standings.push({ process: peer.name, standing });
  }
  // A process that has just started may not have heard all others yet.
  for (const { name } of options.peers) {
    if (heard.has(name)) continue;
    const isWaitedFor =
      nowMs - startedMs < SILENT_MS && isListed(options, name);
    standings.push({
      process: name,
      standing: isWaitedFor ? 'waiting' : 'without',
    });
  }
  return standings;
}

// A restarted process is listed with both instances for a while.
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

// VM ids are the process names where the platform allows it; elsewhere the IP
// addresses of the settings tell which VM a process runs on.
function isListed(
  options: AcceptanceOptions,
  name: core.ids.ProcessName,
): boolean {
  const vms = options.membership.readVms().filter((vm) => vm.role === 'entry');
  if (vms.length === 0) return true;
  if (vms.some((vm) => vm.id === options.context.identity.name))
    return vms.some((vm) => vm.id === name);
  const address = options.peers.find((peer) => peer.name === name)?.address;
  if (address === undefined) return true;
  const host = readHost(address);
  return vms.some((vm) => readHost(vm.address) === host);
}

function readHost(address: core.ids.Address): string {
  return address.replace(/:[0-9]+$/, '');
}
