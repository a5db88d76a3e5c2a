/** Control bytes between the regions, at rest and during a replay. */
import * as standins from '@flamingoward/standins';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** Bytes per second between the regions; home is the region of the log. */
export interface RegionRow {
  readonly what: 'rest' | 'replay';
  readonly linksToFar: number;
  readonly linksToHome: number;
  /** Answers of the log to processes outside its region, and their calls. */
  readonly logToFar: number;
  readonly logToHome: number;
  /** The same of the VM list, whose place the design leaves open. */
  readonly vmListToFar: number;
  readonly vmListToHome: number;
}

interface Counts {
  readonly atMs: number;
  readonly linksToFar: number;
  readonly linksToHome: number;
  readonly logToFar: number;
  readonly logToHome: number;
  readonly vmListToFar: number;
  readonly vmListToHome: number;
}

/** Measures a cell whose regions are counted. */
export async function measureRegions(
  cell: cells.Cell,
  seed: number,
  windowMs: number,
): Promise<readonly RegionRow[]> {
  await waits.waitMs(3_000);
  const first = readCounts(cell);
  await waits.waitMs(windowMs);
  const second = readCounts(cell);
  const trace = standins.generateTrace('nilewave', seed, windowMs);
  await standins.replayTrace(trace, {
    callers: cell.daemons.map((daemon) => daemon.callers),
    run: `regions-${seed}`,
    jobWaitMs: 1_000,
  });
  const third = readCounts(cell);
  return [
    compareCounts('rest', first, second),
    compareCounts('replay', second, third),
  ];
}

function readCounts(cell: cells.Cell): Counts {
  let linksToFar = 0;
  let linksToHome = 0;
  for (const [region, all] of cell.crossing)
    for (const forwarder of all) {
      const { towards, back } = forwarder.readBytes();
      const isFar = region === cells.FAR_REGION;
      linksToFar += isFar ? towards : back;
      linksToHome += isFar ? back : towards;
    }
  const log = cell.readFarBytes('log');
  const vmList = cell.readFarBytes('vmList');
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

function compareCounts(
  what: RegionRow['what'],
  from: Counts,
  to: Counts,
): RegionRow {
  const seconds = (to.atMs - from.atMs) / 1_000;
  const measureRate = (read: (counts: Counts) => number): number =>
    (read(to) - read(from)) / seconds;
  return {
    what,
    linksToFar: measureRate((each) => each.linksToFar),
    linksToHome: measureRate((each) => each.linksToHome),
    logToFar: measureRate((each) => each.logToFar),
    logToHome: measureRate((each) => each.logToHome),
    vmListToFar: measureRate((each) => each.vmListToFar),
    vmListToHome: measureRate((each) => each.vmListToHome),
  };
}
