/** Log lines, the metrics page and the request journal. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as journals from '../src/observability/journal.js';
import * as observability from '@flamingoward/observability';

const { expect, test } = vitest;

test('writes an event as one line of key=value pairs, with idempotency keys and secrets masked', () => {
  const lines: string[] = [];
  const logger = observability.createLogger({
    level: 'info',
    timers: core.createVirtualTimers(),
    process: 'muscat-a-1',
    secrets: ['s3cr3t'],
    writeLine: (line) => lines.push(line),
  });
  logger.write('debug', 'hidden', {});
  logger.write('warn', 'link.closed', {
    peer: 'sohar-a-1',
    after_ms: 12.34567,
    idempotency_key: 'abc',
    cause: 'header was "Bearer s3cr3t"\nforged=line',
    gone: undefined,
  });
  expect(lines).toEqual([
    'time=1970-01-01T00:00:00.000Z level=warn process=muscat-a-1 event=link.closed peer=sohar-a-1 after_ms=12.346 idempotency_key=*** cause="header was \\"Bearer ***\\"\\nforged=line"',
  ]);
});

test('renders the metrics page with escaped labels, a bounded number of series and quantiles', () => {
  const metrics = observability.createMetrics();
  metrics.count('requests_total', { service: 'a"b\n', answer: 'done' }, 2);
  metrics.set('keys', {}, 7);
  for (let value = 1; value <= 1_000; value += 1)
    metrics.record('request', { service: 'desk' }, value);
  for (let index = 0; index < 600; index += 1)
    metrics.count('odd', { caller: String(index) });
  const text = metrics.render();
  expect(text).toContain(
    '# TYPE flamingoward_requests_total counter\nflamingoward_requests_total{answer="done",service="a\\"b\\n"} 2\n',
  );
  expect(text).toContain('\nflamingoward_keys 7\n');
  expect(text).toContain('flamingoward_request_ms_count{service="desk"} 1000');
  expect(text).toContain('flamingoward_request_ms_sum{service="desk"} 500500');
  const p99 = /quantile="0.99"} ([\d.]+)/.exec(text)?.[1];
  expect(Number(p99)).toBeGreaterThan(980);
  expect(Number(p99)).toBeLessThan(1_005);
  expect(text).toContain('flamingoward_odd{overflow="true"} 100');
});

test('explains the last requests in the journal and evicts the oldest', () => {
  const timers = core.createVirtualTimers();
  const journal = journals.createRequestJournal(timers, 2);
  journal.recordStep('a', { step: 'received', service: 'desk' });
  journal.recordStep('b', { step: 'received', service: 'desk' });
  timers.advance(30);
  journal.recordStep('b', {
    step: 'refused',
    reason: { reason: 'expected-wait', expectedMs: 900, limitMs: 500 },
  });
  expect(journal.explain('b')).toEqual([
    'after 0 ms: received for service desk',
    'after 30 ms: refused: the expected wait is 900 ms and the service allows 500 ms',
    'the request is still in progress',
  ]);
  journal.recordStep('c', { step: 'received', service: 'desk' });
  expect(journal.explain('a')).toBeUndefined();
  expect(journal.getSize()).toBe(2);
});
