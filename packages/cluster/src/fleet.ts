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

/**
 * Time for which a VM stays listed after its entry was replaced by one that names no VM,
 * in ms. The platform keeps the entry of a silent VM for three heartbeats of 1.5 s, and a VM
 * that is alive writes its entry again before that.
 */
const KEEP_REPLACED_MS = 4_500;

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
  /** Entries that name no VM to use, with the time since which they don't. */
  const skippedSinceMs = new Map<string, number>();
  let observer: FleetObserver | undefined;

  const tail = tails.createTail({
    source,
    apply: applyRecord,
    reset: (keys) => {
      for (const id of [...vms.keys()])
        if (!keys.has(id)) update(id, undefined);
      for (const key of [...skippedSinceMs.keys()])
        if (!keys.has(key)) skippedSinceMs.delete(key);
    },
    onFailed: (why) => {
      log.write('debug', 'fleet.read-failed', { why });
    },
  });

  function applyRecord(record: ports.KeyedRecord): void {
    if (record.value === undefined) {
      skippedSinceMs.delete(record.key);
      update(record.key, undefined);
      return;
    }
    const decoded = source.decode(record);
    if (decoded.readable) {
      skippedSinceMs.delete(record.key);
      update(record.key, decoded.value);
      return;
    }
    const { reason, why } = decoded;
    metrics.count('vm_entries_skipped', { reason });
    if (skippedSinceMs.has(record.key)) return;
    log.write('warn', 'vm.skipped', { vm: record.key, reason, why });
    skippedSinceMs.set(record.key, timers.getNow());
  }

  /** Removes VMs whose entries another writer has replaced and that haven't written theirs since. */
  function removeReplaced(): void {
    const replacedBeforeMs = timers.getNow() - KEEP_REPLACED_MS;
    for (const [key, sinceMs] of skippedSinceMs)
      if (sinceMs < replacedBeforeMs) update(key, undefined);
  }

  async function refresh(): Promise<boolean> {
    const answered = await tail.refresh();
    // While the store is away, no VM can write its entry again.
    if (answered) removeReplaced();
    return answered;
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
      if (observer !== undefined) void refresh();
    },
  );

  return {
    refresh,
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
