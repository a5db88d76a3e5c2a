/** VMs that are restarted under their id, perhaps as another kind, and whose report and entry arrive at different times. */
import * as vitest from 'vitest';
import * as core from '../../src/index.js';
import * as harnesses from './harness.js';

const labelled = harnesses.createStep({ label: 'kind-a' });

/** Lists the VMs of the starts that are sent once the records of a round are durable. */
function confirmStarts(harness: harnesses.Harness): readonly string[] {
  return harness.scheduler
    .confirmBatch()
    .flatMap((command) => (command.command === 'start' ? [command.vm] : []));
}

/** Restarts a VM as another kind; it reports before its entry is known. */
function restart(harness: harnesses.Harness, id: string, label: string): void {
  const vm = harness.vms.get(id)!;
  vm.entry = { ...vm.entry, incarnation: 2, labels: [label] };
  vm.running.clear();
  vm.ended = [];
  vm.nextEnd = 1;
  harness.report(id);
}

function publish(harness: harnesses.Harness, id: string): void {
  const { entry } = harness.vms.get(id)!;
  harness.scheduler.setVmEntry(id, entry, harness.getNow());
}

vitest.describe('a VM that was restarted', () => {
  vitest.it(
    'gets no start by the labels, room or rack of its earlier incarnation (guards against ROUTE: a start on a VM without the label)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a', { labels: ['kind-a'] });
      restart(harness, 'a', 'kind-b');
      harness.addJob('labelled', [labelled]);
      harness.addJob('any', [harnesses.createStep()]);
      for (let round = 0; round < 5; round += 1) harness.advance(100);
      vitest.expect(harness.listRuns()).toEqual([]);
      publish(harness, 'a');
      for (let round = 0; round < 5; round += 1) harness.advance(100);
      vitest
        .expect(harness.listRuns())
        .toMatchObject([{ task: 'any.0.0.0', vm: 'a' }]);
    },
  );

  vitest.it(
    'gets no start either while its new entry is known and its report is not',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a', { labels: ['kind-b'] });
      const entry = harnesses.createEntry('a', {
        incarnation: 2,
        labels: ['kind-a'],
      });
      harness.scheduler.setVmEntry('a', entry, harness.getNow());
      harness.addJob('labelled', [labelled]);
      harness.settle();
      vitest.expect(harness.listRuns()).toEqual([]);
      harness.vms.get('a')!.entry = entry;
      harness.advance(100);
      vitest.expect(harness.listRuns()).toHaveLength(1);
    },
  );

  vitest.it.each(['its report', 'its entry'])(
    'gets no start that was decided before %s was known and whose record became durable after it',
    (first) => {
      const harness = harnesses.createHarness();
      harness.addVm('a', { labels: ['kind-a'] });
      harness.addVm('b', { labels: ['kind-a'] });
      const step = { ...labelled, count: 2, gang: true, maxPerVm: 1 };
      harness.addJob('gang', [step]);
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      if (first === 'its report') restart(harness, 'a', 'kind-b');
      else
        harness.scheduler.setVmEntry(
          'a',
          harnesses.createEntry('a', { incarnation: 2, labels: ['kind-b'] }),
          harness.getNow(),
        );
      vitest.expect(confirmStarts(harness)).toEqual([]);
    },
  );

  vitest.it('is used if its entries name no incarnation', () => {
    const harness = harnesses.createHarness();
    harness.addVm('a', { incarnation: undefined });
    harness.scheduler.applyReport(
      'a',
      {
        incarnation: 3,
        running: [],
        ended: [],
        requestSentMs: harness.getNow(),
      },
      harness.getNow(),
    );
    harness.addJob('any', [harnesses.createStep()]);
    harness.settle();
    vitest.expect(harness.listRuns()).toHaveLength(1);
  });
});

vitest.describe('a VM whose entry has changed', () => {
  vitest.it.each<readonly [string, Partial<core.workloads.VmEntry>]>([
    ['drains', { draining: true }],
    ['has another label', { labels: ['kind-b'] }],
    ['serves another pool', { pool: 'other' }],
  ])(
    'gets no start that was decided before if it %s (guards against DRAIN and ROUTE: starts whose records take long)',
    (_, change) => {
      const harness = harnesses.createHarness();
      harness.addVm('a', { labels: ['kind-a'] });
      harness.addJob('labelled', [labelled]);
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      const { entry } = harness.vms.get('a')!;
      harness.scheduler.setVmEntry(
        'a',
        { ...entry, ...change },
        harness.getNow(),
      );
      vitest.expect(confirmStarts(harness)).toEqual([]);
    },
  );
});

vitest.describe('the ends of a VM that was restarted', () => {
  vitest.it(
    'count as durable only once a record of its new incarnation is (guards against TWICE: ends that are acknowledged by the number of an earlier incarnation)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      harness.addJob('old', [harnesses.createStep({ count: 2 })]);
      harness.settle();
      const [run] = harness.listRuns();
      harness.endRun('a', run!.run, 'done');
      harness.report('a');
      // This record is still being written when the VM reports its new incarnation with an end of the same number.
      harness.scheduler.tick(harness.getNow(), harness.getNow());
      const vm = harness.vms.get('a')!;
      vm.entry = { ...vm.entry, incarnation: 2 };
      vm.running.clear();
      vm.ended = [
        {
          number: 1,
          task: { job: 'old', occurrence: 0, step: 0, index: 1 },
          run: 9,
          how: 'done',
          saved: '',
        },
      ];
      harness.report('a');
      harness.scheduler.confirmBatch();
      vitest.expect(harness.scheduler.getDurableEnd('a')).toBe(0);
    },
  );
});
