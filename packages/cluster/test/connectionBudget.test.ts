/** Which outgoing connections are closed early. */
import * as vitest from 'vitest';
import * as budgets from '../src/connectionBudget.js';

vitest.describe('outgoing connections beyond the limit', () => {
  vitest.it(
    'are closed where no call is made, the least recently used first, and never under a call (guards against a process without descriptors)',
    () => {
      const budget = budgets.createConnectionBudget(3);
      const closed: string[] = [];
      const [a, b, c] = ['a', 'b', 'c'].map((name) => ({
        close: () => closed.push(name),
      }));
      for (const pool of [a!, b!, c!]) {
        budget.beginCall(pool);
        budget.addConnection(pool);
      }
      budget.endCall(b!);
      budget.endCall(a!);
      vitest.expect(closed).toEqual([]);
      budget.addConnection(c!);
      vitest.expect(closed).toEqual(['a']);
      budget.removeConnection(a!);
      vitest.expect(budget.countConnections()).toBe(3);
      budget.addConnection(c!);
      budget.addConnection(c!);
      vitest.expect(closed).toEqual(['a', 'b']);
      vitest.expect(budget.countConnections()).toBe(4);
      budget.endCall(c!);
      vitest.expect(closed).toEqual(['a', 'b', 'c']);
      vitest.expect(budget.countConnections()).toBe(0);
    },
  );
});
