/** Builds the JSON views of processes, VMs and releases on the operators' address. */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as workerTypes from '../workers/types.js';

/** Details of a worker that the VM list doesn't contain; only the process that owns its shard knows them. */
export interface WorkerDetail {
  readonly id: core.ids.VmId;
  readonly running?: number;
  readonly used?: core.resources.Resources;
  /** Why it gets no new work now; absent when it can get work. */
  readonly closedBy?: string;
}

/** Details of a backend server that the VM list doesn't contain. */
export interface BackendDetail {
  readonly id: core.ids.VmId;
  readonly busySlots?: number;
  /** Why it gets no new requests now; absent when it can get requests. */
  readonly closedBy?: string;
}

/** Builds the details of the workers whose shards this process owns. */
export function listWorkerDetails(
  workers: readonly workerTypes.WorkerView[],
): readonly WorkerDetail[] {
  return workers.map(({ id, attempts, closedBy }) => ({
    id,
    ...(attempts === undefined ? {} : { running: attempts }),
    ...(closedBy === undefined ? {} : { closedBy }),
  }));
}

/** Builds the details of the backend servers whose shards this process owns. */
export function listBackendDetails(
  servers: readonly core.slots.ServerView[],
): readonly BackendDetail[] {
  return servers.map((server) => {
    const closedBy = describeClosedReason(server);
    return {
      id: server.id,
      busySlots: server.used,
      ...(closedBy === undefined ? {} : { closedBy }),
    };
  });
}

function describeClosedReason(
  server: core.slots.ServerView,
): string | undefined {
  if (server.leaving) return 'it is leaving';
  return server.failing ? 'it failed; trial requests test it' : undefined;
}

/** A process as known to the process that answers. */
export interface ProcessView {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
  /** `self` for the process that answers. */
  readonly health: 'self' | types.PeerView['health'];
  readonly state: core.messages.Heartbeat['state'];
  /** Time since its last heartbeat, in ms. */
  readonly heardAgoMs: number;
  readonly releaseOffset: core.ids.Offset;
  /** Id of the release at that offset; absent when it isn't known. */
  readonly release?: string;
  readonly shards: readonly core.messages.OwnedShard[];
}

/** Lists this process and its peers, sorted by name. */
export function listProcesses(
  context: types.PartContext,
  membership: types.Membership,
  ownHeartbeat: core.messages.Heartbeat,
  state: core.releases.ReleaseState,
): readonly ProcessView[] {
  const nowMs = context.timers.getNow();
  const self = buildProcessView(
    context.identity,
    'self',
    ownHeartbeat,
    0,
    state,
  );
  const allPeers = membership.listPeers();
  const peers = allPeers
    .filter((peer) => !isReplaced(peer, allPeers))
    .map((peer) =>
      buildProcessView(
        peer,
        peer.health,
        peer.heartbeat,
        nowMs - peer.heardMs,
        state,
      ),
    );
  return [self, ...peers].sort((a, b) => a.name.localeCompare(b.name));
}

// The dead instance of a restarted process stays in the list of peers for a while.
function isReplaced(
  peer: types.PeerView,
  allPeers: readonly types.PeerView[],
): boolean {
  return (
    peer.health === 'dead' &&
    allPeers.some(
      (other) => other.name === peer.name && other.health !== 'dead',
    )
  );
}

function buildProcessView(
  source: types.ProcessIdentity | types.PeerView,
  health: ProcessView['health'],
  heartbeat: core.messages.Heartbeat,
  heardAgoMs: number,
  state: core.releases.ReleaseState,
): ProcessView {
  const { name, instance, region, availabilityZone } = source;
  const { releaseOffset, shards } = heartbeat;
  const release = findRelease(state, releaseOffset);
  return {
    name,
    instance,
    region,
    availabilityZone,
    health,
    state: heartbeat.state,
    heardAgoMs: Math.round(heardAgoMs),
    releaseOffset,
    ...(release === undefined ? {} : { release }),
    shards,
  };
}

function findRelease(
  state: core.releases.ReleaseState,
  offset: core.ids.Offset,
): string | undefined {
  if (offset < 0) return 'none';
  return state.history.find((item) => item.offset === offset)?.note.id;
}

/** Lists the VMs of one role with their details, sorted by id. */
export function listVms(
  membership: types.Membership,
  role: core.workers.VmRecord['role'],
  details: readonly (WorkerDetail | BackendDetail)[],
): readonly unknown[] {
  const byId = new Map(details.map((detail) => [detail.id, detail]));
  return membership
    .listVms()
    .filter((vm) => vm.role === role)
    .map((vm) => ({ ...vm, ...byId.get(vm.id) }))
    .sort((a, b) => a.id.localeCompare(b.id));
}

/** Builds the view of a published release note and its verdict, without the note's text. */
export function buildHistoryItem(item: core.releases.ReleaseHistoryItem): {
  readonly id: string;
  readonly offset: core.ids.Offset;
} {
  const { note, offset, publisher, publishedMs, verdict } = item;
  const { id, base, title } = note;
  const view = { id, base, title, offset, publisher, publishedMs, verdict };
  return view;
}

/** Finds a release by id or `current`: the adopted note with this id, otherwise the last one published. */
export function findHistoryItem(
  state: core.releases.ReleaseState,
  id: string,
): core.releases.ReleaseHistoryItem | undefined {
  const releaseId = id === 'current' ? state.current : id;
  const items = state.history.filter((item) => item.note.id === releaseId);
  return (
    items.find((item) => item.verdict.verdict === 'adopted') ?? items.at(-1)
  );
}
