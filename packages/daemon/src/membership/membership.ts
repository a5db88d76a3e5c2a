/**
 * Membership: VMs from the platform's list, which lags, and processes from their
 * heartbeats. A VM in the list isn't proof of life, a missing one isn't proof of
 * death; each process decides for itself.
 */
import * as core from '@flamingoward/core';
import type * as links from '../links/links.js';
import type * as types from '../types.js';
import * as peerTable from './peers.js';

const VM_POLL_MS = 1_000;
const HEALTH_CHECK_MS = 100;

/** A gap between two checks from which on this process counts as having been paused, in ms. */
export const PAUSE_GAP_MS = 500;

/** What this process says about itself in heartbeats. */
export type OwnState = Omit<
  core.messages.Heartbeat,
  'kind' | 'instance' | 'leaving'
>;

/** What the membership needs. */
export interface MembershipOptions {
  readonly context: types.PartContext;
  readonly links: links.LinksPart;
  readonly readVmList: () => Promise<core.workers.VmList>;
  /** Links addresses from the settings. */
  readonly peers: readonly core.ids.Address[];
  readonly readOwnState: () => OwnState;
  /** State alone; asked often, while the whole own state is only built for heartbeats. */
  readonly readState: () => OwnState['state'];
  /** Random number from 0 to 1. */
  readonly readRandom: () => number;
}

/** The membership and what only the process composition uses of it. */
export interface MembershipPart extends types.Membership, types.Dumpable {
  /** Reads the list once and starts heartbeats; a list that can't be read isn't an error. */
  open(): Promise<void>;
  /** Sends a full heartbeat to all peers now. */
  announce(): void;
  close(): void;
}

/** Creates the membership of this process. */
export function createMembership(options: MembershipOptions): MembershipPart {
  const { context, links } = options;
  const { timers, identity } = context;
  const table = peerTable.createPeerTable(identity.region);
  const changes = core.createSubject<'vms' | 'peers'>();
  const leavingVms = new Set<core.ids.VmId>();
  const subscriptions: core.TimerSubscription[] = [];
  let vms: readonly core.workers.VmRecord[] = [];
  let listFailed = false;
  let lastSent = '';
  let lastFullMs = -Infinity;
  let beats = 0;
  let lastCheckMs = timers.readNow();
  let lastHealth = '';
  let closed = false;

  function buildHeartbeat(): core.messages.Heartbeat {
    return {
      kind: 'heartbeat',
      instance: identity.instance,
      ...options.readOwnState(),
      leaving: [...leavingVms].sort(),
    };
  }

  function sendHeartbeats(nowMs: number): void {
    const heartbeat = buildHeartbeat();
    const text = JSON.stringify(heartbeat);
    const isFull =
      text !== lastSent || nowMs - lastFullMs >= peerTable.FULL_HEARTBEAT_MS;
    const isForeignTurn =
      beats % (peerTable.FOREIGN_HEARTBEAT_MS / peerTable.HEARTBEAT_MS) === 0;
    beats += 1;
    if (isFull) {
      lastSent = text;
      lastFullMs = nowMs;
    }
    for (const peer of table.list(nowMs)) {
      if (isFull) links.notify(peer.instance, heartbeat);
      else if (peer.region === identity.region || isForeignTurn)
        links.notify(peer.instance, { kind: 'beat' });
    }
  }

  function receive(
    from: core.ids.InstanceId,
    notice: core.messages.Notice,
  ): void {
    const nowMs = timers.readNow();
    if (notice.kind === 'beat') table.receiveBeat(from, nowMs);
    if (notice.kind !== 'heartbeat') return;
    noteLeaving(notice.leaving);
    if (table.receive(notice, nowMs)) changes.push('peers');
  }

  function noteLeaving(ids: readonly core.ids.VmId[]): void {
    const fresh = ids.filter((id) => !leavingVms.has(id));
    for (const id of fresh) leavingVms.add(id);
    if (fresh.length > 0) changes.push('vms');
  }

  async function pollVms(): Promise<void> {
    try {
      const list = await options.readVmList();
      listFailed = false;
      applyVms(list.vms);
    } catch (cause) {
      if (!listFailed)
        context.log.write('warn', 'vmlist.away', {
          cause: core.describeError(cause),
        });
      listFailed = true;
    }
  }

  function applyVms(next: readonly core.workers.VmRecord[]): void {
    const changed = JSON.stringify(next) !== JSON.stringify(vms);
    vms = next;
    const listed = new Set(next.map((vm) => vm.id));
    // A VM that left the list needs no mark; its id isn't used again.
    for (const id of leavingVms) if (!listed.has(id)) leavingVms.delete(id);
    noteLeaving(next.filter((vm) => vm.state === 'leaving').map((vm) => vm.id));
    if (changed) changes.push('vms');
    setPeers();
  }

  function setPeers(): void {
    const listed = vms
      .filter((vm) => vm.role === 'entry')
      .map((vm) => vm.address);
    const own = identity.linksAddress;
    links.setPeers(
      [...new Set([...options.peers, ...listed])].filter((a) => a !== own),
    );
  }

  function scheduleVmPoll(): void {
    if (closed) return;
    // Jitter keeps restarted processes from asking the list in step.
    const delayMs = VM_POLL_MS * (0.9 + 0.2 * options.readRandom());
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
    if (gapMs > PAUSE_GAP_MS) table.advance(gapMs);
    table.sweep(nowMs);
    const health = table
      .list(nowMs)
      .map((peer) => `${peer.instance}=${peer.health}`)
      .join(',');
    if (health === lastHealth) return;
    logHealth(nowMs);
    lastHealth = health;
    changes.push('peers');
  }

  function logHealth(nowMs: number): void {
    for (const peer of table.list(nowMs)) {
      if (lastHealth.includes(`${peer.instance}=${peer.health}`)) continue;
      context.log.write('info', 'peer.health', {
        peer: peer.name,
        instance: peer.instance,
        health: peer.health,
      });
    }
  }

  async function open(): Promise<void> {
    void links.notices.observe(({ from, notice }) => {
      receive(from, notice);
    });
    // Notices travel on the connection that their sender dialled. While that one is silent,
    // answers and pongs on the other one still show that the peer is alive.
    void links.heard.observe((from) => {
      table.receiveBeat(from, timers.readNow());
    });
    void links.opened.observe((hello) => {
      table.open(hello, timers.readNow());
      links.notify(hello.instance, buildHeartbeat());
    });
    void links.refused.observe((hello) => {
      table.markEnded(hello.instance);
      checkHealth(timers.readNow());
    });
    setPeers();
    subscriptions[0] = timers.subscribe(
      {
        name: 'membership.heartbeat',
        delayMs: peerTable.HEARTBEAT_MS,
        repeat: 'periodic',
      },
      sendHeartbeats,
    );
    subscriptions[1] = timers.subscribe(
      {
        name: 'membership.health',
        delayMs: HEALTH_CHECK_MS,
        repeat: 'periodic',
      },
      checkHealth,
    );
    await pollVms();
    scheduleVmPoll();
  }

  function readVms(): readonly core.workers.VmRecord[] {
    if (leavingVms.size === 0) return vms;
    return vms.map((vm) =>
      leavingVms.has(vm.id) ? { ...vm, state: 'leaving' } : vm,
    );
  }

  function listCandidates(
    region: core.ids.RegionName,
  ): readonly core.ids.InstanceId[] {
    const peers = table
      .list(timers.readNow())
      .filter((peer) => peer.region === region)
      .filter((peer) => peer.health !== 'dead')
      .filter((peer) => peer.heartbeat.state === 'ready')
      .map((peer) => peer.instance);
    const isSelf =
      region === identity.region && options.readState() === 'ready';
    return isSelf ? [...peers, identity.instance] : peers;
  }

  function close(): void {
    closed = true;
    for (const subscription of subscriptions) subscription.end();
  }

  return {
    open,
    announce: () => {
      lastFullMs = -Infinity;
      sendHeartbeats(timers.readNow());
    },
    close,
    readVms,
    readPeers: () => table.list(timers.readNow()),
    listCandidates,
    changes: changes.stream,
    dump: () => ({
      vms: readVms(),
      peers: table.list(timers.readNow()),
      leaving: [...leavingVms],
    }),
  };
}
