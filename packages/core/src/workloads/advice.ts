/**
 * Advice about the VMs that may run a step. Which VMs are good never changes, but a
 * ticket expires, so the first question names many VMs and later ones only good VMs
 * with room. Answers queue at the service by asking process; the caller spreads the
 * questions, and this module keeps their number near what can be answered soon.
 */
import type * as ids from '../types/ids.js';
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
/** Time after which an answer that doesn't come is given up, beyond the expected time, in ms. */
const ANSWER_GRACE_MS = 3_000;

/** Returns the ticket for a step on a VM, if one holds. */
export function findTicket(
  step: tables.StepRow,
  vm: tables.VmRow,
  nowMs: number,
): string | undefined {
  const known = step.advice.good.get(tables.formatVmLife(vm));
  if (known === undefined || known.untilMs - TICKET_MARGIN_MS < nowMs)
    return undefined;
  return known.ticket;
}

/** Notes that a ticket holds no more; the VM stays good and the ticket is asked anew. */
export function expireTicket(step: tables.StepRow, vm: tables.VmRow): void {
  const key = tables.formatVmLife(vm);
  const known = step.advice.good.get(key);
  if (known !== undefined)
    step.advice.good.set(key, { ...known, untilMs: -Infinity });
}

/** Tells whether a VM may run a step, as far as advice is needed for that. */
export function isAllowedOn(step: tables.StepRow, vm: tables.VmRow): boolean {
  if (step.occurrence.job.policy.advice === undefined) return true;
  return step.advice.good.has(tables.formatVmLife(vm));
}

/** Tells whether a question about the step is on its way. */
export function isPending(step: tables.StepRow, nowMs: number): boolean {
  const { pendingUntilMs } = step.advice;
  return pendingUntilMs !== undefined && pendingUntilMs > nowMs;
}

/**
 * Asks about a step, if that can bring a start nearer; true when it asked. Ahead of
 * time it asks although no VM has room now.
 */
export function askForStep(
  state: states.State,
  step: tables.StepRow,
  mayAskAhead: boolean,
  nowMs: number,
): boolean {
  const policy = step.occurrence.job.policy.advice;
  if (policy === undefined || isPending(step, nowMs)) return false;
  const vms = chooseVms(state, step, mayAskAhead, nowMs);
  if (vms.length === 0) return false;
  const costMs = ranking.estimateAdviceMs(policy, vms.length);
  step.advice.pendingUntilMs = nowMs + costMs + ANSWER_GRACE_MS;
  state.pendingAdvice += 1;
  states.countEvent(state, 'advice.asked');
  state.commands.push({
    command: 'advise',
    step: tables.readStepKey(step),
    vms,
    costMs,
  });
  return true;
}

function chooseVms(
  state: states.State,
  step: tables.StepRow,
  mayAskAhead: boolean,
  nowMs: number,
): readonly ids.VmId[] {
  const fitting: { vm: tables.VmRow; score: number; room: boolean }[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const candidate: placement.Candidate = {
      vm,
      free: { ...tables.readFree(vm) },
      ticket: undefined,
      sameStep: placement.countSameStep(vm, step),
    };
    const room =
      placement.canHold(candidate, step) &&
      !placement.isReserved(vm, step, nowMs);
    const score = placement.scoreCandidate(candidate, step, undefined, nowMs);
    fitting.push({ vm, score, room });
  }
  const fresh = fitting.filter(
    ({ vm }) => !step.advice.known.has(tables.formatVmLife(vm)),
  );
  fresh.sort((a, b) => Number(b.room) - Number(a.room) || a.score - b.score);
  // Nothing is known yet, or every good VM is full: ask about others.
  const good = fitting.filter(
    ({ vm, room }) => room && step.advice.good.has(tables.formatVmLife(vm)),
  );
  if (good.length > 0) return chooseGood(step, good, nowMs);
  const wantsAhead = mayAskAhead && step.advice.known.size === 0;
  if (!fresh.some(({ room }) => room) && !wantsAhead) return [];
  return fresh.slice(0, MAX_VMS).map(({ vm }) => vm.id);
}

function chooseGood(
  step: tables.StepRow,
  good: readonly { readonly vm: tables.VmRow; readonly score: number }[],
  nowMs: number,
): readonly ids.VmId[] {
  const valid = good.filter(
    ({ vm }) => findTicket(step, vm, nowMs) !== undefined,
  );
  const expired = good.filter(
    ({ vm }) => findTicket(step, vm, nowMs) === undefined,
  );
  const wanted = Math.ceil(step.waitingCount * RENEWED_PER_TASK);
  if (valid.length >= Math.min(wanted, good.length)) return [];
  return [...expired]
    .sort((a, b) => a.score - b.score)
    .slice(0, Math.min(wanted, MAX_VMS))
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
  state.pendingAdvice = Math.max(0, state.pendingAdvice - 1);
  states.countEvent(
    state,
    good === undefined ? 'advice.missed' : 'advice.answered',
  );
  const step = states.findTask(state, { ...key, index: 0 })?.step;
  if (step === undefined) return;
  step.advice.pendingUntilMs = undefined;
  const validMs = step.occurrence.job.policy.advice?.validMs ?? 0;
  if (good === undefined) return;
  for (const id of asked) {
    const vm = state.vms.get(id);
    if (vm !== undefined) step.advice.known.add(tables.formatVmLife(vm));
  }
  for (const { vm: id, ticket } of good) {
    const vm = state.vms.get(id);
    if (vm !== undefined)
      step.advice.good.set(tables.formatVmLife(vm), {
        ticket,
        untilMs: nowMs + validMs,
      });
  }
}
