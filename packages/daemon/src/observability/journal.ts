/** What happened to the last requests, kept in compact form for explanations. */
import * as core from '@flamingoward/core';

/** One step of a request. */
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

/** The last requests of this process. */
export interface RequestJournal {
  note(request: string, step: RequestStep): void;
  /** Sentences about a request; undefined when it isn't among the last ones. */
  explain(request: string): readonly string[] | undefined;
  readSize(): number;
}

/** Steps kept of one request. */
const MAX_STEPS = 24;

interface Entry {
  readonly atMs: number;
  readonly step: RequestStep;
}

/** Creates a journal of the last `capacity` requests. */
export function createRequestJournal(
  timers: core.TimerService,
  capacity = 2_000,
): RequestJournal {
  const requests = new Map<string, Entry[]>();

  function note(request: string, step: RequestStep): void {
    const known = requests.get(request);
    const entry = { atMs: timers.readNow(), step };
    if (known !== undefined) {
      if (known.length < MAX_STEPS) known.push(entry);
      return;
    }
    requests.set(request, [entry]);
    if (requests.size <= capacity) return;
    for (const oldest of requests.keys()) {
      requests.delete(oldest);
      return;
    }
  }

  function explain(request: string): readonly string[] | undefined {
    const entries = requests.get(request);
    if (entries === undefined) return undefined;
    const startMs = entries[0]?.atMs ?? 0;
    const lines = entries.map(
      ({ atMs, step }) =>
        `after ${Math.round(atMs - startMs)} ms: ${describeStep(step)}`,
    );
    const isDone = entries.some(({ step }) => step.step === 'answered');
    return isDone ? lines : [...lines, 'the request is still in hand'];
  }

  return { note, explain, readSize: () => requests.size };
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
