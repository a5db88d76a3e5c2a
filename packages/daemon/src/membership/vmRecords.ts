/**
 * Checks the VMs of the platform's list. A VM that can't be used is skipped whole: it is
 * logged once until it can or isn't listed any more, and counted by reason.
 */
import * as core from '@flamingoward/core';
import * as zod from 'zod';
import type * as types from '../types.js';

/** Why a VM of the list can't be used. */
type VmFault =
  /** A field is missing, of another type or out of range. */
  | 'fields'
  /** No connection can be opened to its address. */
  | 'address';

const amount = zod.number().nonnegative();

/** Further fields are kept. */
const vmRecord = zod.looseObject({
  id: zod.string().min(1),
  role: zod.enum(['entry', 'worker', 'backend']),
  backend: zod.string().optional(),
  address: zod
    .string()
    .refine(
      (text) => core.splitAddress(text) !== undefined,
      'expected HOST:PORT',
    ),
  availabilityZone: zod.string(),
  region: zod.string(),
  rack: zod.string(),
  state: zod.enum(['live', 'leaving']),
  size: zod
    .looseObject({ cores: amount, memoryMb: amount, gpus: amount })
    .optional(),
});

/** Selects the VMs that can be used. */
export interface VmSelector {
  select(listed: readonly unknown[]): readonly core.workers.VmRecord[];
}

/** Creates the selector of a process. */
export function createVmSelector(context: types.PartContext): VmSelector {
  let skipped: ReadonlySet<string> = new Set();

  return {
    select(listed) {
      const skippedNow = new Set<string>();
      const vms = listed.flatMap((record) => {
        const issue = vmRecord.safeParse(record).error?.issues[0];
        if (issue === undefined) return [record as core.workers.VmRecord];
        const reason = chooseReason(issue);
        const id = getId(record);
        if (!skipped.has(id) && !skippedNow.has(id))
          context.log.write('warn', 'vm.skipped', {
            vm: id,
            reason,
            why: `${issue.path.join('.')}: ${issue.message}`,
          });
        skippedNow.add(id);
        context.metrics.count('vms_skipped_total', { reason });
        return [];
      });
      skipped = skippedNow;
      return vms;
    },
  };
}

function chooseReason(issue: zod.core.$ZodIssue): VmFault {
  return issue.path[0] === 'address' && issue.code === 'custom'
    ? 'address'
    : 'fields';
}

/** Returns the id of a listed VM, which may be anything, for the log. */
function getId(record: unknown): string {
  const { id } = (record ?? {}) as { readonly id?: unknown };
  return typeof id === 'string' ? id : JSON.stringify(id ?? '');
}
