/**
 * The list of VMs, from the entries that VMs write about themselves. Only the owner
 * needs it, so the stream is polled only while this node owns the cluster.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as tails from './tail.js';

/** Time between reads, in ms; a draining VM must stop getting new work within seconds. */
const POLL_INTERVAL_MS = 250;

/** Called with each change of a VM's entry; `vm` is undefined once the entry has been removed. */
export type FleetObserver = (
  id: core.ids.VmId,
  vm: core.workloads.VmEntry | undefined,
) => void;

/** The listed VMs. */
export interface Fleet {
  refresh(): Promise<boolean>;
  list(): Iterable<core.workloads.VmEntry>;
  find(id: core.ids.VmId): core.workloads.VmEntry | undefined;
  setObserver(observer: FleetObserver | undefined): void;
  close(): void;
}

/** Creates the list of VMs. */
export function createFleet(context: contexts.NodeContext): Fleet {
  const { timers, log, metrics } = context;
  const source = context.ports.vms;
  const vms = new Map<core.ids.VmId, core.workloads.VmEntry>();
  const unreadableKeys = new Set<string>();
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
      unreadableKeys.delete(record.key);
      update(record.key, decoded.value);
      return;
    }
    metrics.count('vm_entries_unreadable', {});
    if (!unreadableKeys.has(record.key))
      log.write('warn', 'vm.unreadable', { vm: record.key, why: decoded.why });
    unreadableKeys.add(record.key);
    update(record.key, undefined);
  }

  function update(
    id: core.ids.VmId,
    vm: core.workloads.VmEntry | undefined,
  ): void {
    const previous = vms.get(id);
    if (vm === undefined) vms.delete(id);
    else vms.set(id, vm);
    if (isSameEntry(previous, vm)) return;
    log.write('info', 'vm.changed', {
      vm: id,
      listed: vm !== undefined,
      draining: vm?.draining,
      life: vm?.incarnation,
      pool: vm?.pool,
      cores: vm?.capacity.cores,
      memoryMb: vm?.capacity.memoryMb,
      gpus: vm?.capacity.gpus,
    });
    observer?.(id, vm);
  }

  const poll = timers.subscribe(
    { name: 'fleet.poll', delayMs: POLL_INTERVAL_MS, repeat: 'periodic' },
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

function isSameEntry(
  a: core.workloads.VmEntry | undefined,
  b: core.workloads.VmEntry | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return (
    a.address === b.address &&
    a.incarnation === b.incarnation &&
    a.pool === b.pool &&
    a.draining === b.draining &&
    a.rack === b.rack &&
    a.capacity.cores === b.capacity.cores &&
    a.capacity.memoryMb === b.capacity.memoryMb &&
    a.capacity.gpus === b.capacity.gpus
  );
}
