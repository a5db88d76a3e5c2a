/** Compares and formats epochs; they are ordered by claim offset, then provisional number. */
import type * as ids from '../types/ids.js';

/** Compares two epochs; negative when `a` is older. */
export function compareEpochs(a: ids.Epoch, b: ids.Epoch): number {
  return a.offset - b.offset || a.provisional - b.provisional;
}

/** Formats an epoch for logs and dumps: `17` or `17+1` for a provisional one. */
export function formatEpoch(epoch: ids.Epoch): string {
  return epoch.provisional === 0
    ? String(epoch.offset)
    : `${epoch.offset}+${epoch.provisional}`;
}
