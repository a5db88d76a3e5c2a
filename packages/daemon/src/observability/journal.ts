/** Journal of the steps of recent requests in this process, from which operators get explanations. */
import * as core from '@flamingoward/core';

/** One step in the handling of a request. */
export type RequestStep =
  | { readonly step: 'received'; readonly service: core.ids.ServiceName }
  | {
      readonly step: 'asked';
      readonly shard: core.ids.ShardName;
      readonly avoid: number;
    }
  | {
      readonly step: 'granted';
      readonly backendServer: core.ids.VmId;
      readonly waitedMs: number;
    }
  | { readonly step: 'refused'; readonly reason: core.reasons.Reason }
  | { readonly step: 'key'; readonly what: string }
  | {
      readonly step: 'sent';
      readonly backendServer: core.ids.VmId;
      readonly result: 'answered' | 'not-sent' | 'uncertain';
      readonly tookMs: number;
      readonly cause?: string;
    }
  | {
      readonly step: 'answered';
      readonly answer: core.requests.AnswerKind;
      readonly status: number;
      readonly reason?: string;
    };

/** Journal of recent requests. */
export interface RequestJournal {
  /** Records a step; steps over the limit of a request are dropped. */
  recordStep(request: string, step: RequestStep): void;
  /** Describes the steps of a request; undefined when it isn't in the journal (any more). */
  explain(request: string): readonly string[] | undefined;
  getSize(): number;
}

const MAX_STEPS_PER_REQUEST = 24;

interface Entry {
  readonly atMs: number;
  readonly step: RequestStep;
}

/** Creates a journal of the last `capacity` requests; the oldest one is evicted for a new one. */
export function createRequestJournal(
  timers: core.TimerService,
  capacity = 2_000,
): RequestJournal {
  const entriesByRequest = new Map<string, Entry[]>();

  function recordStep(request: string, step: RequestStep): void {
    const earlierEntries = entriesByRequest.get(request);
    const entry = { atMs: timers.getNow(), step };
    if (earlierEntries !== undefined) {
      if (earlierEntries.length < MAX_STEPS_PER_REQUEST)
        earlierEntries.push(entry);
      return;
    }
    entriesByRequest.set(request, [entry]);
    if (entriesByRequest.size <= capacity) return;
    for (const oldest of entriesByRequest.keys()) {
      entriesByRequest.delete(oldest);
      return;
    }
  }

  function explain(request: string): readonly string[] | undefined {
    const entries = entriesByRequest.get(request);
    if (entries === undefined) return undefined;
    const startMs = entries[0]?.atMs ?? 0;
    const lines = entries.map(
      ({ atMs, step }) =>
        `after ${Math.round(atMs - startMs)} ms: ${describeStep(step)}`,
    );
    const isDone = entries.some(({ step }) => step.step === 'answered');
    return isDone ? lines : [...lines, 'the request is still in progress'];
  }

  return { recordStep, explain, getSize: () => entriesByRequest.size };
}

function describeStep(step: RequestStep): string {
  switch (step.step) {
    case 'received':
      return `received for service ${step.service}`;
    case 'asked':
      return `asked the owner of ${step.shard} for a ticket${step.avoid > 0 ? `, without ${step.avoid} servers already tried` : ''}`;
    case 'granted':
      return `got a ticket for ${step.backendServer} after ${Math.round(step.waitedMs)} ms`;
    case 'refused':
      return `refused: ${core.describeRequestReason(step.reason)}`;
    case 'key':
      return `idempotency key: ${step.what}`;
    case 'sent':
      return `${step.backendServer}: ${step.result} after ${Math.round(step.tookMs)} ms${step.cause === undefined ? '' : ` (${step.cause})`}`;
    case 'answered':
      return `answered ${step.answer} with status ${step.status}${step.reason === undefined ? '' : `: ${step.reason}`}`;
  }
}
