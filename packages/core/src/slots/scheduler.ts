/**
 * The slot scheduler of one service shard. It assigns slots of backend servers to
 * waiting ticket requests ("asks") by urgency, floor and weighted fair share, and
 * refuses asks whose expected wait exceeds the limit. It keeps its state in memory,
 * reads no clock and does no I/O: every call gets the current time.
 */
import * as heap from 'heap-js';
import * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as request from '../types/request.js';
import * as queues from './queue.js';
import * as servers from './servers.js';
import type * as types from './types.js';

/** Most waiting asks of one urgency that one search for a grantable ask examines. */
const SCAN_LIMIT = 64;
/** Most waiting asks of one team that one search examines. */
const TEAM_SCAN_LIMIT = 16;
/** Weight of a new sample in the exponential moving average of the service time. */
const MEAN_WEIGHT = 0.05;
/**
 * Service time assumed before the first sample, as a share of the ticket term. After
 * each take-over a larger share would refuse requests that could be served in time.
 */
const FIRST_MEAN_SHARE = 0.05;
const RETRY_AFTER_MIN_MS = 100;
const RETRY_AFTER_NO_SERVER_MS = 1_000;

/** Heap entry: a row and the time at which it expires. */
interface DueEntry<Row> {
  readonly atMs: number;
  readonly row: Row;
}

/** Creates the scheduler of a shard that this process owns under `options.epoch`. */
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
  const usedSlots = new Map<ids.Urgency, number>();
  const unreportedHolders = new Set<ids.InstanceId>();
  let decisions: types.SlotDecision[] = [];
  // Undefined when no take-over is in progress.
  let takeOverEndsMs: number | undefined;
  /** Time from which no ticket of an earlier owner is valid, also without the reports of its holders. */
  let oldTicketsEndMs = 0;
  let meanServiceMs: number | undefined;
  let grantCount = 0;

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
        recordStatus(event.server, event.busy, event.askedMs, nowMs);
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
        unreportedHolders.delete(event.holder);
        dropAsks(event.holder);
        return;
      case 'holder.silent':
        dropAsks(event.holder);
        return;
      case 'taken-over':
        takeOverEndsMs = nowMs + event.longestTermMs;
        oldTicketsEndMs = takeOverEndsMs + event.lastGrantMs;
        startTakeOver(event.holders);
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
    // The earlier owner may have granted tickets on a server that is listed here only
    // after the take-over has begun.
    if (isNew && takeOverEndsMs !== undefined) markUnknownSlots(row);
  }

  function dropServer(id: ids.VmId): void {
    const row = rows.get(id);
    if (row === undefined) return;
    row.listed = false;
    // The server may be listed again; until its slots are free, its row is kept so
    // that they still count as used.
    if (servers.countUsed(row) === 0) rows.delete(id);
  }

  function recordStatus(
    id: ids.VmId,
    busy: number,
    askedMs: number,
    nowMs: number,
  ): void {
    const row = rows.get(id);
    if (row !== undefined) servers.recordStatus(row, busy, askedMs, nowMs);
  }

  function applyStatuses(nowMs: number): void {
    const allReported = unreportedHolders.size === 0;
    for (const row of rows.values())
      for (const ticket of servers.applyStatus(row, nowMs, allReported))
        releaseTicket(ticket);
  }

  function markUnknownSlots(row: servers.ServerRow): void {
    row.unknownSlots = Math.max(0, row.info.slots - row.tickets.size);
  }

  // --- take-over ---

  function startTakeOver(holders: readonly ids.InstanceId[]): void {
    for (const holder of holders) unreportedHolders.add(holder);
    for (const row of rows.values()) markUnknownSlots(row);
  }

  function receiveReport(
    holder: ids.InstanceId,
    held: readonly request.HeldTicket[],
    nowMs: number,
  ): void {
    // Only the holder's first report is used: a later one could re-add a ticket that
    // was returned in the meantime.
    if (!unreportedHolders.delete(holder)) return;
    for (const ticket of held) addReported(holder, ticket, nowMs);
  }

  function addReported(
    holder: ids.InstanceId,
    held: request.HeldTicket,
    nowMs: number,
  ): void {
    if (tickets.has(held.id)) return;
    const server = rows.get(held.backendServer) ?? addUnlisted(held);
    server.unknownSlots = Math.max(0, server.unknownSlots - 1);
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

  /** Adds a server that a reported ticket names and the VM list doesn't contain; it gets no grants. */
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
    if (nowMs >= oldTicketsEndMs) unreportedHolders.clear();
    if (unreportedHolders.size > 0) return;
    takeOverEndsMs = undefined;
    for (const [id, row] of rows) {
      row.unknownSlots = 0;
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
    const length = waiting.getLength();
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
    const waitingAsk = waiting.find(id);
    if (waitingAsk !== undefined) waiting.remove(waitingAsk);
    const ticket = ticketOfAsk.get(id);
    // The grant crossed the cancellation; the holder will not use the ticket.
    if (ticket !== undefined) releaseTicket(ticket);
  }

  function dropAsks(holder: ids.InstanceId): void {
    for (const entry of [...waiting.listAll()])
      if (entry.ask.holder === holder) waiting.remove(entry);
  }

  function estimateWait(ask: types.SlotAsk, nowMs: number): number {
    const slots = countSlots();
    if (waiting.getLength() === 0 && hasRoom(nowMs)) return 0;
    const perSlotMs = getMeanServiceMs() / Math.max(1, slots);
    const index = ids.urgencies.indexOf(ask.urgency);
    const ahead = ids.urgencies
      .slice(0, index + 1)
      .reduce((sum, urgency) => sum + waiting.count(urgency), 0);
    const sameUrgencyAhead = Math.min(
      waiting.count(ask.urgency),
      countTeamAhead(ask),
    );
    const byOrder = ahead - waiting.count(ask.urgency) + sameUrgencyAhead;
    // The floor guarantees a share of the slots, whatever the load of more urgent work.
    const floor = policy.floors[ask.urgency];
    const byFloor = floor > 0 ? sameUrgencyAhead / floor : Infinity;
    return Math.min(byOrder, byFloor) * perSlotMs;
  }

  /** Estimates how many asks of the same urgency fair share serves before this new one. */
  function countTeamAhead(ask: types.SlotAsk): number {
    const own = waiting.countTeam(ask.urgency, ask.team);
    const weight = getWeight(ask.team);
    let total = own > 0 ? 0 : weight;
    for (const list of waiting.listTeams(ask.urgency))
      total += getWeight(list.team);
    return (own * total) / weight;
  }

  function getWeight(team: ids.TeamName): number {
    return policy.weights.get(team) ?? 1;
  }

  function getMeanServiceMs(): number {
    return meanServiceMs ?? policy.termMs * FIRST_MEAN_SHARE;
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
      usedSlots.set(ticket.urgency, (usedSlots.get(ticket.urgency) ?? 0) + 1);
  }

  function releaseTicket(ticket: servers.TicketRow): void {
    if (!tickets.delete(ticket.id)) return;
    recordUse(ticket, 0);
    const { server } = ticket;
    servers.removeTicket(server, ticket);
    if (ticket.ask !== undefined) ticketOfAsk.delete(ticket.ask);
    if (ticket.urgency !== undefined)
      usedSlots.set(ticket.urgency, (usedSlots.get(ticket.urgency) ?? 1) - 1);
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
    servers.recordResult(ticket.server, result, nowMs);
    if (result === 'ok' || result === 'error') recordServiceTime(ticket, nowMs);
    if (result !== 'error') {
      releaseTicket(ticket);
      return;
    }
    // The server may still process the request, so the slot counts as used until the term ends.
    ticket.abandonedMs = nowMs;
    servers.endTrial(ticket.server, ticket);
  }

  function recordServiceTime(ticket: servers.TicketRow, nowMs: number): void {
    if (ticket.charged) return;
    const tookMs = nowMs - ticket.startedMs;
    recordUse(ticket, tookMs);
    meanServiceMs =
      meanServiceMs === undefined
        ? tookMs
        : meanServiceMs + (tookMs - meanServiceMs) * MEAN_WEIGHT;
  }

  function recordUse(ticket: servers.TicketRow, tookMs: number): void {
    const { urgency, team } = ticket;
    if (ticket.charged || urgency === undefined || team === undefined) return;
    ticket.charged = true;
    waiting.recordEnd(urgency, team, tookMs / getWeight(team));
  }

  /**
   * Weighted slot time of a team; requests in flight count with the mean service time.
   * Each is charged its real time when it ends, so an error of the mean doesn't last.
   */
  function rankTeam(list: queues.TeamList): number {
    return (
      list.weightedUseMs +
      (list.inFlight * getMeanServiceMs()) / getWeight(list.team)
    );
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
        refuse(
          entry.ask.id,
          { reason: 'deadline', waitedMs },
          getMeanServiceMs(),
        ),
      );
    }
  }

  // --- grants ---

  function grantAll(nowMs: number): void {
    while (waiting.getLength() > 0 && hasRoom(nowMs))
      if (!grantNext(nowMs)) return;
  }

  /** Grants one ask: first from urgencies below their floor, then from the others, in both the most urgent first. */
  function grantNext(nowMs: number): boolean {
    const slots = countSlots();
    const asking = ids.urgencies.filter((name) => waiting.count(name) > 0);
    const belowFloor = asking.filter(
      (name) => (usedSlots.get(name) ?? 0) + 1 <= policy.floors[name] * slots,
    );
    const atFloor = asking.filter((name) => !belowFloor.includes(name));
    for (const urgency of [...belowFloor, ...atFloor])
      if (grantFrom(urgency, nowMs)) return true;
    return false;
  }

  function grantFrom(urgency: ids.Urgency, nowMs: number): boolean {
    let budget = SCAN_LIMIT;
    for (const list of waiting.sortTeams(urgency, rankTeam)) {
      let entry = list.first;
      for (let scanned = 0; scanned < TEAM_SCAN_LIMIT; scanned += 1) {
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
    // Until the holder reports its tickets, the number of connections that it already
    // uses is unknown.
    if (unreportedHolders.has(ask.holder)) return false;
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
    grantCount += 1;
    const { offset, provisional } = options.epoch;
    const ticket: servers.TicketRow = {
      id: `${options.shard}/${offset}.${provisional}/${grantCount}`,
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
    server.lastGrantNumber = grantCount;
    addTicket(ticket);
    waiting.recordStart(ask.urgency, ask.team);
    decisions.push(createGrant(entry, ticket, nowMs));
  }

  /**
   * The owner counts the term from the grant, the holder from before it sent its ask.
   * The ticket's term therefore includes the wait in this queue, and for the holder the
   * ticket never ends later than for the owner.
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
    const tickDecisions = decisions;
    decisions = [];
    return tickDecisions;
  }

  // --- views ---

  function getNextTickMs(): number | undefined {
    dropPast(ticketEnds, (row) => tickets.get(row.id) === row);
    dropPast(waitEnds, (row) => waiting.find(row.ask.id) === row);
    const times = [ticketEnds.peek()?.atMs, waitEnds.peek()?.atMs];
    if (takeOverEndsMs !== undefined)
      times.push(
        unreportedHolders.size === 0 ? takeOverEndsMs : oldTicketsEndMs,
      );
    for (const row of rows.values()) times.push(row.status?.settledMs);
    if (waiting.getLength() > 0)
      for (const row of rows.values()) times.push(servers.getTrialDueMs(row));
    const due = times.filter((time) => time !== undefined);
    return due.length === 0 ? undefined : Math.min(...due);
  }

  function listUncertainServers(): readonly ids.VmId[] {
    return [...rows.values()]
      .filter((row) => row.listed && servers.hasUncertainSlots(row))
      .map((row) => row.info.id);
  }

  function explain(id: types.AskId, nowMs: number): reasons.Reason | undefined {
    const entry = waiting.find(id);
    if (entry === undefined) return undefined;
    if (!hasServerFor(entry.ask) || countSlots() === 0)
      return servers.countObstacles(rows.values(), entry.ask);
    const teamsAhead = waiting
      .sortTeams(entry.ask.urgency, rankTeam)
      .findIndex((list) => list === entry.list);
    if (teamsAhead > 0) return { reason: 'fair-share', ahead: teamsAhead };
    const expectedMs = estimateWait(entry.ask, nowMs);
    return { reason: 'expected-wait', expectedMs, limitMs: policy.maxWaitMs };
  }

  function describeTables(): unknown {
    return {
      shard: options.shard,
      epoch: options.epoch,
      meanMs: getMeanServiceMs(),
      waiting: Object.fromEntries(
        ids.urgencies.map((name) => [name, waiting.count(name)]),
      ),
      takeOverEndsMs,
      unreported: [...unreportedHolders],
      servers: [...rows.values()].map((row) => servers.describeServer(row)),
    };
  }

  return {
    apply,
    tick,
    getNextTickMs,
    listUncertainServers,
    listUnreportedHolders: () => [...unreportedHolders],
    explain,
    listServers: () =>
      [...rows.values()].map((row) => servers.buildServerView(row)),
    dump: describeTables,
  };
}

function createDueHeap<Row>(): heap.Heap<DueEntry<Row>> {
  return new heap.Heap<DueEntry<Row>>((a, b) => a.atMs - b.atMs);
}

function dropPast<Row>(
  due: heap.Heap<DueEntry<Row>>,
  isCurrent: (row: Row) => boolean,
): void {
  for (;;) {
    const top = due.peek();
    if (top === undefined || isCurrent(top.row)) return;
    due.pop();
  }
}
