/** Adaptive timeouts of orders and holds. */
import * as vitest from 'vitest';
import * as timeouts from '../src/timeouts.js';

vitest.describe('the timeout of an order', () => {
  vitest.it(
    'stays short while one order in twenty gets no answer (guards against urgent tasks delayed by a second when an order is lost)',
    () => {
      const timeout = timeouts.createOrderTimeout();
      for (let order = 0; order < 400; order += 1)
        if (order % 20 === 0) timeout.recordNoAnswer();
        else timeout.recordAnswer(order % 2 === 0 ? 3 : 65);
      vitest.expect(timeout.getMs()).toBeLessThanOrEqual(400);
    },
  );

  vitest.it(
    'grows until VMs that have become slow answer in time (guards against timeouts of every start)',
    () => {
      const timeout = timeouts.createOrderTimeout();
      timeout.recordAnswer(5);
      let order = 0;
      while (timeout.getMs() < 800 && order < 30) {
        timeout.recordNoAnswer();
        order += 1;
      }
      vitest.expect(order).toBeLessThan(15);
    },
  );
});

vitest.describe('the wait of a hold', () => {
  vitest.it(
    'is short only while answers are being lost (guards against ends hidden by a lost answer, and against needless holds)',
    () => {
      const holdWait = timeouts.createHoldWait();
      vitest.expect(holdWait.getMs(0)).toBe(1_500);
      holdWait.recordNoAnswer(1_000);
      vitest.expect(holdWait.getMs(4_000)).toBe(500);
      vitest.expect(holdWait.getMs(8_000)).toBe(1_500);
    },
  );
});
