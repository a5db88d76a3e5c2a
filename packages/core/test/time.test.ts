/** The virtual timer service (order and repetition of timers), and the origin of errors. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

vitest.test(
  'virtual timers fire in order of due time, and a cancelled one does not fire',
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

vitest.test(
  'a wrapping error has its own code, step and peer, and the message of its cause',
  () => {
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
      .expect(core.getFaultInfo(outer))
      .toEqual({ code: 'log-away', step: 'jobs.accept', peer: 'log' });
    vitest.expect(outer.message).toContain('no answer after 500 ms');
  },
);
