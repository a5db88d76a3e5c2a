/** Formats the measurements of the cell bench as lines of key=value pairs. */
import type * as bench from './bench.js';
import * as idle from './idle.js';
import type * as requests from './requests.js';
import type * as regions from './regions.js';

/** Returns the lines of the report. */
export function describeBench(result: bench.BenchResult): readonly string[] {
  const { machine } = result;
  return [
    `machine cores=${machine.cores} load_before=${formatLoad(machine.loadBefore)} load_after=${formatLoad(machine.loadAfter)}`,
    ...describeRecovery(result),
    ...describeRelease(result),
    ...(result.idle ?? []).flatMap(describeIdle),
    ...describeStarts(result),
    ...(result.requests ?? []).flatMap(describeRequests),
    ...(result.regions ?? []).map(describeRegions),
    ...Object.entries(result.failed).map(
      ([part, error]) => `FAILED ${part}: ${error}`,
    ),
  ];
}

function describeRequests(row: requests.RequestRow): readonly string[] {
  return [
    `requests sent_s=${row.sentPerSecond} done_s=${row.donePerSecond.toFixed(0)} not_done=${row.notDone}` +
      ` p50_ms=${row.p50.toFixed(1)} p99_ms=${row.p99.toFixed(1)}`,
    ...row.costs.map(describeCost),
  ];
}

function describeRegions(row: regions.RegionRow): string {
  return (
    `regions ${row.what} links_to_far=${row.linksToFar.toFixed(0)} links_to_home=${row.linksToHome.toFixed(0)}` +
    ` log_to_far=${row.logToFar.toFixed(0)} log_to_home=${row.logToHome.toFixed(0)}` +
    ` vm_list_to_far=${row.vmListToFar.toFixed(0)} vm_list_to_home=${row.vmListToHome.toFixed(0)} bytes/s`
  );
}

function formatLoad(load: readonly number[]): string {
  return load.map((each) => each.toFixed(1)).join('/');
}

function describeRecovery(result: bench.BenchResult): readonly string[] {
  return (result.recovery ?? []).map(
    (round) =>
      `recovery ${round.signal} claim_ms=${round.claimMs} start_ms=${round.startMs ?? 'none'} tasks=${round.tasks}` +
      ` lost=${round.lost} repeated=${round.repeated} doubled=${round.doubled} all_ended_ms=${round.allEndedMs ?? 'none'} target_ms=3000`,
  );
}

function describeRelease(result: bench.BenchResult): readonly string[] {
  const { release, paused = [] } = result;
  const lines = paused.map(
    (each) =>
      `release with ${each.process} stopped for 4 s: others_ms=${each.othersMs ?? 'none'} after_resume_ms=${each.afterResumeMs ?? 'none'} target_ms=3000`,
  );
  if (release === undefined) return lines;
  return [
    `release processes=${release.processes} publications=${release.publications} failed=${release.failed.length}` +
      ` p50_ms=${release.p50} p99_ms=${release.p99} max_ms=${release.max} target_p99_ms=1000` +
      ` call_p50_ms=${release.callP50.toFixed(0)} call_p99_ms=${release.callP99.toFixed(0)}`,
    ...release.failed.slice(0, 5).map((each) => `  ${each}`),
    ...lines,
  ];
}

function describeIdle(row: idle.IdleRow): readonly string[] {
  return [
    `idle processes=${row.processes} workers=${row.workers} backends=34 tasks=${row.tasks} window_s=${row.windowS} targets: 13000 bytes/s, 1.9% of a core, 128 MB`,
    ...row.costs.map(describeCost),
  ];
}

function describeCost(cost: idle.ProcessCost): string {
  return (
    `  ${cost.name} bytes_s=${idle.sumBytes(cost).toFixed(0)} links=${cost.links.toFixed(0)} log=${cost.log.toFixed(0)}` +
    ` vm_list=${cost.vmList.toFixed(0)} workers=${cost.workers.toFixed(0)} log_reads_s=${cost.logReadsPerSecond.toFixed(2)}` +
    ` core=${(100 * cost.share).toFixed(2)}% resident_mb=${cost.residentMb.toFixed(0)} owns=${cost.shards.join(',') || 'none'}`
  );
}

function describeStarts(result: bench.BenchResult): readonly string[] {
  return (result.starts ?? []).flatMap((row) => [
    `starts task_ms=${row.taskMs} starts_s=${row.startsPerSecond.toFixed(0)} home_starts_s=${row.homeStartsPerSecond.toFixed(0)}` +
      ` appends_s=${row.appendsPerSecond.toFixed(1)} records_s=${row.recordsPerSecond.toFixed(1)} appended_bytes_s=${row.appendedBytesPerSecond.toFixed(0)}` +
      ` standins_busy=${(100 * row.standinShare).toFixed(0)}% target_appends_s=200`,
    ...row.costs.map(describeCost),
  ]);
}
