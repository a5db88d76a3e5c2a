/** Appends and reads while the log loses replies, is unreachable or removes records, and while relays fail. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import * as standins from '@flamingoward/standins';

const timers = core.createSystemTimers();
const cleanups: (() => Promise<void>)[] = [];

vitest.afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startLog(retainRecords?: number) {
  const service = new standins.LogStandin(retainRecords);
  const address = await service.start();
  cleanups.push(() => service.stop());
  return { service, address };
}

function createStreams(
  address: string,
  options: Partial<clients.StreamsOptions> = {},
) {
  const log = clients.createLogClient({ address, timers });
  const streams = clients.createStreams({ log, timers, ...options });
  cleanups.push(() => streams.close());
  return { log, streams };
}

function collect(reader: clients.StreamReader<number>): number[] {
  const read: number[] = [];
  void reader.records.observe((record) => read.push(record.body));
  return read;
}

function readBodies(service: standins.LogStandin): unknown[] {
  return service.getRecords('jobs').map((record) => record.body);
}

vitest.test(
  'delivers each record once after a lost reply, at the offset that its append reports',
  async () => {
    const { service, address } = await startLog();
    const { streams } = createStreams(address);
    const reader = streams.open<number>('jobs');
    const read = collect(reader);
    service.setFaults({ loseReplies: 2 });
    const outcomes = await Promise.all(
      [1, 2, 3].map((body) =>
        streams.append('jobs', body, { flush: 'grouped' }),
      ),
    );
    await reader.waitForHead();
    vitest.expect(read).toEqual([1, 2, 3]);
    // Appends report the offsets at which readers see the records.
    vitest
      .expect(outcomes)
      .toEqual([0, 1, 2].map((offset) => ({ outcome: 'appended', offset })));
  },
);

vitest.test(
  'retries an append after a lost reply with the same record id, when the process has no reader',
  async () => {
    const { service, address } = await startLog();
    const { streams } = createStreams(address);
    service.setFaults({ loseReplies: 1 });
    await streams.append('jobs', 1, { flush: 'now' });
    vitest.expect(readBodies(service)).toEqual([1, 1]);
    const ids = service.getRecords('jobs').map((record) => record.id);
    vitest.expect(new Set(ids).size).toBe(1);
  },
);

vitest.test(
  'buffers a bounded number of records during an outage: appends them later, and never appends a refused one',
  async () => {
    const { service, address } = await startLog();
    const { streams } = createStreams(address, { bufferRecords: 10 });
    service.setFaults({ outage: true });
    const kept = Array.from({ length: 10 }, (_, body) =>
      streams.append('jobs', body, { flush: 'grouped' }),
    );
    vitest
      .expect(await streams.append('jobs', 99, { flush: 'now' }))
      .toEqual({ outcome: 'not-appended', reason: 'buffer-full' });
    const other = await streams.append('claims', 1, {
      flush: 'now',
      giveUpMs: 300,
    });
    vitest
      .expect(other)
      .toEqual({ outcome: 'not-appended', reason: 'log-away' });
    vitest.expect(streams.getUnreachableSinceMs()).toBeDefined();
    service.setFaults({});
    await Promise.all(kept);
    vitest.expect(readBodies(service)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    vitest.expect(service.getRecords('claims')).toEqual([]);
    vitest.expect(streams.getUnreachableSinceMs()).toBeUndefined();
  },
);

vitest.test(
  'reports an append as unknown when its time limit passes after a request without a reply, and does not send it again',
  async () => {
    const { service, address } = await startLog();
    const { streams } = createStreams(address);
    service.setFaults({ silentRequests: 1 });
    vitest
      .expect(await streams.append('jobs', 1, { flush: 'now', giveUpMs: 100 }))
      .toEqual({ outcome: 'unknown' });
    // The expired record must not be sent again together with the next one.
    await streams.append('jobs', 2, { flush: 'now' });
    vitest.expect(readBodies(service)).toEqual([2]);
  },
);

vitest.test(
  'continues at the oldest retained record when earlier ones were removed',
  async () => {
    const { service, address } = await startLog(3);
    const { streams } = createStreams(address);
    for (const body of [1, 2, 3, 4, 5])
      await streams.append('jobs', body, { flush: 'now' });
    const reader = streams.open<number>('jobs');
    const read = collect(reader);
    await reader.waitForHead();
    vitest.expect(service.getRecords('jobs')).toHaveLength(3);
    vitest.expect(read).toEqual([3, 4, 5]);
  },
);

vitest.test.each([
  'rejects reads',
  'does not respond',
  'returns only empty pages',
] as const)('reads from the log instead of a relay that %s', async (fault) => {
  const { address } = await startLog();
  const relay: clients.RecordSource = {
    readPage: async () => {
      if (fault === 'rejects reads') throw new Error('refused');
      if (fault === 'does not respond') await new Promise(() => undefined);
      return { oldest: 0, next: 0, records: [] };
    },
  };
  const { streams } = createStreams(address, { chooseSource: () => relay });
  const reader = streams.open<number>('jobs');
  const read = collect(reader);
  const outcome = await streams.append('jobs', 7, { flush: 'now' });
  vitest.expect(outcome).toEqual({ outcome: 'appended', offset: 0 });
  await reader.waitFor(1);
  vitest.expect(read).toEqual([7]);
});

vitest.test(
  'retries an append on a new connection when the first one gets no reply',
  async () => {
    const { service, address } = await startLog();
    const { streams } = createStreams(address);
    await streams.append('jobs', 1, { flush: 'now' });
    service.setFaults({ silentRequests: 1 });
    vitest
      .expect(await streams.append('jobs', 2, { flush: 'now' }))
      .toEqual({ outcome: 'appended', offset: 1 });
    vitest.expect(readBodies(service)).toEqual([1, 2]);
  },
);

vitest.test(
  'reads all records through a relay, past duplicates that the relay left out, and rejects a read below its kept records',
  async () => {
    const { service, address } = await startLog();
    const first = createStreams(address);
    const relay = clients.createRelay({
      streams: first.streams,
      timers,
      names: ['jobs'],
      keepRecords: 4,
    });
    const reader = first.streams.open<number>('jobs');
    let relayed = 0;
    const { log, streams } = createStreams(address, {
      chooseSource: () => ({
        readPage: async (...read) => {
          const page = await relay.readPage(...read);
          relayed += page.records.length;
          return page;
        },
      }),
    });
    const direct = vitest.vi.spyOn(log, 'readPage');
    const read = collect(streams.open<number>('jobs'));
    for (const body of [1, 2, 3, 4, 5, 6, 7, 8])
      await log.append('jobs', [{ id: `id${body}`, body }], 1_000);
    // The last record of the log is a duplicate, which the relay leaves out: readers must advance past it.
    await log.append('jobs', [{ id: 'id8', body: 8 }], 1_000);
    await reader.waitForHead();
    await streams.open('jobs').waitFor(9);
    vitest.expect(read).toEqual([1, 2, 3, 4, 5, 6, 7, 8]);
    vitest.expect(relayed).toBe(8);
    vitest.expect(direct).not.toHaveBeenCalled();
    vitest.expect(service.getRecords('jobs')).toHaveLength(9);
    vitest
      .expect((await relay.readPage('jobs', 0, 3, 0)).records)
      .toHaveLength(3);
    for (const body of [9, 10])
      await log.append('jobs', [{ id: `id${body}`, body }], 1_000);
    await reader.waitForHead();
    // The relay keeps only the last records; a reader further behind must read from the log.
    await vitest
      .expect(relay.readPage('jobs', 0, 10, 0))
      .rejects.toThrow('keeps records from');
  },
);
