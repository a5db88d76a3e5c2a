/** Reports that list many runs of which the owner knows none. */
import * as vitest from 'vitest';
import type * as core from '../../src/index.js';
import * as harnesses from './harness.js';

function buildReport(
  harness: harnesses.Harness,
  runs: number,
): core.workloads.VmReport {
  return {
    incarnation: 1,
    requestSentMs: harness.getNow(),
    clockMs: harness.getNow(),
    running: Array.from({ length: runs }, (_, index) => ({
      task: { job: 'stray', occurrence: 0, step: 0, index },
      run: 1,
      saved: '',
      percent: 0,
      load: 0,
    })),
    ended: [],
  };
}

vitest.it(
  'stops 100 of them at most after each report (guards against an owner that only sends stops to one address)',
  () => {
    const harness = harnesses.createHarness();
    const [vm = ''] = harness.vms.keys();
    const countStops = (runs: number): number => {
      const report = buildReport(harness, runs);
      harness.scheduler.applyReport(vm, report, harness.getNow());
      const { commands } = harness.scheduler.tick(
        harness.getNow(),
        harness.getNow(),
      );
      return commands.filter(({ command }) => command === 'stop').length;
    };
    vitest.expect(countStops(15_000)).toBe(100);
    vitest.expect(countStops(250)).toBe(100);
    vitest.expect(countStops(60)).toBe(60);
  },
);
