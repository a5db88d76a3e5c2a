/** The lines about crashed VMs. */
import * as vitest from 'vitest';
import * as crashReports from '../src/crashReports.js';
import * as fakes from './fakes.js';

vitest.describe('the lines about a crash', () => {
  vitest.it('name the VM, and each run that had only just started', () => {
    const { log, lines } = fakes.createFakeContext();
    const task = { job: 'job', occurrence: 0, step: 0, index: 1 };
    const crash = { vm: 'vm-1', evidence: 'terminated' } as const;
    crashReports.logCrashes(log, 7, [
      { ...crash, task, run: 3, aliveMs: 20, settled: false },
      {
        ...crash,
        task: { ...task, index: 2 },
        run: 2,
        aliveMs: 9_000,
        settled: true,
      },
    ]);
    vitest.expect(lines).toMatchObject([
      {
        event: 'vm.crashed',
        fields: { vm: 'vm-1', why: 'terminated', runs: 2 },
      },
      {
        event: 'task.crashed-vm',
        fields: { task: 'job.0.0.1', run: 3, aliveMs: 20 },
      },
    ]);
  });
});
