/** Commands that check, publish and show release notes. */
import * as clipanion from 'clipanion';
import * as core from '@flamingoward/core';
import type * as client from './client.js';
import * as command from './command.js';
import * as files from './files.js';

const category = 'Releases';

/** Longest time that one request waits at the process for the acceptance of a release. */
const ACCEPTANCE_POLL_MS = 2_000;

/** Which processes have a release in force, as a process reports it. */
interface Acceptance {
  readonly accepted: boolean;
  readonly inForce: readonly string[];
  readonly waitingFor: readonly string[];
  readonly without: readonly string[];
  readonly tookMs?: number;
  readonly times?: readonly {
    readonly process: string;
    readonly tookMs: number;
  }[];
}

/** `release check`. */
export class ReleaseCheck extends command.RemoteCommand {
  static override paths = [['release', 'check']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'check a release note against the release in force',
    details:
      'Lists every fault with file, section and key, or what the note would change. Publishes nothing.',
  });

  file = clipanion.Option.String({ name: 'file' });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await requestCheck(target, this.file);
    if (answer.body.ok !== false)
      return this.reportAnswer(answer, (body) => [
        ...command.toTextList(body.lines),
        `${this.file} is in order; publish it with: flamingoward release publish ${this.file}`,
      ]);
    if (this.json) this.print(answer.text.trimEnd());
    this.printError(...command.listFaults(answer.body, this.file));
    return command.exitCodes.refused;
  }
}

/** `release diff`. */
export class ReleaseDiff extends command.RemoteCommand {
  static override paths = [['release', 'diff']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'show what a release note would change',
  });

  file = clipanion.Option.String({ name: 'file' });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await requestCheck(target, this.file);
    if (answer.body.ok !== false)
      return this.reportAnswer(answer, (body) =>
        command.toTextList(body.lines),
      );
    if (this.json) this.print(answer.text.trimEnd());
    this.printError(...command.listFaults(answer.body, this.file));
    return command.exitCodes.refused;
  }
}

async function requestCheck(
  target: client.Client,
  file: string,
): Promise<client.Answer> {
  const text = await files.readText(file);
  return target.ask({
    method: 'POST',
    path: '/releases/check',
    body: { text },
  });
}

/** `release publish`. */
export class ReleasePublish extends command.RemoteCommand {
  static override paths = [['release', 'publish']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'publish a release note and wait until it is in force',
    details:
      'Prints for each process when the release was in force there, and who is missing. Publishing the same note again is safe.',
  });

  file = clipanion.Option.String({ name: 'file' });

  publisher = clipanion.Option.String('--as', {
    env: 'USER',
    description: 'your name in the history (default: USER)',
  });

  waitMs = clipanion.Option.String('--wait-ms', '30000', {
    description: 'longest wait for the acceptance (default: 30000)',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const waitMs = parseWait(this.waitMs);
    const text = await files.readText(this.file);
    const answer = await target.ask({
      method: 'POST',
      path: '/releases',
      body: { text, publisher: this.publisher ?? 'operator' },
    });
    if (answer.status >= 300) return this.reportRefusal(answer, this.file);
    const id = String(answer.body.id);
    if (!this.json)
      this.print(`${id}: ${command.toTextList(answer.body.lines).join('; ')}`);
    return this.waitForAcceptance(target, id, waitMs);
  }

  private async waitForAcceptance(
    target: client.Client,
    id: string,
    waitMs: number,
  ): Promise<number> {
    const timers = core.createSystemTimers();
    const deadlineMs = timers.getNow() + waitMs;
    const printedProcesses = new Set<string>();
    for (;;) {
      const leftMs = Math.max(0, deadlineMs - timers.getNow());
      const answer = await fetchRelease(
        target,
        id,
        Math.min(ACCEPTANCE_POLL_MS, leftMs),
      );
      if (answer.status >= 300) return this.reportRefusal(answer);
      const acceptance = answer.body.acceptance as Acceptance;
      this.printTimes(acceptance, printedProcesses);
      if (acceptance.accepted || timers.getNow() >= deadlineMs)
        return this.reportEnd(answer, id, acceptance);
    }
  }

  private printTimes(
    acceptance: Acceptance,
    printedProcesses: Set<string>,
  ): void {
    if (this.json) return;
    for (const { process, tookMs } of acceptance.times ?? []) {
      if (printedProcesses.has(process)) continue;
      printedProcesses.add(process);
      this.print(`in force at ${process} after ${Math.round(tookMs)} ms`);
    }
  }

  private reportEnd(
    answer: client.Answer,
    id: string,
    acceptance: Acceptance,
  ): number {
    if (this.json) this.print(answer.text.trimEnd());
    else this.print(...describeAcceptance(acceptance));
    if (acceptance.accepted) return command.exitCodes.done;
    this.printError(
      `Release ${id} is adopted and needn't be published again; the processes it waits for take it over as soon as they read the log, or are left out after 60 s of silence. "flamingoward release show ${id}" shows the progress.`,
    );
    return command.exitCodes.refused;
  }
}

function parseWait(text: string): number {
  if (!/^[0-9]{1,7}$/.test(text))
    throw new command.UsageError('--wait-ms: expected a whole number of ms');
  return Number(text);
}

function fetchRelease(
  target: client.Client,
  id: string,
  waitMs: number,
): Promise<client.Answer> {
  const path = `/releases/${encodeURIComponent(id)}?wait_ms=${Math.ceil(waitMs)}`;
  return target.ask({ method: 'GET', path });
}

function describeAcceptance(acceptance: Acceptance): readonly string[] {
  const { accepted, inForce, waitingFor, without, tookMs } = acceptance;
  const after = tookMs === undefined ? '' : ` after ${Math.round(tookMs)} ms`;
  return [
    accepted
      ? `accepted${after}: in force at ${inForce.join(', ')}`
      : `in force at ${inForce.join(', ')}`,
    ...(waitingFor.length > 0 ? [`waiting for ${waitingFor.join(', ')}`] : []),
    ...(without.length > 0
      ? [`not waited for, because silent or gone: ${without.join(', ')}`]
      : []),
  ];
}

/** `release history`. */
export class ReleaseHistory extends command.RemoteCommand {
  static override paths = [['release', 'history']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'tell what the cluster does, and what it no longer does',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await target.ask({ method: 'GET', path: '/releases' });
    return this.reportAnswer(answer, (body) => [
      ...(body.ready === false
        ? [
            'this process does not know the release in force yet, so later releases may be missing',
          ]
        : []),
      ...command.toTextList(body.lines),
    ]);
  }
}

/** `release show`. */
export class ReleaseShow extends command.RemoteCommand {
  static override paths = [['release', 'show']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'show one release, its note and where it is in force',
  });

  id = clipanion.Option.String({ name: 'id', required: false });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await fetchRelease(target, this.id ?? 'current', 0);
    return this.reportAnswer(answer, (body) => [
      `${command.formatCell(body.id)}: ${command.formatCell(body.title)}`,
      `published by ${command.formatCell(body.publisher)} at offset ${command.formatCell(body.offset)}`,
      ...command.toTextList(body.lines),
      ...(body.acceptance === undefined
        ? []
        : describeAcceptance(body.acceptance as Acceptance)),
      '',
      command.formatCell(body.text).trimEnd(),
    ]);
  }
}
