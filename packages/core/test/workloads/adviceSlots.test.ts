/** Choice of the nodes that send advice requests when short and long requests compete, and renewal of tickets for large steps. */
import * as vitest from 'vitest';
import * as adviceSlots from '../../src/workloads/adviceSlots.js';
import * as harnesses from './harness.js';

const LONG_REQUEST_MS = 640;
const SHORT_REQUEST_MS = 23;

vitest.describe('nodes that send advice requests', () => {
  vitest.it(
    'never queue a short request behind a long one (guards against urgent steps that wait for the advice of large ones)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['a', 'b', 'c', 'd', 'e']);
      slots.reserve(SHORT_REQUEST_MS, 0);
      let longRequests = 0;
      while (slots.reserve(LONG_REQUEST_MS, 0) !== undefined) longRequests += 1;
      vitest.expect(longRequests).toBe(4);
      for (let index = 0; index < 4; index += 1)
        vitest
          .expect(slots.reserve(SHORT_REQUEST_MS, 0)?.expectedMs)
          .toBeLessThanOrEqual(3 * SHORT_REQUEST_MS);
    },
  );

  vitest.it(
    'send the long request of a service task although all nodes for long ones are busy (guards against service tasks that wait for seconds in a burst)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['a', 'b', 'c', 'd', 'e']);
      slots.reserve(SHORT_REQUEST_MS, 0);
      while (slots.reserve(LONG_REQUEST_MS, 0) !== undefined);
      vitest
        .expect(slots.reserve(LONG_REQUEST_MS, 0, 'service')?.expectedMs)
        .toBeLessThanOrEqual(LONG_REQUEST_MS + SHORT_REQUEST_MS);
      vitest.expect(slots.reserve(SHORT_REQUEST_MS, 0)).toBeDefined();
      vitest
        .expect(slots.reserve(LONG_REQUEST_MS, 0, 'service'))
        .toBeUndefined();
    },
  );

  vitest.it(
    'send the long request of an overdue service between short ones, and then short ones for as long (guards against service tasks that a flow of short requests keeps waiting)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      const shorts = [0, 1, 2].map(() => slots.reserve(SHORT_REQUEST_MS, 0));
      vitest
        .expect(slots.reserve(LONG_REQUEST_MS, 0, 'service'))
        .toBe(undefined);
      const first = slots.reserve(LONG_REQUEST_MS, 0, 'overdue-service');
      vitest
        .expect(first?.expectedMs)
        .toBeLessThanOrEqual(LONG_REQUEST_MS + 3 * SHORT_REQUEST_MS);
      const answeredMs = first?.expectedMs ?? 0;
      for (const slot of shorts) slot?.release(true, SHORT_REQUEST_MS);
      first?.release(true, answeredMs);
      const short = slots.reserve(SHORT_REQUEST_MS, answeredMs);
      vitest.expect(short).toBeDefined();
      const reserveAt = (nowMs: number): unknown =>
        slots.reserve(LONG_REQUEST_MS, nowMs, 'overdue-service');
      vitest
        .expect(reserveAt(answeredMs + LONG_REQUEST_MS / 2))
        .toBe(undefined);
      vitest.expect(reserveAt(answeredMs + LONG_REQUEST_MS)).toBeDefined();
    },
  );

  vitest.it(
    'send requests of overdue services from half of the nodes at most (guards against urgent steps that get no advice)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['a', 'b', 'c', 'd', 'e']);
      for (let index = 0; index < 18; index += 1)
        slots.reserve(SHORT_REQUEST_MS, 0);
      let requests = 0;
      while (slots.reserve(LONG_REQUEST_MS, 0, 'overdue-service') !== undefined)
        requests += 1;
      vitest.expect(requests).toBe(3);
    },
  );

  vitest.it(
    'all accept long requests while there are no short ones (guards against idle nodes)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['a', 'b', 'c']);
      for (let index = 0; index < 4; index += 1)
        vitest.expect(slots.reserve(LONG_REQUEST_MS, 0)).toBeDefined();
      vitest.expect(slots.reserve(LONG_REQUEST_MS, 0)).toBeUndefined();
    },
  );

  vitest.it(
    'are skipped for a while after they left a request unanswered (guards against requests that are lost at a partitioned node)',
    () => {
      const slots = adviceSlots.createAdviceSlots();
      slots.setHelpers(['a']);
      const first = slots.reserve(LONG_REQUEST_MS, 0);
      first?.release(false, 700);
      vitest
        .expect(slots.reserve(LONG_REQUEST_MS, 800)?.helper)
        .not.toBe(first?.helper);
      vitest.expect(slots.reserve(LONG_REQUEST_MS, 800)).toBeUndefined();
      vitest
        .expect(slots.reserve(LONG_REQUEST_MS, 3_000)?.helper)
        .toBe(first?.helper);
    },
  );
});

vitest.describe('advice for a queue of large steps on full VMs', () => {
  const advice = { fixedMs: 170, perVmMs: 2.4, validMs: 2_000 };

  vitest.it(
    'renews all tickets of a step with one request (guards against a request for every task that ends)',
    () => {
      const harness = harnesses.createHarness();
      for (const id of ['a', 'b', 'c', 'd']) harness.addVm(id);
      const policy = harnesses.createPolicy({ advice, slackMs: 60_000 });
      const step = harnesses.createStep({
        count: 40,
        estimateMs: 4_000,
        size: { cores: 4, memoryMb: 10, gpus: 0 },
      });
      harness.addJob('large', [step], policy);
      harness.advance(100);
      vitest.expect(harness.listRuns()).toHaveLength(8);
      harness.advance(2_500);
      const before = harness.listAdvisedSteps().length;
      for (let round = 0; round < 15; round += 1) {
        const [oldest] = [...harness.listRuns()].sort((a, b) => a.run - b.run);
        harness.endRun(oldest!.vm, oldest!.run, 'done');
        harness.advance(100);
        vitest.expect(harness.listRuns()).toHaveLength(8);
      }
      vitest
        .expect(harness.listAdvisedSteps().length - before)
        .toBeLessThanOrEqual(1);
    },
  );

  vitest.it(
    'renews the ticket of a gang before its VM becomes free (guards against GPUs that are idle until an answer arrives)',
    () => {
      const harness = harnesses.createHarness();
      harness.addVm('a');
      const wholeVm = { cores: 1, memoryMb: 10, gpus: 8 };
      const slowAdvice = { fixedMs: 560, perVmMs: 8, validMs: 2_000 };
      const policy = harnesses.createPolicy({
        advice: slowAdvice,
        slackMs: 60_000,
      });
      const gang = harnesses.createStep({
        gang: true,
        size: wholeVm,
        estimateMs: 5_000,
      });
      harness.addJob('first', [gang], policy);
      harness.advance(10);
      harness.addJob('second', [gang], policy);
      // Runs on the harness's VMs gain 1 % of progress per round.
      for (let round = 0; round < 95; round += 1) harness.advance(50);
      const [run] = harness.listRuns();
      const before = harness.listAdvisedSteps().length;
      harness.endRun('a', run!.run, 'done');
      harness.advance(10);
      vitest
        .expect(harness.listRuns().map(({ task }) => task))
        .toEqual(['second.0.0.0']);
      vitest.expect(harness.listAdvisedSteps().length).toBe(before);
    },
  );

  vitest.it(
    'is requested ahead of time for more steps in a larger pool (guards against free VMs that wait for an answer)',
    () => {
      const harness = harnesses.createHarness();
      for (let index = 0; index < 60; index += 1) harness.addVm(`vm${index}`);
      const policy = harnesses.createPolicy({ advice, slackMs: 60_000 });
      const step = harnesses.createStep({
        count: 60,
        estimateMs: 4_000,
        size: { cores: 8, memoryMb: 10, gpus: 0 },
      });
      harness.addJob('first', [step], policy);
      harness.advance(10);
      for (let index = 0; index < 8; index += 1)
        harness.addJob(`next${index}`, [{ ...step, count: 1 }], policy);
      for (let round = 0; round < 6; round += 1) harness.advance(10);
      const asked = new Set(harness.listAdvisedSteps().map(({ job }) => job));
      vitest.expect(asked.size).toBeGreaterThanOrEqual(9);
    },
  );
});
