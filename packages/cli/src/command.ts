/** Base classes and helpers of all commands: address and key options, output and exit codes. */
import * as clipanion from 'clipanion';
import * as core from '@flamingoward/core';
import * as client from './client.js';

/** Exit codes of the command. */
export const exitCodes = {
  done: 0,
  /** The process refused the request, or the result is negative, such as a release note with faults. */
  refused: 1,
  usage: 2,
  unreachable: 3,
} as const;

/** Invalid arguments; the command ends with the exit code `usage`. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}

/** A command that maps errors to exit codes and writes to the context's output streams. */
export abstract class BaseCommand extends clipanion.Command {
  /** Runs the command and returns its exit code. */
  protected abstract run(): Promise<number>;

  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      return this.reportError(error);
    }
  }

  protected print(...lines: readonly string[]): void {
    for (const line of lines) this.context.stdout.write(`${line}\n`);
  }

  protected printError(...lines: readonly string[]): void {
    for (const line of lines) this.context.stderr.write(`${line}\n`);
  }

  private reportError(error: unknown): number {
    if (error instanceof UsageError) {
      this.printError(`usage: ${error.message}`);
      return exitCodes.usage;
    }
    if (error instanceof client.UnreachableError) {
      this.printError(error.message, describeNextStep(error));
      return exitCodes.unreachable;
    }
    throw error;
  }
}

function describeNextStep(error: client.UnreachableError): string {
  return error.isUnsent
    ? 'Nothing was done. Check that flamingowardd runs there, or use --address with [operators] listen of another process; any process answers.'
    : "The connection broke, so it isn't known whether the order was carried out. Ask for the state at another process before you repeat it; publishing the same note again and cancelling again do no harm.";
}

/** A command that sends requests to a process. */
export abstract class RemoteCommand extends BaseCommand {
  address = clipanion.Option.String('--address', {
    env: 'FLAMINGOWARD_ADDRESS',
    description:
      'ip:port of [operators] listen of any process (or FLAMINGOWARD_ADDRESS)',
  });

  key = clipanion.Option.String('--key', {
    env: 'FLAMINGOWARD_KEY',
    description: 'key of [operators] (better: FLAMINGOWARD_KEY)',
  });

  json = clipanion.Option.Boolean('--json', false, {
    description: 'print the answer as JSON',
  });

  /** Sends the requests of the command and returns the exit code. */
  protected abstract runWith(target: client.Client): Promise<number>;

  protected async run(): Promise<number> {
    const { address, key } = this;
    if (address === undefined)
      throw new UsageError(
        'no process given; use --address ip:port or set FLAMINGOWARD_ADDRESS to [operators] listen of any process',
      );
    if (key === undefined)
      throw new UsageError(
        'no key given; set FLAMINGOWARD_KEY to the key of [operators], or use --key',
      );
    const origin = client.parseOrigin(address);
    if (origin === undefined)
      throw new UsageError(
        `${address} isn't an address; expected ip:port, such as 10.0.0.1:7001`,
      );
    const target = client.createClient(origin, key);
    try {
      return await this.runWith(target);
    } finally {
      await target.close();
    }
  }

  /** Prints a successful answer with `describe`, or the error of a refusal, and returns the exit code. */
  protected reportAnswer(
    answer: client.Answer,
    describe: (body: client.Answer['body']) => readonly string[],
    file?: string,
  ): number {
    if (answer.status >= 300) return this.reportRefusal(answer, file);
    if (this.json) this.print(answer.text.trimEnd());
    else this.print(...describe(answer.body));
    return exitCodes.done;
  }

  protected reportRefusal(answer: client.Answer, file?: string): number {
    if (this.json) this.print(answer.text.trimEnd());
    const { error } = answer.body;
    if (typeof error !== 'string')
      throw new client.UnreachableError(
        `${this.address ?? ''} answers with status ${answer.status}, but not as a process of flamingoward; check the address`,
        false,
      );
    this.printError(error, ...listFaults(answer.body, file));
    return exitCodes.refused;
  }
}

/** Formats the faults of an answer; `file` replaces the file name in them by the one that the operator gave. */
export function listFaults(
  body: client.Answer['body'],
  file: string | undefined,
): readonly string[] {
  if (!Array.isArray(body.faults)) return [];
  return (body.faults as readonly (string | core.releases.ConfigFault)[]).map(
    (fault) =>
      typeof fault === 'string'
        ? fault
        : core.describeFault({ ...fault, file: file ?? fault.file }),
  );
}

/** Formats headings and rows as lines with aligned columns. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const allRows = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...allRows.map((row) => row[column]?.length ?? 0)),
  );
  return allRows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

/** Formats a value of an answer for a table cell; a dash stands for a missing value or an object. */
export function formatCell(value: unknown): string {
  if (typeof value === 'string') return value;
  return typeof value === 'number' || typeof value === 'boolean'
    ? String(value)
    : '-';
}

/** Returns a value of an answer as a list of objects; empty when it isn't a list. */
export function toObjectList(
  value: unknown,
): readonly Readonly<Record<string, unknown>>[] {
  return Array.isArray(value)
    ? (value as readonly Readonly<Record<string, unknown>>[])
    : [];
}

/** Returns a value of an answer as a list of strings; empty when it isn't a list. */
export function toTextList(value: unknown): readonly string[] {
  return Array.isArray(value) ? value.map(String) : [];
}
