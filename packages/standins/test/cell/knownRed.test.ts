/** Tests of the printed failures of known faults. */
import * as vitest from 'vitest';
import * as knownRed from './knownRed.js';

// Guards against printing only the message, which leaves out the items of long lists.
vitest.test('a known failure is printed with all of its violations', () => {
  const violations = Array.from({ length: 150 }, (_, index) => ({
    promise: 'P2',
    description: `job-${index}: 6 done attempts of 3 tasks instead of 3`,
  }));
  let failure: unknown;
  try {
    vitest.expect(violations).toEqual([]);
  } catch (error) {
    failure = error;
  }
  vitest.expect(String(failure)).not.toContain('job-149:');
  const text = knownRed.describeFailure(failure);
  vitest.expect(text).toContain('job-0: 6 done attempts');
  vitest.expect(text).toContain('job-149: 6 done attempts');
});
