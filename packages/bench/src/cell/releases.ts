/**
 * Measures the time from publishing a release until it is in force at every process,
 * with all processes running and with one of them paused.
 */
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as standins from '@flamingoward/standins';
import * as calls from './calls.js';
import type * as cells from './cell.js';
import * as waits from './waits.js';

/** Times in ms from the publisher's call until the last process logged that it adopted the release. */
export interface ReleaseTimes {
  readonly processes: number;
  readonly publications: number;
  /** Publications that were refused or didn't come into force at every process, with the reason. */
  readonly failed: readonly string[];
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Duration of the publisher's call, in ms. */
  readonly callP50: number;
  readonly callP99: number;
}

/** Times of one publication while a process was paused. */
export interface PausedRelease {
  readonly process: string;
  /** Time from the call until all other processes had adopted the release. */
  readonly othersMs: number | undefined;
  /** Time from SIGCONT until the paused process had adopted it. */
  readonly afterResumeMs: number | undefined;
}

const FIRST_RELEASE = '2026-12-04.1';
const IN_FORCE_TIMEOUT_MS = 10_000;
const PAUSE_MS = 4_000;
const MAX_PUBLICATION_GAP_MS = 250;

interface Publication {
  readonly id: string;
  readonly calledAtMs: number;
  readonly callDurationMs: number;
  readonly error: string | undefined;
}

/** Publishes release notes one after another at each process in turn, with seeded random gaps. */
export class ReleaseBench {
  readonly #cell: cells.Cell;
  readonly #generator: ReturnType<typeof generators.xoroshiro128plus>;
  #base = FIRST_RELEASE;
  #serial = 0;

  constructor(cell: cells.Cell, seed: number) {
    this.#cell = cell;
    this.#generator = generators.xoroshiro128plus(seed);
  }

  /** Measures `count` publications with all processes running. */
  async measure(count: number): Promise<ReleaseTimes> {
    const publications: Publication[] = [];
    for (let index = 0; index < count; index += 1) {
      const publication = await this.#publish();
      publications.push(publication);
      await this.#waitInForce(publication.id, this.#cell.daemons);
      await waits.waitMs(
        uniform.uniformInt(this.#generator, 0, MAX_PUBLICATION_GAP_MS),
      );
    }
    const adoptions = this.#readAdoptions();
    const failed: string[] = [];
    const timesMs: number[] = [];
    for (const { id, calledAtMs, error } of publications) {
      const lastAdoptionMs = findLastAdoption(
        adoptions,
        id,
        this.#cell.daemons.length,
      );
      if (error !== undefined) failed.push(`${id}: ${error}`);
      else if (lastAdoptionMs === undefined)
        failed.push(`${id}: not in force everywhere`);
      else timesMs.push(lastAdoptionMs - calledAtMs);
    }
    const callDurationsMs = publications.map((each) => each.callDurationMs);
    return {
      processes: this.#cell.daemons.length,
      publications: count,
      failed,
      p50: waits.selectPercentile(timesMs, 0.5),
      p99: waits.selectPercentile(timesMs, 0.99),
      max: Math.max(...timesMs),
      callP50: waits.selectPercentile(callDurationsMs, 0.5),
      callP99: waits.selectPercentile(callDurationsMs, 0.99),
    };
  }

  /** Pauses a process, publishes at another one, and resumes the paused one after `PAUSE_MS`. */
  async measurePaused(process: string): Promise<PausedRelease> {
    const others = this.#cell.daemons.filter(({ name }) => name !== process);
    this.#cell.sendSignal(process, 'SIGSTOP');
    const stoppedMs = performance.now();
    const publication = await this.#publish(others);
    await waits.waitMs(PAUSE_MS - (performance.now() - stoppedMs));
    const resumedMs = Date.now();
    this.#cell.sendSignal(process, 'SIGCONT');
    await this.#waitInForce(publication.id, this.#cell.daemons);
    const adoptions = this.#readAdoptions().get(publication.id);
    const otherAdoptionsMs = others.map(
      ({ name }) => adoptions?.get(name) ?? NaN,
    );
    const ownAdoptionMs = adoptions?.get(process);
    const lastOtherMs = Math.max(...otherAdoptionsMs);
    return {
      process,
      othersMs: Number.isNaN(lastOtherMs)
        ? undefined
        : lastOtherMs - publication.calledAtMs,
      afterResumeMs:
        ownAdoptionMs === undefined ? undefined : ownAdoptionMs - resumedMs,
    };
  }

  async #publish(daemons = this.#cell.daemons): Promise<Publication> {
    this.#serial += 1;
    const id = `2027-01-01.${this.#serial}`;
    const daemon = daemons[this.#serial % daemons.length];
    if (daemon === undefined) throw new Error('cell has no daemons');
    const text = `[release]
id = ${id}
base = ${this.#base}
title = Measurement ${this.#serial}
[changed team enhancement]
weight = ${1 + (this.#serial % 5)}
`;
    const calledAtMs = Date.now();
    const startMs = performance.now();
    const response = await calls.publish(daemon, text);
    const callDurationMs = performance.now() - startMs;
    if (response.status === 200) this.#base = id;
    const error =
      response.status === 200
        ? undefined
        : `${response.status} ${response.text}`;
    return { id, calledAtMs, callDurationMs, error };
  }

  /** Waits until all daemons have the release; a time-out is ignored, since the adoption times show it. */
  async #waitInForce(
    id: string,
    daemons: readonly standins.Daemon[],
  ): Promise<void> {
    await Promise.all(
      daemons.map((daemon) =>
        standins
          .waitUntil(id, IN_FORCE_TIMEOUT_MS, () =>
            standins.hasRelease(daemon, id),
          )
          .catch(() => undefined),
      ),
    );
  }

  /** Reads from the logs at what time (epoch ms) each process adopted each release, by release id and process. */
  #readAdoptions(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const adoptions = new Map<string, Map<string, number>>();
    for (const { name } of this.#cell.daemons)
      for (const line of this.#cell.readLog(name)) {
        const match =
          /^time=(\S+) .* event=release\.read id=(\S+) .*verdict=adopted/.exec(
            line,
          );
        if (match === null) continue;
        const [, time = '', id = ''] = match;
        const adoptedMs = adoptions.get(id) ?? new Map<string, number>();
        adoptions.set(id, adoptedMs);
        const timeMs = Date.parse(time.replaceAll('"', ''));
        if (!adoptedMs.has(name)) adoptedMs.set(name, timeMs);
      }
    return adoptions;
  }
}

function findLastAdoption(
  adoptions: ReadonlyMap<string, ReadonlyMap<string, number>>,
  id: string,
  processes: number,
): number | undefined {
  const adoptionTimesMs = adoptions.get(id);
  if (adoptionTimesMs?.size !== processes) return undefined;
  return Math.max(...adoptionTimesMs.values());
}
