/**
 * The VMs as they announce themselves. Only the owner needs them, so the stream is
 * read at intervals while this node owns the cluster and not at all otherwise.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as tails from './tail.js';

/** Time between reads, in ms: a draining VM must get no new work within seconds. */
const POLL_MS = 250;

/** Is told each change of a VM's entry; undefined when it has none any more. */
export type FleetObserver = (
  id: core.ids.VmId,
  vm: core.workloads.VmEntry | undefined,
) => void;

/** The VMs. */
export interface Fleet {
  refresh(): Promise<boolean>;
  list(): Iterable<core.workloads.VmEntry>;
  find(id: core.ids.VmId): core.workloads.VmEntry | undefined;
  setObserver(observer: FleetObserver | undefined): void;
  close(): void;
}

/** Creates the view of the VMs. */
export function createFleet(context: contexts.NodeContext): Fleet {
  const { timers, log, metrics } = context;
  const source = context.ports.vms;
  const vms = new Map<core.ids.VmId, core.workloads.VmEntry>();
  const unreadable = new Set<string>();
  let observer: FleetObserver | undefined;

  const tail = tails.createTail({
    source,
    apply: applyRecord,
    reset: (keys) => {
      for (const id of [...vms.keys()])
        if (!keys.has(id)) update(id, undefined);
    },
    onFailed: (why) => {
      log.write('debug', 'fleet.read-failed', { why });
    },
  });

  function applyRecord(record: ports.KeyedRecord): void {
    if (record.value === undefined) {
      update(record.key, undefined);
      return;
    }
    const decoded = source.decode(record);
    if (decoded.readable) {
      unreadable.delete(record.key);
      update(record.key, decoded.value);
      return;
    }
    metrics.count('vm_entries_unreadable', {});
    if (!unreadable.has(record.key))
      log.write('warn', 'vm.unreadable', { vm: record.key, why: decoded.why });
    unreadable.add(record.key);
    update(record.key, undefined);
  }

  function update(
    id: core.ids.VmId,
    vm: core.workloads.VmEntry | undefined,
  ): void {
    const before = vms.get(id);
    if (vm === undefined) vms.delete(id);
    else vms.set(id, vm);
    if (isSame(before, vm)) return;
    log.write('info', 'vm.changed', {
      vm: id,
      listed: vm !== undefined,
      draining: vm?.draining,
      life: vm?.life,
      pool: vm?.pool,
    });
    observer?.(id, vm);
  }

  const poll = timers.subscribe(
    { name: 'fleet.poll', delayMs: POLL_MS, repeat: 'periodic' },
    () => {
      if (observer !== undefined) void tail.refresh();
    },
  );

  return {
    refresh: () => tail.refresh(),
    list: () => vms.values(),
    find: (id) => vms.get(id),
    setObserver(next) {
      observer = next;
    },
    close() {
      poll.end();
    },
  };
}

function isSame(
  a: core.workloads.VmEntry | undefined,
  b: core.workloads.VmEntry | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return (
    a.address === b.address &&
    a.life === b.life &&
    a.pool === b.pool &&
    a.draining === b.draining &&
    a.rack === b.rack &&
    a.capacity.cores === b.capacity.cores &&
    a.capacity.memoryMb === b.capacity.memoryMb &&
    a.capacity.gpus === b.capacity.gpus
  );
}
