/** Time until a release is in force at every process. */
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as standins from '@flamingoward/standins';
import * as calls from './calls.js';
import type * as cells from './cell.js';
import * as waits from './waits.js';

/** Times in ms from the publisher's call until the last process wrote that it reads the release. */
export interface ReleaseTimes {
  readonly processes: number;
  readonly publications: number;
  /** Publications that weren't adopted, or not seen in force everywhere. */
  readonly failed: readonly string[];
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Time of the publisher's call. */
  readonly callP50: number;
  readonly callP99: number;
}

/** One publication while a process was stopped. */
export interface PausedRelease {
  readonly process: string;
  /** From the call until the other processes had the release in force. */
  readonly othersMs: number | undefined;
  /** From SIGCONT until the stopped process had it in force. */
  readonly afterResumeMs: number | undefined;
}

const FIRST_RELEASE = '2026-12-04.1';
const IN_FORCE_LIMIT_MS = 10_000;
const PAUSE_MS = 4_000;
const MAX_GAP_MS = 250;

interface Publication {
  readonly id: string;
  readonly calledMs: number;
  readonly tookMs: number;
  readonly fault: string | undefined;
}

/** Publishes notes one after another, at the processes in turn, at seeded distances. */
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
      await waits.waitMs(uniform.uniformInt(this.#generator, 0, MAX_GAP_MS));
    }
    const seen = this.#readSeen();
    const failed: string[] = [];
    const times: number[] = [];
    for (const { id, calledMs, fault } of publications) {
      const last = findLast(seen, id, this.#cell.daemons.length);
      if (fault !== undefined) failed.push(`${id}: ${fault}`);
      else if (last === undefined)
        failed.push(`${id}: not in force everywhere`);
      else times.push(last - calledMs);
    }
    const tooks = publications.map((each) => each.tookMs);
    return {
      processes: this.#cell.daemons.length,
      publications: count,
      failed,
      p50: waits.selectPercentile(times, 0.5),
      p99: waits.selectPercentile(times, 0.99),
      max: Math.max(...times),
      callP50: waits.selectPercentile(tooks, 0.5),
      callP99: waits.selectPercentile(tooks, 0.99),
    };
  }

  /** Stops a process, publishes at another one, and resumes the first after 4 s. */
  async measurePaused(process: string): Promise<PausedRelease> {
    const others = this.#cell.daemons.filter(({ name }) => name !== process);
    this.#cell.sendSignal(process, 'SIGSTOP');
    const stoppedMs = performance.now();
    const publication = await this.#publish(others);
    await waits.waitMs(PAUSE_MS - (performance.now() - stoppedMs));
    const resumedMs = Date.now();
    this.#cell.sendSignal(process, 'SIGCONT');
    await this.#waitInForce(publication.id, this.#cell.daemons);
    const seen = this.#readSeen().get(publication.id);
    const othersSeen = others.map(({ name }) => seen?.get(name) ?? NaN);
    const own = seen?.get(process);
    const last = Math.max(...othersSeen);
    return {
      process,
      othersMs: Number.isNaN(last) ? undefined : last - publication.calledMs,
      afterResumeMs: own === undefined ? undefined : own - resumedMs,
    };
  }

  async #publish(at = this.#cell.daemons): Promise<Publication> {
    this.#serial += 1;
    const id = `2027-01-01.${this.#serial}`;
    const daemon = at[this.#serial % at.length];
    if (daemon === undefined) throw new Error('no processes');
    const text = `[release]
id = ${id}
base = ${this.#base}
title = Measurement ${this.#serial}
[changed team enhancement]
weight = ${1 + (this.#serial % 5)}
`;
    const calledMs = Date.now();
    const startMs = performance.now();
    const answer = await calls.publish(daemon, text);
    const tookMs = performance.now() - startMs;
    if (answer.status === 200) this.#base = id;
    const fault =
      answer.status === 200 ? undefined : `${answer.status} ${answer.text}`;
    return { id, calledMs, tookMs, fault };
  }

  /** Waits until all have it; one that doesn't shows in the processes' logs. */
  async #waitInForce(
    id: string,
    daemons: readonly standins.Daemon[],
  ): Promise<void> {
    await Promise.all(
      daemons.map((daemon) =>
        standins
          .waitUntil(id, IN_FORCE_LIMIT_MS, () =>
            standins.hasRelease(daemon, id),
          )
          .catch(() => undefined),
      ),
    );
  }

  /** Times of day at which each process wrote that it adopted a release, by release and process. */
  #readSeen(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const seen = new Map<string, Map<string, number>>();
    for (const { name } of this.#cell.daemons)
      for (const line of this.#cell.readLog(name)) {
        const match =
          /^time=(\S+) .* event=release\.read id=(\S+) .*verdict=adopted/.exec(
            line,
          );
        if (match === null) continue;
        const [, time = '', id = ''] = match;
        const known = seen.get(id) ?? new Map<string, number>();
        seen.set(id, known);
        const at = Date.parse(time.replaceAll('"', ''));
        if (!known.has(name)) known.set(name, at);
      }
    return seen;
  }
}

function findLast(
  seen: ReadonlyMap<string, ReadonlyMap<string, number>>,
  id: string,
  processes: number,
): number | undefined {
  const times = seen.get(id);
  if (times?.size !== processes) return undefined;
  return Math.max(...times.values());
}
