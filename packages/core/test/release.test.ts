/**
 * Release notes: all faults of a note are reported at once, verdicts depend only on the
 * log, and the texts for operators match the golden files.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

type Body = core.records.ReleaseStreamRecord;
type Record = core.records.LogRecord<Body>;

function buildNote(id: string, base: string, body: string): string {
  return `[release]\nid = ${id}\nbase = ${base}\ntitle = Note ${id}\n${body}`;
}

function buildRecord(offset: number, text: string): Record {
  const body: Body = {
    type: 'release',
    text,
    publisher: 'nadia',
    publishedMs: 1_764_840_000_000,
  };
  return { offset, id: `r${offset}`, body };
}

function applyTexts(...texts: readonly string[]): core.ReleaseLog {
  return texts
    .map((text, offset) => buildRecord(offset, text))
    .reduce(core.applyReleaseRecord, core.emptyReleaseLog);
}

function listVerdicts(log: core.ReleaseLog): string[] {
  return log.state.history.map((item) =>
    core.describeVerdict(item.verdict).join('; '),
  );
}

function listFaults(text: string, log = core.emptyReleaseLog): string[] {
  const parsed = core.parseReleaseNote(text, 'n.ini');
  const faults =
    'note' in parsed
      ? core.checkRelease(log.state, parsed.note, 'n.ini')
      : parsed.faults;
  return faults.map(core.describeFault);
}

const teamSection = '[added team t]\nquota_cores = 1\nquota_memory_mb = 1\n';

const first = buildNote(
  '1',
  'none',
  `[added backend desk]
slots = 8
connections = 64
[added service desk]
idempotent = no
urgency = urgent
timeout_ms = 2000
[added class cutting]
urgency = normal
floor = 0.7
[added team roof]
quota_cores = 32.5
quota_memory_mb = 65536
`,
);
const second = buildNote(
  '2',
  '1',
  `[added backend studio]
slots = 8
connections = 64
[added service studio]
idempotent = yes
urgency = deferrable
timeout_ms = 60000
backend = studio
[changed team roof]
quota_cores = 64
quota_gpus = 0
[withdrawn class cutting]
reason = the workshop cuts by itself now
`,
);

vitest.test(
  'reports all faults of a note at once, each with its section and key',
  () => {
    const faults = listFaults(`[release]
id = none
base = 2026 x
title = Fix #3
[added service a b]
[removed service x]
[added service desk]
urgency = now
timeout_ms = 2s
idle = 1
[changed team roof]
[withdrawn team roof]
[added service __proto__]
urgency = urgent
`);
    vitest
      .expect(faults.map((fault) => fault.split(': ').slice(1, -1).join(' ')))
      .toEqual([
        '[added service __proto__] line 13',
        '[release] id',
        '[release] base',
        '[release] title',
        '[added service a b]',
        '[removed service x]',
        '[added service desk] urgency',
        '[added service desk] timeout_ms',
        '[added service desk] idle',
        '[added service desk] idempotent',
        '[changed team roof]',
        '[withdrawn team roof]',
        '[withdrawn team roof] reason',
      ]);
  },
);

vitest.test(
  'titles may contain letters of all languages, but no direction marks',
  () => {
    const text = (title: string) =>
      buildNote('1', 'none', teamSection).replace('Note 1', title);
    vitest.expect(listFaults(text('افتتاح مكتب القياس'))).toEqual([]);
    vitest.expect(listFaults(text('"Fix #3; all"'))).toEqual([]);
    vitest.expect(listFaults(text('a\u202eb'))).toHaveLength(1);
  },
);

vitest.test(
  'checks references, floors and existing names against the release in force',
  () => {
    const log = applyTexts(first);
    const check = (body: string) =>
      listFaults(buildNote('2', '1', body), log).join('\n');
    vitest
      .expect(check('[withdrawn backend desk]\nreason = old\n'))
      .toContain('[withdrawn backend desk]: service desk uses this backend');
    vitest
      .expect(
        check(
          '[added service order]\nidempotent = no\nurgency = urgent\ntimeout_ms = 1000\nbackend = desk\n',
        ),
      )
      .toContain('services desk and order both name backend desk');
    vitest
      .expect(check('[changed service desk]\nbackend = x\n'))
      .toContain("[changed service desk] backend: backend x doesn't exist");
    vitest
      .expect(check('[added class c]\nurgency = normal\nfloor = 0.4\n'))
      .toContain('floors of all normal classes add up to 1.1');
    vitest
      .expect(check('[added class c]\nurgency = normal\nfloor = 0.3\n'))
      .toBe('');
    vitest
      .expect(
        check('[added team roof]\nquota_cores = 1\nquota_memory_mb = 1\n'),
      )
      .toContain('team roof exists already');
    vitest
      .expect(check('[changed team valueOf]\nweight = 2\n'))
      .toContain("team valueOf doesn't exist");
    vitest
      .expect(check('[changed team roof]\nweight = 0\n'))
      .toContain('[changed team roof] weight: expected a number from 0.001');
  },
);

vitest.test(
  'adopts the first valid note on a base; later ones are conflicts, and repeats stay repeats',
  () => {
    const rival = second.replace('id = 2', 'id = 2b');
    const log = applyTexts(
      second,
      first,
      second,
      rival,
      second,
      buildNote('1', '2', '[withdrawn team roof]\nreason = left\n'),
      buildNote('3', '2', '[withdrawn team sea]\nreason = left\n'),
      first.replace('8', '9'),
      buildNote('3', '2', '[withdrawn team roof]\nreason = left\n'),
    );
    vitest
      .expect(listVerdicts(log).map((line) => line.replace(/( first|;).*/, '')))
      .toEqual([
        'invalid',
        'adopted',
        'adopted',
        'a conflict: release 2 was adopted',
        'a repeat of the note adopted at offset 2',
        'invalid',
        'invalid',
        'a conflict: release 1 was adopted',
        'adopted',
      ]);
    vitest.expect(log.state.current).toBe('3');
  },
);

vitest.test(
  'the diff and the history for operators match the golden files',
  async () => {
    const before = applyTexts(first);
    const parsed = core.parseReleaseNote(second, 'n.ini');
    if (!('note' in parsed)) throw new Error('the note is refused');
    const golden = path.join(import.meta.dirname, 'golden');
    fs.mkdirSync(golden, { recursive: true });
    const diff = core.describeDiff(before.state, parsed.note);
    await vitest
      .expect(`${diff.join('\n')}\n`)
      .toMatchFileSnapshot(path.join(golden, 'diff.txt'));
    const rival = buildNote(
      '2b',
      '1',
      '[withdrawn team roof]\nreason = left\n',
    );
    const log = applyTexts(first, second, second, rival, '[release]\n');
    const history = core.describeHistory(log.state);
    await vitest
      .expect(`${history.join('\n')}\n`)
      .toMatchFileSnapshot(path.join(golden, 'history.txt'));
  },
);

type Step =
  | {
      readonly op: 'note';
      readonly back: number;
      readonly team: number;
      readonly action: number;
    }
  | { readonly op: 'repeat'; readonly which: number }
  | { readonly op: 'snapshot'; readonly lag: number }
  | { readonly op: 'unknown-record' };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      op: fc.constant('note' as const),
      back: fc.constantFrom(0, 0, 0, 0, 1, 2),
      team: fc.nat(3),
      action: fc.constantFrom(0, 0, 0, 1, 2),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      op: fc.constant('repeat' as const),
      which: fc.nat(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      op: fc.constant('snapshot' as const),
      lag: fc.nat(6),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ op: 'unknown-record' as const }) },
);

const actions = [
  '[added team NAME]\nquota_cores = 1\nquota_memory_mb = 1\n',
  '[changed team NAME]\nweight = 2\n',
  '[withdrawn team NAME]\nreason = r\n',
];

/** Builds a log from random steps; `folds[n]` is the state after the first n records. */
function buildLog(steps: readonly Step[]): {
  records: Record[];
  folds: core.ReleaseLog[];
} {
  const records: Record[] = [];
  const folds = [core.emptyReleaseLog];
  for (const one of steps) {
    const offset = records.length;
    const now = folds[offset]!;
    let body: unknown = { type: 'later-version' };
    if (one.op === 'note') {
      const base =
        ['none', ...now.known.map((known) => known.id)].at(-1 - one.back) ??
        'other';
      const change = actions[one.action]!.replace(
        'NAME',
        one.team < 2 ? `t${offset}` : `t${one.team}`,
      );
      body = buildRecord(
        offset,
        buildNote(`n${offset - (offset % 2)}`, base, change),
      ).body;
    }
    if (one.op === 'repeat' && offset > 0)
      body = records[one.which % offset]!.body;
    if (one.op === 'snapshot')
      body = core.buildSnapshot(folds[Math.max(0, offset - one.lag)]!);
    const record: Record = { offset, id: `r${offset}`, body: body as Body };
    records.push(record);
    folds.push(core.applyReleaseRecord(now, record));
  }
  return { records, folds };
}

function getEntries(log: core.ReleaseLog): unknown {
  const { current, offset } = log.state;
  return {
    current,
    offset,
    known: log.known,
    entries: core.listEntries(log.state),
  };
}

vitest.test(
  'readers of a log that missed or reread records reach the same verdicts and never go back to an older release',
  () => {
    let completedBySnapshot = 0;
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 10, maxLength: 40 }),
        fc.nat(20),
        fc.array(fc.nat(5)),
        fc.nat(40),
        (steps, oldest, rereads, cut) => {
          const { records, folds } = buildLog(steps);
          const whole = folds.at(-1)!;
          const verdicts = new Map(
            whole.state.history.map((item) => [item.offset, item.verdict]),
          );
          const readUntil = Math.min(cut, records.length);
          // One reader starts at the oldest record that the log keeps; the other has read
          // up to `readUntil` and continues at the oldest record, with a gap in between.
          for (const begin of [core.emptyReleaseLog, folds[readUntil]!]) {
            let log = begin;
            const from = Math.max(oldest, begin.next);
            if (begin.next > 0) log = core.markGap(log, from);
            for (const record of records.slice(from)) {
              const back = rereads[record.offset % (rereads.length + 1)] ?? 0;
              for (const again of records.slice(
                Math.max(from, record.offset - back),
                record.offset + 1,
              )) {
                const next = core.applyReleaseRecord(log, again);
                vitest
                  .expect(next.state.offset)
                  .toBeGreaterThanOrEqual(log.state.offset);
                log = next;
              }
              for (const item of log.state.history)
                vitest.expect(item.verdict).toEqual(verdicts.get(item.offset));
              if (log.reading.mode === 'complete')
                vitest
                  .expect(getEntries(log))
                  .toEqual(getEntries(folds[record.offset + 1]!));
            }
            if (
              from > begin.next &&
              log.reading.mode === 'complete' &&
              log.state.offset >= 0
            )
              completedBySnapshot += 1;
          }
        },
      ),
      { seed: 7, numRuns: 1_000 },
    );
    // Counts readers that had missed records and then read a snapshot that covers them.
    vitest.expect(completedBySnapshot).toBeGreaterThan(100);
  },
);

vitest.test(
  'a snapshot with an older release does not replace a newer release',
  () => {
    const log = core.markGap(applyTexts(first, second), 10);
    const older = core.buildSnapshot(applyTexts(first))!;
    const read = core.applyReleaseRecord(log, {
      offset: 12,
      id: 's',
      body: { ...older, upTo: 11 },
    });
    vitest.expect(read.state.current).toBe('2');
  },
);
