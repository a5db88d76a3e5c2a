/** Measures the control traffic between the two regions, first idle and then while a trace is replayed. */
import * as standins from '@flamingoward/standins';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** Bytes per second between the regions; `home` is the region of the log service, `far` the other one. */
export interface RegionRow {
  readonly what: 'rest' | 'replay';
  readonly linksToFar: number;
  readonly linksToHome: number;
  /** Responses of the log service to processes outside its region, and their requests. */
  readonly logToFar: number;
  readonly logToHome: number;
  /** Likewise for the VM list, as if it ran in the home region; docs/design.md doesn't fix its region. */
  readonly vmListToFar: number;
  readonly vmListToHome: number;
}

interface ByteCounts {
  readonly atMs: number;
  readonly linksToFar: number;
  readonly linksToHome: number;
  readonly logToFar: number;
  readonly logToHome: number;
  readonly vmListToFar: number;
  readonly vmListToHome: number;
}

/** Measures a cell that was started with `countRegions`. */
export async function measureRegions(
  cell: cells.Cell,
  seed: number,
  windowMs: number,
): Promise<readonly RegionRow[]> {
  await waits.waitMs(3_000);
  const start = collectCounts(cell);
  await waits.waitMs(windowMs);
  const idleEnd = collectCounts(cell);
  const trace = standins.generateTrace('nilewave', seed, windowMs);
  await standins.replayTrace(trace, {
    callers: cell.daemons.map((daemon) => daemon.callers),
    run: `regions-${seed}`,
    jobWaitMs: 1_000,
  });
  const replayEnd = collectCounts(cell);
  return [
    computeRow('rest', start, idleEnd),
    computeRow('replay', idleEnd, replayEnd),
  ];
}

function collectCounts(cell: cells.Cell): ByteCounts {
  let linksToFar = 0;
  let linksToHome = 0;
  for (const [region, forwarders] of cell.forwardersByRegion)
    for (const forwarder of forwarders) {
      const { toTarget, fromTarget } = forwarder.getBytes();
      const isFar = region === cells.FAR_REGION;
      linksToFar += isFar ? toTarget : fromTarget;
      linksToHome += isFar ? fromTarget : toTarget;
    }
  const log = cell.sumFarTraffic('log');
  const vmList = cell.sumFarTraffic('vmList');
  return {
    atMs: performance.now(),
    linksToFar,
    linksToHome,
    logToFar: log.sentBytes,
    logToHome: log.receivedBytes,
    vmListToFar: vmList.sentBytes,
    vmListToHome: vmList.receivedBytes,
  };
}

function computeRow(
  what: RegionRow['what'],
  from: ByteCounts,
  to: ByteCounts,
): RegionRow {
  const seconds = (to.atMs - from.atMs) / 1_000;
  const computeRate = (getCount: (counts: ByteCounts) => number): number =>
    (getCount(to) - getCount(from)) / seconds;
  return {
    what,
    linksToFar: computeRate((each) => each.linksToFar),
    linksToHome: computeRate((each) => each.linksToHome),
    logToFar: computeRate((each) => each.logToFar),
    logToHome: computeRate((each) => each.logToHome),
    vmListToFar: computeRate((each) => each.vmListToFar),
    vmListToHome: computeRate((each) => each.vmListToHome),
  };
}
