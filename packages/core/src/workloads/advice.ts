/**
 * Advice about the VMs that may run a step. Which VMs are good never changes, but a
 * ticket expires, so the first question names many VMs and later ones only good ones.
 * Answers a long queue of steps on full VMs: a question about the one VM that became
 * free costs nearly as much as one about all good VMs and loses the room to another
 * step meanwhile, so all tickets of a step are renewed together, and those of the
 * first steps in the order before room comes.
 */
import type * as ids from '../types/ids.js';
import * as names from './names.js';
import * as placement from './placement.js';
import * as ranking from './ranking.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** VMs that one question names at most. */
const MAX_VMS = 30;
/** Time before its expiry from which a ticket isn't used any more, in ms: the start must arrive in time. */
const TICKET_MARGIN_MS = 250;
/** Good VMs named per task when tickets are renewed; some lose their room meanwhile. */
const RENEWED_PER_TASK = 1.5;
/** Share of a question's fixed cost that further VMs may add when tickets are renewed. */
const RENEWAL_SHARE = 0.25;
/** Time after which an answer that doesn't come is given up, beyond the expected time, in ms. */
const ANSWER_GRACE_MS = 3_000;

/** Returns the ticket for a step on a VM, if one holds. */
export function findTicket(
  step: tables.StepRow,
  vm: tables.VmRow,
  nowMs: number,
): string | undefined {
  const known = step.advice.good.get(vm.lifeKey);
  if (known === undefined || known.untilMs - TICKET_MARGIN_MS < nowMs)
    return undefined;
  return known.ticket;
}

/** Notes that a ticket holds no more; the VM stays good and the ticket is asked anew. */
export function expireTicket(step: tables.StepRow, vm: tables.VmRow): void {
  const key = vm.lifeKey;
  const known = step.advice.good.get(key);
  if (known !== undefined)
    step.advice.good.set(key, { ...known, untilMs: -Infinity });
}

/** Tells whether a VM may run a step, as far as advice is needed for that. */
export function isAllowedOn(step: tables.StepRow, vm: tables.VmRow): boolean {
  if (step.occurrence.job.policy.advice === undefined) return true;
  return step.advice.good.has(vm.lifeKey);
}

/** Tells whether a question about the step is on its way. */
export function isPending(step: tables.StepRow, nowMs: number): boolean {
  const { pendingUntilMs } = step.advice;
  return pendingUntilMs !== undefined && pendingUntilMs > nowMs;
}

/**
 * Asks about a step, if that can bring a start nearer and a node is free for it. Ahead
 * of time it asks although no VM has room now, or although its room is kept for others.
 */
export function askForStep(
  state: states.State,
  step: tables.StepRow,
  may: { readonly start: boolean; readonly askAhead: boolean },
  nowMs: number,
): void {
  const policy = step.occurrence.job.policy.advice;
  if (policy === undefined || isPending(step, nowMs)) return;
  // Most questions of a long queue find no node; that is cheaper to see than the VMs.
  if (!state.lanes.hasFree(ranking.estimateAdviceMs(policy, 1), nowMs)) return;
  const vms = chooseVms(state, step, policy, may, nowMs);
  if (vms.length === 0) return;
  const costMs = ranking.estimateAdviceMs(policy, vms.length);
  const choice = state.lanes.choose(costMs, nowMs);
  if (choice === undefined) return;
  const key = tables.readStepKey(step);
  releaseLane(state, key, false, nowMs);
  state.questions.set(names.formatStep(key), choice);
  step.advice.pendingUntilMs = nowMs + choice.expectedMs + ANSWER_GRACE_MS;
  states.countEvent(state, 'advice.asked');
  state.commands.push({
    command: 'advise',
    step: key,
    vms,
    helper: choice.helper,
    costMs,
    expectedMs: choice.expectedMs,
  });
}

function releaseLane(
  state: states.State,
  key: types.StepKey,
  answered: boolean,
  nowMs: number,
): void {
  const name = names.formatStep(key);
  state.questions.get(name)?.release(answered, nowMs);
  state.questions.delete(name);
}

/** A VM that may be asked about. */
interface Fitting {
  readonly vm: tables.VmRow;
  readonly candidate: placement.Candidate;
  /** It has room now, or soon for this step. */
  readonly room: boolean;
}

function chooseVms(
  state: states.State,
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  may: { readonly start: boolean; readonly askAhead: boolean },
  nowMs: number,
): readonly ids.VmId[] {
  const fitting = listFitting(state, step, policy, may.start, nowMs);
  const good = fitting.filter(({ vm }) => step.advice.good.has(vm.lifeKey));
  if (good.some(({ room }) => room))
    return chooseRenewals(step, policy, good, nowMs);
  const fresh = fitting.filter(({ vm }) => !step.advice.known.has(vm.lifeKey));
  // Nothing is known yet, or every good VM is full: ask about others.
  const wantsAhead = may.askAhead && step.advice.known.size === 0;
  if (fresh.some(({ room }) => room) || wantsAhead)
    return sortFitting(fresh, step, nowMs)
      .slice(0, MAX_VMS)
      .map(({ vm }) => vm.id);
  return may.askAhead ? chooseRenewals(step, policy, good, nowMs) : [];
}

function listFitting(
  state: states.State,
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  mayStart: boolean,
  nowMs: number,
): readonly Fitting[] {
  const fitting: Fitting[] = [];
  const soonMs = nowMs + ranking.estimateAdviceMs(policy, MAX_VMS);
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const candidate: placement.Candidate = {
      vm,
      free: { ...tables.readFree(vm) },
      ticket: undefined,
      sameStep: placement.countSameStep(vm, step),
    };
    const reserved = placement.readReserved(vm, nowMs);
    const room =
      reserved === step
        ? vm.reservedFromMs <= soonMs
        : reserved === undefined && placement.canHold(candidate, step);
    fitting.push({ vm, candidate, room: mayStart && room });
  }
  return fitting;
}

/** Sorts VMs with room first, then by their score. */
function sortFitting(
  fitting: readonly Fitting[],
  step: tables.StepRow,
  nowMs: number,
): readonly Fitting[] {
  const scored = fitting.map((entry) => ({
    entry,
    score: placement.scoreCandidate(entry.candidate, step, undefined, nowMs),
  }));
  scored.sort(
    (a, b) => Number(b.entry.room) - Number(a.entry.room) || a.score - b.score,
  );
  return scored.map(({ entry }) => entry);
}

/** Chooses the good VMs whose tickets are renewed, none while valid ones can be used. */
function chooseRenewals(
  step: tables.StepRow,
  policy: types.AdvicePolicy,
  good: readonly Fitting[],
  nowMs: number,
): readonly ids.VmId[] {
  const hasRoom = good.some(({ room }) => room);
  const expired: Fitting[] = [];
  let valid = 0;
  for (const entry of good) {
    if (findTicket(step, entry.vm, nowMs) === undefined) expired.push(entry);
    else if (entry.room || !hasRoom) valid += 1;
  }
  const wanted = Math.ceil(step.waitingCount * RENEWED_PER_TASK);
  const sufficient = step.spec.gang
    ? Math.min(wanted, good.filter(({ room }) => room).length)
    : 1;
  if (valid >= Math.max(1, sufficient)) return [];
  const further =
    policy.perVmMs > 0
      ? Math.floor((policy.fixedMs * RENEWAL_SHARE) / policy.perVmMs)
      : MAX_VMS;
  return sortFitting(expired, step, nowMs)
    .slice(0, Math.min(MAX_VMS, Math.max(wanted, further)))
    .map(({ vm }) => vm.id);
}

/** Applies an answer; undefined when none came. */
export function applyAdvice(
  state: states.State,
  key: types.StepKey,
  asked: readonly ids.VmId[],
  good: readonly types.Ticket[] | undefined,
  nowMs: number,
): void {
  states.countEvent(
    state,
    good === undefined ? 'advice.missed' : 'advice.answered',
  );
  releaseLane(state, key, good !== undefined, nowMs);
  const step = states.findTask(state, { ...key, index: 0 })?.step;
  if (step === undefined) return;
  step.advice.pendingUntilMs = undefined;
  const validMs = step.occurrence.job.policy.advice?.validMs ?? 0;
  if (good === undefined) return;
  for (const id of asked) {
    const vm = state.vms.get(id);
    if (vm !== undefined) step.advice.known.add(vm.lifeKey);
  }
  for (const { vm: id, ticket } of good) {
    const vm = state.vms.get(id);
    if (vm !== undefined)
      step.advice.good.set(vm.lifeKey, {
        ticket,
        untilMs: nowMs + validMs,
      });
  }
}
