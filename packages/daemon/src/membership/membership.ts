/**
 * Tracks the VMs, from the platform's VM list, and the other processes, from their
 * heartbeats. The VM list lags: a listed VM may have terminated, and a new one may be
 * missing. Each process judges its peers by itself.
 */
import * as core from '@flamingoward/core';
import type * as links from '../links/links.js';
import type * as types from '../types.js';
import * as peerTable from './peers.js';
import * as vmRecords from './vmRecords.js';

const VM_POLL_INTERVAL_MS = 1_000;
const HEALTH_CHECK_INTERVAL_MS = 100;

/** A longer gap between two checks means that this process was paused. */
export const PAUSE_GAP_MS = 500;

/** State of this process that its heartbeats carry. */
export type OwnState = Omit<
  core.messages.Heartbeat,
  'kind' | 'instance' | 'leaving'
>;

/** Dependencies of the membership. */
export interface MembershipOptions {
  readonly context: types.PartContext;
  readonly links: links.LinksPart;
  readonly readVmList: () => Promise<core.workers.VmList>;
  /** Links addresses of the peers in the settings. */
  readonly peers: readonly core.ids.Address[];
  readonly getOwnState: () => OwnState;
  /** Returns only `state`; called often, so it must not build the whole own state. */
  readonly getState: () => OwnState['state'];
  /** Random number from 0 to 1. */
  readonly getRandom: () => number;
}

/** Membership with the operations that only `process.ts` uses. */
export interface MembershipPart extends types.Membership, types.Dumpable {
  /** Starts heartbeats and reads the VM list once; a failed read is logged and retried. */
  open(): Promise<void>;
  /** Sends a full heartbeat to all peers immediately. */
  announce(): void;
  close(): void;
}

/** Creates the membership of this process; it starts with `open`. */
export function createMembership(options: MembershipOptions): MembershipPart {
  const { context, links } = options;
  const { timers, identity } = context;
  const selector = vmRecords.createVmSelector(context);
  const knownPeers = peerTable.createPeerTable(identity.region);
  const changes = core.createSubject<'vms' | 'peers'>();
  const leavingVms = new Set<core.ids.VmId>();
  const subscriptions: core.TimerSubscription[] = [];
  let vms: readonly core.workers.VmRecord[] = [];
  let lastPollFailed = false;
  let lastFullHeartbeatText = '';
  let lastFullHeartbeatMs = -Infinity;
  let heartbeatCount = 0;
  let lastCheckMs = timers.getNow();
  let lastHealthSummary = '';
  let closed = false;

  function buildHeartbeat(): core.messages.Heartbeat {
    return {
      kind: 'heartbeat',
      instance: identity.instance,
      ...options.getOwnState(),
      leaving: [...leavingVms].sort(),
    };
  }

  function sendHeartbeats(nowMs: number): void {
    const heartbeat = buildHeartbeat();
    const text = JSON.stringify(heartbeat);
    const isFull =
      text !== lastFullHeartbeatText ||
      nowMs - lastFullHeartbeatMs >= peerTable.FULL_HEARTBEAT_INTERVAL_MS;
    const isOtherRegionsTurn =
      heartbeatCount %
        (peerTable.OTHER_REGION_HEARTBEAT_INTERVAL_MS /
          peerTable.HEARTBEAT_INTERVAL_MS) ===
      0;
    heartbeatCount += 1;
    if (isFull) {
      lastFullHeartbeatText = text;
      lastFullHeartbeatMs = nowMs;
    }
    for (const peer of knownPeers.list(nowMs)) {
      if (isFull) links.notify(peer.instance, heartbeat);
      else if (peer.region === identity.region || isOtherRegionsTurn)
        links.notify(peer.instance, { kind: 'beat' });
    }
  }

  function receiveNotice(
    from: core.ids.InstanceId,
    notice: core.messages.Notice,
  ): void {
    const nowMs = timers.getNow();
    if (notice.kind === 'beat') knownPeers.recordActivity(from, nowMs);
    if (notice.kind !== 'heartbeat') return;
    markLeaving(notice.leaving);
    if (knownPeers.applyHeartbeat(notice, nowMs)) changes.push('peers');
  }

  function markLeaving(ids: readonly core.ids.VmId[]): void {
    const newIds = ids.filter((id) => !leavingVms.has(id));
    for (const id of newIds) leavingVms.add(id);
    if (newIds.length > 0) changes.push('vms');
  }

  async function pollVms(): Promise<void> {
    try {
      const list = await options.readVmList();
      lastPollFailed = false;
      applyVmList(selector.select(list.vms));
    } catch (cause) {
      if (!lastPollFailed)
        context.log.write('warn', 'vmlist.away', {
          cause: core.describeError(cause),
        });
      lastPollFailed = true;
    }
  }

  function applyVmList(next: readonly core.workers.VmRecord[]): void {
    const changed = JSON.stringify(next) !== JSON.stringify(vms);
    vms = next;
    const listed = new Set(next.map((vm) => vm.id));
    // VM ids aren't reused, so the mark of a VM that left the list isn't needed any more.
    for (const id of leavingVms) if (!listed.has(id)) leavingVms.delete(id);
    markLeaving(next.filter((vm) => vm.state === 'leaving').map((vm) => vm.id));
    if (changed) changes.push('vms');
    updateLinkPeers();
  }

  function updateLinkPeers(): void {
    const listed = vms
      .filter((vm) => vm.role === 'entry')
      .map((vm) => vm.address);
    const ownAddress = identity.linksAddress;
    links.setPeers(
      [...new Set([...options.peers, ...listed])].filter(
        (address) => address !== ownAddress,
      ),
    );
  }

  function scheduleVmPoll(): void {
    if (closed) return;
    // Jitter keeps processes that were restarted together from polling at the same time.
    const delayMs = VM_POLL_INTERVAL_MS * (0.9 + 0.2 * options.getRandom());
    subscriptions[2] = timers.subscribe(
      { name: 'vmlist.poll', delayMs, repeat: 'once' },
      () => {
        void pollVms().then(scheduleVmPoll);
      },
    );
  }

  function checkHealth(nowMs: number): void {
    const gapMs = nowMs - lastCheckMs;
    lastCheckMs = nowMs;
    if (gapMs > PAUSE_GAP_MS) knownPeers.advanceTimes(gapMs);
    knownPeers.sweep(nowMs);
    const healthSummary = knownPeers
      .list(nowMs)
      .map((peer) => `${peer.instance}=${peer.health}`)
      .join(',');
    if (healthSummary === lastHealthSummary) return;
    logHealth(nowMs);
    lastHealthSummary = healthSummary;
    changes.push('peers');
  }

  function logHealth(nowMs: number): void {
    for (const peer of knownPeers.list(nowMs)) {
      if (lastHealthSummary.includes(`${peer.instance}=${peer.health}`))
        continue;
      context.log.write('info', 'peer.health', {
        peer: peer.name,
        instance: peer.instance,
        health: peer.health,
      });
    }
  }

  async function open(): Promise<void> {
    void links.notices.observe(({ from, notice }) => {
      receiveNotice(from, notice);
    });
    // Notices only travel on the connection that their sender dialled. When that one fails,
    // answers and pongs on the other one still show that the peer is alive.
    void links.activity.observe((from) => {
      knownPeers.recordActivity(from, timers.getNow());
    });
    void links.opened.observe((hello) => {
      knownPeers.addPeer(hello, timers.getNow());
      links.notify(hello.instance, buildHeartbeat());
    });
    void links.refused.observe((hello) => {
      knownPeers.markEnded(hello.instance);
      checkHealth(timers.getNow());
    });
    updateLinkPeers();
    subscriptions[0] = timers.subscribe(
      {
        name: 'membership.heartbeat',
        delayMs: peerTable.HEARTBEAT_INTERVAL_MS,
        repeat: 'periodic',
      },
      sendHeartbeats,
    );
    subscriptions[1] = timers.subscribe(
      {
        name: 'membership.health',
        delayMs: HEALTH_CHECK_INTERVAL_MS,
        repeat: 'periodic',
      },
      checkHealth,
    );
    await pollVms();
    scheduleVmPoll();
  }

  function listVms(): readonly core.workers.VmRecord[] {
    if (leavingVms.size === 0) return vms;
    return vms.map((vm) =>
      leavingVms.has(vm.id) ? { ...vm, state: 'leaving' } : vm,
    );
  }

  function listCandidates(
    region: core.ids.RegionName,
  ): readonly core.ids.InstanceId[] {
    const peers = knownPeers
      .list(timers.getNow())
      .filter((peer) => peer.region === region)
      .filter((peer) => peer.health !== 'dead')
      .filter((peer) => peer.heartbeat.state === 'ready')
      .map((peer) => peer.instance);
    const isSelf = region === identity.region && options.getState() === 'ready';
    return isSelf ? [...peers, identity.instance] : peers;
  }

  function close(): void {
    closed = true;
    for (const subscription of subscriptions) subscription.end();
  }

  return {
    open,
    announce: () => {
      lastFullHeartbeatMs = -Infinity;
      sendHeartbeats(timers.getNow());
    },
    close,
    listVms,
    listPeers: () => knownPeers.list(timers.getNow()),
    listCandidates,
    changes: changes.stream,
    dump: () => ({
      vms: listVms(),
      peers: knownPeers.list(timers.getNow()),
      leaving: [...leavingVms],
    }),
  };
}
