/** Subjects: an observer that throws must not keep values from the other observers. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';

vitest.test(
  'delivers each value to the other observers when one observer throws',
  () => {
    const subject = core.createSubject<number>();
    const seen: number[] = [];
    void subject.stream.observe(() => {
      throw new Error('first observer');
    });
    void subject.stream.observe((value) => {
      seen.push(value);
    });
    vitest
      .expect(() => {
        subject.push(1);
      })
      .toThrow('first observer');
    vitest
      .expect(() => {
        subject.push(2);
      })
      .toThrow('first observer');
    vitest.expect(seen).toEqual([1, 2]);
  },
);
