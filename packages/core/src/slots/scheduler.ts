/**
 * The slot scheduler of one service shard: which waiting request gets which slot of
 * which backend server next. It holds tables, knows no clock and does no I/O.
 */
import * as heap from 'heap-js';
import * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as request from '../types/request.js';
import * as queues from './queue.js';
import * as servers from './servers.js';
import type * as types from './types.js';

/** Waiting asks looked at in one search for one that fits, per urgency. */
const SCAN_LIMIT = 64;
/** Waiting asks of one team looked at in one search. */
const TEAM_SCAN_LIMIT = 16;
/** Weight of a new sample in the mean service time. */
const MEAN_WEIGHT = 0.05;
/**
 * Share of the term assumed as service time before the first sample. A larger share
 * refuses requests after each take-over that would have been served in time.
 */
const FIRST_MEAN_SHARE = 0.05;
const RETRY_AFTER_MIN_MS = 100;
const RETRY_AFTER_NO_SERVER_MS = 1_000;

interface Due<Row> {
  readonly atMs: number;
  readonly row: Row;
}

/** Creates the scheduler of a shard that this process owns since `options.epoch`. */
export function createSlotScheduler(
  options: types.SlotSchedulerOptions,
): types.SlotScheduler {
  let policy = options.policy;
  const rows = new Map<ids.VmId, servers.ServerRow>();
  const tickets = new Map<string, servers.TicketRow>();
  const ticketOfAsk = new Map<types.AskId, servers.TicketRow>();
  const waiting = queues.createWaitingQueue();
  const ticketEnds = createDueHeap<servers.TicketRow>();
  const waitEnds = createDueHeap<queues.WaitingAsk>();
  const used = new Map<ids.Urgency, number>();
  const unreported = new Set<ids.InstanceId>();
  let decisions: types.SlotDecision[] = [];
  let takeOverEndsMs: number | undefined;
  let meanMs: number | undefined;
  let grants = 0;

  function apply(event: types.SlotEvent, nowMs: number): void {
    switch (event.event) {
      case 'policy':
        policy = event.policy;
        return;
      case 'server.listed':
        updateServer(event.server);
        return;
      case 'server.removed':
        dropServer(event.server);
        return;
      case 'server.status':
        noteStatus(event.server, event.busy, event.askedMs, nowMs);
        return;
      case 'ask':
        receiveAsk(event.ask, nowMs);
        return;
      case 'ask.cancelled':
        cancelAsk(event.ask);
        return;
      case 'ticket.returned':
        returnTicket(event.ticket, event.result, nowMs);
        return;
      case 'holder.gone':
        dropHolder(event.holder);
        return;
      case 'taken-over':
        startTakeOver(event.holders, nowMs + event.longestTermMs);
        return;
      case 'holder.reported':
        receiveReport(event.holder, event.tickets, nowMs);
        return;
    }
  }

  // --- servers ---

  function updateServer(info: types.BackendServer): void {
    const known = rows.get(info.id);
    const row = known ?? servers.createServerRow(info);
    const isNew = known === undefined || known.info.slots === 0;
    row.info = info;
    row.listed = true;
    rows.set(info.id, row);
    // A server that is first seen after the take-over may have had tickets before.
    if (isNew && takeOverEndsMs !== undefined) markUnknown(row);
  }

  function dropServer(id: ids.VmId): void {
    const row = rows.get(id);
    if (row === undefined) return;
    row.listed = false;
    // A listed server may come back, and its tickets still count then.
    if (servers.countUsed(row) === 0) rows.delete(id);
  }

  function noteStatus(
    id: ids.VmId,
    busy: number,
    askedMs: number,
    nowMs: number,
  ): void {
    const row = rows.get(id);
    if (row !== undefined) servers.noteStatus(row, busy, askedMs, nowMs);
  }

  function applyStatuses(nowMs: number): void {
    const reported = unreported.size === 0;
    for (const row of rows.values())
      for (const ticket of servers.applyStatus(row, nowMs, reported))
        releaseTicket(ticket);
  }

  function markUnknown(row: servers.ServerRow): void {
    row.unknown = Math.max(0, row.info.slots - row.tickets.size);
  }

  // --- take-over ---

  function startTakeOver(
    holders: readonly ids.InstanceId[],
    endsMs: number,
  ): void {
    takeOverEndsMs = endsMs;
    for (const holder of holders) unreported.add(holder);
    for (const row of rows.values()) markUnknown(row);
  }

  function receiveReport(
    holder: ids.InstanceId,
    held: readonly request.HeldTicket[],
    nowMs: number,
  ): void {
    // Only the first report counts: a later one could bring back a returned ticket.
    if (!unreported.delete(holder)) return;
    for (const ticket of held) addReported(holder, ticket, nowMs);
  }

  function addReported(
    holder: ids.InstanceId,
    held: request.HeldTicket,
    nowMs: number,
  ): void {
    if (tickets.has(held.id)) return;
    const server = rows.get(held.backendServer) ?? addUnlisted(held);
    server.unknown = Math.max(0, server.unknown - 1);
    addTicket({
      id: held.id,
      ask: undefined,
      holder,
      server,
      urgency: undefined,
      team: undefined,
      startedMs: nowMs,
      endsMs: nowMs + held.termMs,
      reportedSent: held.sent,
      charged: true,
      abandonedMs: undefined,
    });
  }

  function addUnlisted(held: request.HeldTicket): servers.ServerRow {
    const row = servers.createServerRow({
      id: held.backendServer,
      address: held.address,
      availabilityZone: '',
      slots: 0,
      connections: 0,
      leaving: true,
    });
    row.listed = false;
    rows.set(held.backendServer, row);
    return row;
  }

  function endTakeOver(nowMs: number): void {
    if (takeOverEndsMs === undefined || nowMs < takeOverEndsMs) return;
    if (unreported.size > 0) return;
    takeOverEndsMs = undefined;
    for (const [id, row] of rows) {
      row.unknown = 0;
      if (!row.listed && row.tickets.size === 0) rows.delete(id);
    }
  }

  // --- asks ---

  function receiveAsk(ask: types.SlotAsk, nowMs: number): void {
    if (waiting.find(ask.id) !== undefined || ticketOfAsk.has(ask.id)) return;
    const refusal = checkAsk(ask, nowMs);
    if (refusal !== undefined) {
      decisions.push(refusal);
      return;
    }
    const added = waiting.add(ask, nowMs);
    waitEnds.push({ atMs: added.expiresMs, row: added });
  }

  function checkAsk(
    ask: types.SlotAsk,
    nowMs: number,
  ): types.SlotDecision | undefined {
    if (!hasServerFor(ask)) {
      const reason = servers.countObstacles(rows.values(), ask);
      return refuse(ask.id, reason, RETRY_AFTER_NO_SERVER_MS);
    }
    const length = waiting.readLength();
    const expectedMs = estimateWait(ask, nowMs);
    if (length >= options.maxWaiting)
      return refuse(
        ask.id,
        { reason: 'queue-full', length, limit: options.maxWaiting },
        expectedMs,
      );
    const limitMs = Math.min(policy.maxWaitMs, ask.deadlineMs);
    if (expectedMs <= limitMs) return undefined;
    return refuse(
      ask.id,
      { reason: 'expected-wait', expectedMs, limitMs },
      expectedMs - limitMs,
    );
  }

  function hasServerFor(ask: types.SlotAsk): boolean {
    for (const row of rows.values())
      if (servers.isUsable(row) && !ask.avoid.includes(row.info.id))
        return true;
    return false;
  }

  function refuse(
    ask: types.AskId,
    reason: reasons.Reason,
    retryAfterMs: number,
  ): types.SlotDecision {
    return {
      decision: 'refused',
      ask,
      reason,
      retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, Math.round(retryAfterMs)),
    };
  }

  function cancelAsk(id: types.AskId): void {
    const found = waiting.find(id);
    if (found !== undefined) waiting.remove(found);
    const ticket = ticketOfAsk.get(id);
    // The holder cancels only asks whose grant it won't use.
    if (ticket !== undefined) releaseTicket(ticket);
  }

  function dropHolder(holder: ids.InstanceId): void {
    unreported.delete(holder);
    for (const entry of [...waiting.listAll()])
      if (entry.ask.holder === holder) waiting.remove(entry);
  }

  function estimateWait(ask: types.SlotAsk, nowMs: number): number {
    const slots = countSlots();
    if (waiting.readLength() === 0 && hasRoom(nowMs)) return 0;
    const perSlotMs = readMean() / Math.max(1, slots);
    const index = ids.urgencies.indexOf(ask.urgency);
    const ahead = ids.urgencies
      .slice(0, index + 1)
      .reduce((sum, urgency) => sum + waiting.count(urgency), 0);
    const same = Math.min(waiting.count(ask.urgency), countTeamAhead(ask));
    const byOrder = ahead - waiting.count(ask.urgency) + same;
    // The floor bounds the wait behind a flood of more urgent work.
    const floor = policy.floors[ask.urgency];
    const byFloor = floor > 0 ? same / floor : Infinity;
    return Math.min(byOrder, byFloor) * perSlotMs;
  }

  /** Asks of the same urgency served before a new one of this team under fair share. */
  function countTeamAhead(ask: types.SlotAsk): number {
    const own = waiting.countTeam(ask.urgency, ask.team);
    const weight = readWeight(ask.team);
    let total = own > 0 ? 0 : weight;
    for (const list of waiting.listTeams(ask.urgency))
      total += readWeight(list.team);
    return (own * total) / weight;
  }

  function readWeight(team: ids.TeamName): number {
    return policy.weights.get(team) ?? 1;
  }

  function readMean(): number {
    return meanMs ?? policy.termMs * FIRST_MEAN_SHARE;
  }

  function countSlots(): number {
    let slots = 0;
    for (const row of rows.values())
      if (servers.isUsable(row) && !servers.isFailing(row))
        slots += row.info.slots;
    return slots;
  }

  function hasRoom(nowMs: number): boolean {
    for (const row of rows.values())
      if (servers.hasRoom(row, nowMs)) return true;
    return false;
  }

  // --- tickets ---

  function addTicket(ticket: servers.TicketRow): void {
    tickets.set(ticket.id, ticket);
    servers.addTicket(ticket.server, ticket);
    ticketEnds.push({ atMs: ticket.endsMs, row: ticket });
    if (ticket.ask !== undefined) ticketOfAsk.set(ticket.ask, ticket);
    if (ticket.urgency !== undefined)
      used.set(ticket.urgency, (used.get(ticket.urgency) ?? 0) + 1);
  }

  function releaseTicket(ticket: servers.TicketRow): void {
    if (!tickets.delete(ticket.id)) return;
    recordUse(ticket, 0);
    const { server } = ticket;
    servers.removeTicket(server, ticket);
    if (ticket.ask !== undefined) ticketOfAsk.delete(ticket.ask);
    if (ticket.urgency !== undefined)
      used.set(ticket.urgency, (used.get(ticket.urgency) ?? 1) - 1);
    if (!server.listed && servers.countUsed(server) === 0)
      rows.delete(server.info.id);
  }

  function returnTicket(
    id: string,
    result: types.TicketResult,
    nowMs: number,
  ): void {
    const ticket = tickets.get(id);
    if (ticket === undefined || ticket.abandonedMs !== undefined) return;
    servers.noteResult(ticket.server, result, nowMs);
    if (result === 'ok' || result === 'error') noteServiceTime(ticket, nowMs);
    if (result !== 'error') {
      releaseTicket(ticket);
      return;
    }
    // The server may still work on it, so the slot counts until the term ends.
    ticket.abandonedMs = nowMs;
    servers.endTrial(ticket.server, ticket);
  }

  function noteServiceTime(ticket: servers.TicketRow, nowMs: number): void {
    if (ticket.charged) return;
    const tookMs = nowMs - ticket.startedMs;
    recordUse(ticket, tookMs);
    meanMs =
      meanMs === undefined ? tookMs : meanMs + (tookMs - meanMs) * MEAN_WEIGHT;
  }

  function recordUse(ticket: servers.TicketRow, tookMs: number): void {
    const { urgency, team } = ticket;
    if (ticket.charged || urgency === undefined || team === undefined) return;
    ticket.charged = true;
    waiting.noteEnd(urgency, team, tookMs / readWeight(team));
  }

  /**
   * Slot time of a team relative to its weight, requests in flight at the mean. They
   * are charged when they end, so a wrong mean leaves no lasting credit or debt.
   */
  function rankTeam(list: queues.TeamList): number {
    return list.pass + (list.inFlight * readMean()) / readWeight(list.team);
  }

  function expireTickets(nowMs: number): void {
    for (;;) {
      const due = ticketEnds.peek();
      if (due === undefined || due.atMs > nowMs) return;
      ticketEnds.pop();
      recordUse(due.row, due.row.endsMs - due.row.startedMs);
      releaseTicket(due.row);
    }
  }

  function expireWaits(nowMs: number): void {
    for (;;) {
      const due = waitEnds.peek();
      if (due === undefined || due.atMs > nowMs) return;
      waitEnds.pop();
      const entry = due.row;
      if (waiting.find(entry.ask.id) !== entry) continue;
      waiting.remove(entry);
      const waitedMs = nowMs - entry.arrivedMs;
      decisions.push(
        refuse(entry.ask.id, { reason: 'deadline', waitedMs }, readMean()),
      );
    }
  }

  // --- grants ---

  function grantAll(nowMs: number): void {
    while (waiting.readLength() > 0 && hasRoom(nowMs))
      if (!grantNext(nowMs)) return;
  }

  /** Urgencies below their floor go first, then all, the most urgent first in both. */
  function grantNext(nowMs: number): boolean {
    const slots = countSlots();
    const asking = ids.urgencies.filter((name) => waiting.count(name) > 0);
    const below = asking.filter(
      (name) => (used.get(name) ?? 0) + 1 <= policy.floors[name] * slots,
    );
    const above = asking.filter((name) => !below.includes(name));
    for (const urgency of [...below, ...above])
      if (grantFrom(urgency, nowMs)) return true;
    return false;
  }

  function grantFrom(urgency: ids.Urgency, nowMs: number): boolean {
    let budget = SCAN_LIMIT;
    for (const list of waiting.sortTeams(urgency, rankTeam)) {
      let entry = list.first;
      for (let seen = 0; seen < TEAM_SCAN_LIMIT; seen += 1) {
        if (entry === undefined) break;
        if (budget === 0) return false;
        budget -= 1;
        if (tryGrant(entry, nowMs)) return true;
        entry = entry.next;
      }
    }
    return false;
  }

  function tryGrant(entry: queues.WaitingAsk, nowMs: number): boolean {
    const { ask } = entry;
    // Its share of the connections isn't known before it has reported.
    if (unreported.has(ask.holder)) return false;
    const server = servers.chooseServer(
      rows.values(),
      ask,
      policy.maxProcesses,
      nowMs,
    );
    if (server === undefined) return false;
    waiting.remove(entry);
    grant(entry, server, nowMs);
    return true;
  }

  function grant(
    entry: queues.WaitingAsk,
    server: servers.ServerRow,
    nowMs: number,
  ): void {
    const { ask } = entry;
    grants += 1;
    const { offset, provisional } = options.epoch;
    const ticket: servers.TicketRow = {
      id: `${options.shard}/${offset}.${provisional}/${grants}`,
      ask: ask.id,
      holder: ask.holder,
      server,
      urgency: ask.urgency,
      team: ask.team,
      startedMs: nowMs,
      endsMs: nowMs + policy.termMs,
      reportedSent: false,
      charged: false,
      abandonedMs: undefined,
    };
    if (servers.isFailing(server)) servers.startTrial(server, ticket);
    server.lastGrant = grants;
    addTicket(ticket);
    waiting.noteStart(ask.urgency, ask.team);
    decisions.push(createGrant(entry, ticket, nowMs));
  }

  /**
   * The holder counts the term from before it asked and the owner from the grant, so
   * the time that the ask waited here is added and the holder's end is never later.
   */
  function createGrant(
    entry: queues.WaitingAsk,
    row: servers.TicketRow,
    nowMs: number,
  ): types.SlotDecision {
    const waitedMs = nowMs - entry.arrivedMs;
    const ticket: request.Ticket = {
      id: row.id,
      shard: options.shard,
      epoch: options.epoch,
      backendServer: row.server.info.id,
      address: row.server.info.address,
      holder: row.holder,
      termMs: waitedMs + (row.endsMs - nowMs),
    };
    return { decision: 'granted', ask: entry.ask.id, ticket, waitedMs };
  }

  function tick(nowMs: number): readonly types.SlotDecision[] {
    expireTickets(nowMs);
    applyStatuses(nowMs);
    endTakeOver(nowMs);
    expireWaits(nowMs);
    grantAll(nowMs);
    const made = decisions;
    decisions = [];
    return made;
  }

  // --- views ---

  function readNextMs(): number | undefined {
    dropPast(ticketEnds, (row) => tickets.get(row.id) === row);
    dropPast(waitEnds, (row) => waiting.find(row.ask.id) === row);
    const times = [ticketEnds.peek()?.atMs, waitEnds.peek()?.atMs];
    if (unreported.size === 0) times.push(takeOverEndsMs);
    for (const row of rows.values()) times.push(row.status?.dueMs);
    if (waiting.readLength() > 0)
      for (const row of rows.values()) times.push(servers.readTrialDue(row));
    const due = times.filter((time) => time !== undefined);
    return due.length === 0 ? undefined : Math.min(...due);
  }

  function listUncertain(): readonly ids.VmId[] {
    return [...rows.values()]
      .filter((row) => row.listed && servers.hasUncertain(row))
      .map((row) => row.info.id);
  }

  function explain(id: types.AskId, nowMs: number): reasons.Reason | undefined {
    const entry = waiting.find(id);
    if (entry === undefined) return undefined;
    if (!hasServerFor(entry.ask) || countSlots() === 0)
      return servers.countObstacles(rows.values(), entry.ask);
    const behindTeam = waiting
      .sortTeams(entry.ask.urgency, rankTeam)
      .findIndex((list) => list === entry.list);
    if (behindTeam > 0) return { reason: 'fair-share', ahead: behindTeam };
    const expectedMs = estimateWait(entry.ask, nowMs);
    return { reason: 'expected-wait', expectedMs, limitMs: policy.maxWaitMs };
  }

  function describeTables(): unknown {
    return {
      shard: options.shard,
      epoch: options.epoch,
      meanMs: readMean(),
      waiting: Object.fromEntries(
        ids.urgencies.map((name) => [name, waiting.count(name)]),
      ),
      takeOverEndsMs,
      unreported: [...unreported],
      servers: [...rows.values()].map((row) => servers.describeServer(row)),
    };
  }

  return {
    apply,
    tick,
    readNextMs,
    listUncertain,
    listUnreported: () => [...unreported],
    explain,
    listServers: () =>
      [...rows.values()].map((row) => servers.buildServerView(row)),
    dump: describeTables,
  };
}

function createDueHeap<Row>(): heap.Heap<Due<Row>> {
  return new heap.Heap<Due<Row>>((a, b) => a.atMs - b.atMs);
}

function dropPast<Row>(
  due: heap.Heap<Due<Row>>,
  isCurrent: (row: Row) => boolean,
): void {
  for (;;) {
    const top = due.peek();
    if (top === undefined || isCurrent(top.row)) return;
    due.pop();
  }
}
