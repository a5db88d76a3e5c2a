/**
 * The owner side of tickets: one slot scheduler for each service shard that this
 * process owns. It is created when the shard is gained and dropped when it is lost.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from './types.js';
import * as shards from './shards.js';

const MAX_WAITING = 10_000;
const UPKEEP_EVERY_MS = 200;
const STATUS_TIMEOUT_MS = 400;
const HELD_TIMEOUT_MS = 400;
const RETRY_AFTER_LOST_MS = 200;

type AskQuestion = Extract<
  core.messages.Question,
  { readonly kind: 'ticket.ask' }
>;
type ReturnNotice = Extract<
  core.messages.Notice,
  { readonly kind: 'ticket.return' }
>;
type CancelNotice = Extract<
  core.messages.Notice,
  { readonly kind: 'ticket.cancel' }
>;

/** What the desk works with. */
export interface TicketDeskParts {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly releases: types.Releases;
  readonly backends: requests.BackendClient;
  readonly maxProcesses: number;
  /** Tickets that this process itself holds in a shard. */
  readonly listHeld: (
    question: Extract<core.messages.Question, { kind: 'tickets.held' }>,
  ) => readonly core.requests.HeldTicket[];
}

/** Grants tickets for the service shards of this process. */
export interface TicketDesk {
  /** Asks for a ticket; `from` is the process that asks, this one included. */
  ask(
    question: AskQuestion,
    from: core.ids.InstanceId,
  ): Promise<core.requests.TicketAnswer>;
  cancel(notice: CancelNotice, from: core.ids.InstanceId): void;
  return(notice: ReturnNotice): void;
  /** Backend servers of the shards of this process. */
  listServers(): readonly core.slots.ServerView[];
  /** Plain JSON-ready copy of the tables. */
  dump(): unknown;
  close(): void;
}

interface Pending {
  readonly holder: core.ids.InstanceId;
  readonly resolve: (answer: core.requests.TicketAnswer) => void;
}

/** One owned shard. */
interface OwnedShard {
  readonly name: core.ids.ShardName;
  readonly service: core.ids.ServiceName;
  readonly region: core.ids.RegionName;
  readonly epoch: core.ids.Epoch;
  readonly scheduler: core.slots.SlotScheduler;
  readonly pending: Map<core.slots.AskId, Pending>;
  readonly listed: Map<core.ids.VmId, core.slots.BackendServer>;
  readonly polling: Set<string>;
  timer: core.TimerSubscription | undefined;
  dueMs: number;
}

/** Creates the desk; it follows the ownership from then on. */
export function createTicketDesk(parts: TicketDeskParts): TicketDesk {
  const { context, links, membership, ownership, releases } = parts;
  const { timers, identity, log, metrics } = context;
  const owned = new Map<core.ids.ShardName, OwnedShard>();
  // Dead processes whose asks were dropped; they stay in the list of peers.
  let dropped = new Set<core.ids.InstanceId>();

  // --- gaining and losing shards ---

  function startShard(name: core.ids.ShardName, epoch: core.ids.Epoch): void {
    const parsed = shards.parseServiceShard(name);
    if (parsed === undefined) return;
    stopShard(name);
    const shard: OwnedShard = {
      name,
      ...parsed,
      epoch,
      scheduler: core.createSlotScheduler({
        shard: name,
        epoch,
        policy:
          readPolicy(parsed.service) ?? createEmptyPolicy(parts.maxProcesses),
        maxWaiting: MAX_WAITING,
      }),
      pending: new Map(),
      listed: new Map(),
      polling: new Set(),
      timer: undefined,
      dueMs: Infinity,
    };
    owned.set(name, shard);
    updateServers(shard);
    startTakeOver(shard);
    checkUncertain(shard);
    runShard(shard);
  }

  function stopShard(name: core.ids.ShardName): void {
    const shard = owned.get(name);
    if (shard === undefined) return;
    owned.delete(name);
    shard.timer?.end();
    const refusal = refuse({ reason: 'no-owner', shard: name });
    for (const pending of shard.pending.values()) pending.resolve(refusal);
    shard.pending.clear();
  }

  function startTakeOver(shard: OwnedShard): void {
    const state = releases.readState();
    const service = state.services.get(shard.service);
    const holders = membership
      .readPeers()
      .filter((peer) => peer.health !== 'dead')
      .map((peer) => peer.instance);
    const longestTermMs =
      service === undefined ? 0 : shards.readLongestTerm(service, state);
    shard.scheduler.apply(
      {
        event: 'taken-over',
        holders: [...new Set([...holders, identity.instance])],
        longestTermMs,
      },
      timers.readNow(),
    );
    log.write('info', 'tickets.taken-over', {
      shard: shard.name,
      epoch: shard.epoch.offset,
      holders: holders.length + 1,
      longest_term_ms: longestTermMs,
    });
  }

  // --- tables ---

  function readPolicy(
    name: core.ids.ServiceName,
  ): core.slots.SlotPolicy | undefined {
    const state = releases.readState();
    const service = state.services.get(name);
    return service === undefined
      ? undefined
      : shards.createPolicy(service, state, parts.maxProcesses);
  }

  function updateRelease(): void {
    for (const shard of owned.values()) {
      const policy = readPolicy(shard.service);
      if (policy !== undefined)
        shard.scheduler.apply({ event: 'policy', policy }, timers.readNow());
      updateServers(shard);
      runShard(shard);
    }
  }

  function listServers(shard: OwnedShard): readonly core.slots.BackendServer[] {
    const state = releases.readState();
    const service = state.services.get(shard.service);
    const group = state.backends.get(service?.backend ?? '');
    if (group === undefined) return [];
    const vms = membership.readVms();
    return shards.listBackendVms(vms, group.name, shard.region).map((vm) => ({
      id: vm.id,
      address: vm.address,
      availabilityZone: vm.availabilityZone,
      slots: group.slots,
      connections: group.connections,
      leaving: vm.state === 'leaving',
    }));
  }

  function updateServers(shard: OwnedShard): void {
    const nowMs = timers.readNow();
    const servers = listServers(shard);
    const current = new Set(servers.map((server) => server.id));
    for (const id of [...shard.listed.keys()]) {
      if (current.has(id)) continue;
      shard.listed.delete(id);
      shard.scheduler.apply({ event: 'server.removed', server: id }, nowMs);
    }
    for (const server of servers) {
      shard.listed.set(server.id, server);
      shard.scheduler.apply({ event: 'server.listed', server }, nowMs);
    }
  }

  function updatePeers(): void {
    const peers = membership.readPeers();
    const dead = peers.filter((peer) => peer.health === 'dead');
    const fresh = dead.filter((peer) => !dropped.has(peer.instance));
    dropped = new Set(dead.map((peer) => peer.instance));
    const known = new Set(peers.map((peer) => peer.instance));
    known.add(identity.instance);
    for (const shard of owned.values()) {
      for (const peer of fresh) dropHolder(shard, peer.instance);
      for (const holder of shard.scheduler.listUnreported())
        if (!known.has(holder)) dropHolder(shard, holder);
      runShard(shard);
    }
  }

  function dropHolder(shard: OwnedShard, holder: core.ids.InstanceId): void {
    shard.scheduler.apply({ event: 'holder.gone', holder }, timers.readNow());
    const refusal = refuse({ reason: 'no-owner', shard: shard.name });
    for (const [ask, pending] of shard.pending) {
      if (pending.holder !== holder) continue;
      shard.pending.delete(ask);
      pending.resolve(refusal);
    }
  }

  // --- what is uncertain after a take-over ---

  function checkUncertain(shard: OwnedShard): void {
    for (const holder of shard.scheduler.listUnreported())
      void askHeld(shard, holder);
    // Before the reports a status doesn't say which slots are still to be used.
    if (shard.scheduler.listUnreported().length > 0) return;
    for (const server of shard.scheduler.listUncertain())
      void pollStatus(shard, server);
  }

  async function askHeld(
    shard: OwnedShard,
    holder: core.ids.InstanceId,
  ): Promise<void> {
    const question = {
      kind: 'tickets.held',
      shard: shard.name,
      epoch: shard.epoch,
    } as const;
    if (holder === identity.instance) {
      receiveHeld(shard, holder, parts.listHeld(question));
      return;
    }
    if (shard.polling.has(holder)) return;
    shard.polling.add(holder);
    try {
      const answer = await links.ask(holder, question, HELD_TIMEOUT_MS);
      if (answer.kind === 'tickets.held.answer')
        receiveHeld(shard, holder, answer.tickets);
    } catch (error) {
      log.write('debug', 'tickets.no-report', {
        shard: shard.name,
        peer: holder,
        cause: core.describeError(error),
      });
    } finally {
      shard.polling.delete(holder);
    }
  }

  function receiveHeld(
    shard: OwnedShard,
    holder: core.ids.InstanceId,
    tickets: readonly core.requests.HeldTicket[],
  ): void {
    if (owned.get(shard.name) !== shard) return;
    shard.scheduler.apply(
      { event: 'holder.reported', holder, tickets },
      timers.readNow(),
    );
    if (shard.scheduler.listUnreported().length === 0) checkUncertain(shard);
    runShard(shard);
  }

  async function pollStatus(
    shard: OwnedShard,
    server: core.ids.VmId,
  ): Promise<void> {
    const info = shard.listed.get(server);
    if (info === undefined || shard.polling.has(server)) return;
    shard.polling.add(server);
    const askedMs = timers.readNow();
    try {
      const status = await parts.backends.readStatus(
        info.address,
        STATUS_TIMEOUT_MS,
      );
      if (owned.get(shard.name) !== shard) return;
      shard.scheduler.apply(
        { event: 'server.status', server, busy: status.busy, askedMs },
        timers.readNow(),
      );
      runShard(shard);
    } catch (error) {
      log.write('debug', 'tickets.no-status', {
        shard: shard.name,
        peer: server,
        cause: core.describeError(error),
      });
    } finally {
      shard.polling.delete(server);
    }
  }

  // --- asks ---

  function ask(
    question: AskQuestion,
    from: core.ids.InstanceId,
  ): Promise<core.requests.TicketAnswer> {
    const shard = owned.get(question.shard);
    if (shard === undefined)
      return Promise.resolve(
        refuse({ reason: 'no-owner', shard: question.shard }),
      );
    if (!releases.readState().services.has(question.service))
      return Promise.resolve(
        refuse({ reason: 'unknown-service', service: question.service }),
      );
    const id = formatAskId(from, question.ask);
    return new Promise((resolve) => {
      shard.pending.set(id, { holder: from, resolve });
      shard.scheduler.apply(
        {
          event: 'ask',
          ask: {
            id,
            holder: from,
            availabilityZone: readZone(from),
            urgency: question.urgency,
            team: question.team,
            deadlineMs: question.deadlineMs,
            avoid: question.avoid,
          },
        },
        timers.readNow(),
      );
      runShard(shard);
    });
  }

  function readZone(instance: core.ids.InstanceId): core.ids.AvailabilityZone {
    if (instance === identity.instance) return identity.availabilityZone;
    const peer = membership
      .readPeers()
      .find((candidate) => candidate.instance === instance);
    return peer?.availabilityZone ?? '';
  }

  function cancel(notice: CancelNotice, from: core.ids.InstanceId): void {
    const shard = owned.get(notice.shard);
    if (shard === undefined) return;
    const id = formatAskId(from, notice.ask);
    shard.scheduler.apply(
      { event: 'ask.cancelled', ask: id },
      timers.readNow(),
    );
    shard.pending
      .get(id)
      ?.resolve(refuse({ reason: 'cancelled', by: 'the asking process' }));
    shard.pending.delete(id);
    runShard(shard);
  }

  function returnTicket(notice: ReturnNotice): void {
    const shard = owned.get(notice.shard);
    if (shard === undefined) return;
    shard.scheduler.apply(
      {
        event: 'ticket.returned',
        ticket: notice.ticket,
        result: notice.result,
        tookMs: notice.tookMs,
      },
      timers.readNow(),
    );
    runShard(shard);
  }

  // --- running the schedulers ---

  function runShard(shard: OwnedShard): void {
    if (owned.get(shard.name) !== shard) return;
    // After a pause the decisions wait until the ownership is confirmed.
    if (ownership.readEpoch(shard.name) === undefined) return;
    const nowMs = timers.readNow();
    for (const decision of shard.scheduler.tick(nowMs))
      deliver(shard, decision);
    subscribeNext(shard, nowMs);
  }

  function deliver(shard: OwnedShard, decision: core.slots.SlotDecision): void {
    const pending = shard.pending.get(decision.ask);
    shard.pending.delete(decision.ask);
    metrics.count('tickets_total', {
      service: shard.service,
      decision:
        decision.decision === 'granted' ? 'granted' : decision.reason.reason,
    });
    if (decision.decision === 'granted') {
      metrics.record(
        'ticket_wait',
        { service: shard.service },
        decision.waitedMs,
      );
      pending?.resolve({ granted: true, ticket: decision.ticket });
    } else
      pending?.resolve({
        granted: false,
        reason: decision.reason,
        retryAfterMs: decision.retryAfterMs,
      });
  }

  /** One timer per shard; it is replaced only when something is due earlier. */
  function subscribeNext(shard: OwnedShard, nowMs: number): void {
    const dueMs = shard.scheduler.readNextMs();
    if (dueMs === undefined || dueMs >= shard.dueMs) return;
    shard.timer?.end();
    shard.dueMs = dueMs;
    shard.timer = timers.subscribe(
      {
        name: 'tickets.due',
        delayMs: Math.max(1, Math.ceil(dueMs - nowMs)),
        repeat: 'once',
      },
      () => {
        shard.dueMs = Infinity;
        runShard(shard);
      },
    );
  }

  function runUpkeep(): void {
    for (const shard of owned.values()) {
      checkUncertain(shard);
      runShard(shard);
    }
  }

  function describeTables(): unknown {
    return [...owned.values()].map((shard) => shard.scheduler.dump());
  }

  links.handle('ticket.ask', async (question, from) => ({
    kind: 'ticket.answer',
    answer: await ask(question, from),
  }));
  const subscriptions = [
    links.notices.subscribe({
      next: ({ from, notice }) => {
        if (notice.kind === 'ticket.return') returnTicket(notice);
        else if (notice.kind === 'ticket.cancel') cancel(notice, from);
      },
      error: noteEnd,
      complete: noteEnd,
    }),
    ownership.changes.subscribe({
      next: ({ change, shard, epoch }) => {
        if (change === 'gained') startShard(shard, epoch);
        else stopShard(shard);
      },
      error: noteEnd,
      complete: noteEnd,
    }),
    membership.changes.subscribe({
      next: (what) => {
        if (what === 'peers') updatePeers();
        else
          for (const shard of owned.values()) {
            updateServers(shard);
            runShard(shard);
          }
      },
      error: noteEnd,
      complete: noteEnd,
    }),
    releases.changes.subscribe({
      next: updateRelease,
      error: noteEnd,
      complete: noteEnd,
    }),
  ];
  const upkeep = timers.subscribe(
    {
      name: 'tickets.upkeep',
      delayMs: UPKEEP_EVERY_MS,
      repeat: 'periodic',
    },
    runUpkeep,
  );

  return {
    ask,
    cancel,
    return: returnTicket,
    listServers: () =>
      [...owned.values()].flatMap((shard) => shard.scheduler.listServers()),
    dump: describeTables,
    close() {
      upkeep.end();
      for (const subscription of subscriptions) subscription.unsubscribe();
      for (const name of [...owned.keys()]) stopShard(name);
    },
  };
}

function noteEnd(): void {
  // The streams of the other parts end only with the process.
}

function refuse(reason: core.reasons.Reason): core.requests.TicketAnswer {
  return { granted: false, reason, retryAfterMs: RETRY_AFTER_LOST_MS };
}

function formatAskId(
  holder: core.ids.InstanceId,
  ask: number,
): core.slots.AskId {
  return `${holder}:${ask}`;
}

function createEmptyPolicy(maxProcesses: number): core.slots.SlotPolicy {
  return {
    termMs: 0,
    maxWaitMs: 0,
    floors: core.defaultFloors,
    weights: new Map(),
    maxProcesses,
  };
}
