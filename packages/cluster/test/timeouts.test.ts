/** How long answers are waited for. */
import * as vitest from 'vitest';
import * as patiences from '../src/timeouts.js';

vitest.describe('the wait for the answer to an order', () => {
  vitest.it(
    'stays short while one order in twenty gets no answer (guards against urgent tasks that wait a second for an order that is lost)',
    () => {
      const patience = patiences.createOrderPatience();
      for (let order = 0; order < 400; order += 1)
        if (order % 20 === 0) patience.noteSilence();
        else patience.noteAnswer(order % 2 === 0 ? 3 : 65);
      vitest.expect(patience.readTimeout()).toBeLessThanOrEqual(400);
    },
  );

  vitest.it(
    'grows until VMs that have become slow answer in time (guards against starts that are all given up)',
    () => {
      const patience = patiences.createOrderPatience();
      patience.noteAnswer(5);
      let order = 0;
      while (patience.readTimeout() < 800 && order < 30) {
        patience.noteSilence();
        order += 1;
      }
      vitest.expect(order).toBeLessThan(15);
    },
  );
});

vitest.describe('the wait of a hold', () => {
  vitest.it(
    'is short only while answers are being lost (guards against ends that a lost answer hides, and against needless holds)',
    () => {
      const patience = patiences.createHoldPatience();
      vitest.expect(patience.readWait(0)).toBe(1_500);
      patience.noteSilence(1_000);
      vitest.expect(patience.readWait(4_000)).toBe(500);
      vitest.expect(patience.readWait(8_000)).toBe(1_500);
    },
  );
});
