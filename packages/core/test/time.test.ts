/** The virtual timer service: order and repetition of timers. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

vitest.test(
  'timers fire in order of due time; an ended one stays silent',
  () => {
    const timers = core.createVirtualTimers();
    const fired: string[] = [];
    timers.subscribe({ name: 'b', delayMs: 20, repeat: 'once' }, () =>
      fired.push('b'),
    );
    timers.subscribe({ name: 'a', delayMs: 10, repeat: 'periodic' }, () =>
      fired.push('a'),
    );
    const ended = timers.subscribe(
      { name: 'c', delayMs: 5, repeat: 'once' },
      () => fired.push('c'),
    );
    ended.end();
    timers.advance(30);
    vitest.expect(fired).toEqual(['a', 'b', 'a', 'a']);
  },
);

vitest.test('a fault keeps its step and peer through a wrapping error', () => {
  const inner = core.createFault(
    'timeout',
    { step: 'log.append', peer: '127.0.0.1:9' },
    '500',
  );
  const outer = core.createFault(
    'log-away',
    { step: 'jobs.accept', peer: 'log', cause: inner },
    'append failed',
  );
  vitest
    .expect(core.readFault(outer))
    .toEqual({ code: 'log-away', step: 'jobs.accept', peer: 'log' });
  vitest.expect(outer.message).toContain('no answer after 500 ms');
});
