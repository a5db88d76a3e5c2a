/** Command line of the subcommand `cell`. */
import * as clipanion from 'clipanion';
import * as bench from './bench.js';
import * as report from './report.js';

/** Measures a whole cell of real daemons on this machine. */
export class CellCommand extends clipanion.Command {
  static override readonly paths = [['cell']];
  static override readonly usage = clipanion.Command.Usage({
    description:
      'Measures a whole cell: real daemons and stand-ins for the platform on loopback.',
  });
  readonly processes = clipanion.Option.String('--processes', '9', {
    description: 'Number of daemons.',
  });
  readonly workers = clipanion.Option.String('--workers', '2800', {
    description: 'Largest number of workers of the part "idle".',
  });
  readonly seed = clipanion.Option.String('--seed', '1', {
    description: 'Seed of the publications and of the replay.',
  });
  readonly quick = clipanion.Option.Boolean('--quick', false, {
    description: 'Fewer rounds and only the small fleet.',
  });
  readonly json = clipanion.Option.Boolean('--json', false, {
    description: 'Print the result as JSON.',
  });
  readonly part = clipanion.Option.Array('--part', [], {
    description: `Only these parts: ${bench.parts.join(', ')}.`,
  });

  override async execute(): Promise<number> {
    const unknown = this.part.find((name) => !isPart(name));
    if (unknown !== undefined)
      throw new clipanion.UsageError(`--part: unknown part ${unknown}`);
    const chosen = this.part.filter(isPart);
    const result = await bench.runBench(
      {
        processes: parseCount('--processes', this.processes),
        workers: parseCount('--workers', this.workers),
        seed: parseCount('--seed', this.seed),
        quick: this.quick,
        parts: chosen.length === 0 ? bench.parts : chosen,
      },
      (line) => this.context.stderr.write(`${line}\n`),
    );
    const text = this.json
      ? JSON.stringify(result, undefined, 2)
      : report.describeBench(result).join('\n');
    this.context.stdout.write(`${text}\n`);
    return Object.keys(result.failed).length === 0 ? 0 : 1;
  }
}

function isPart(name: string): name is bench.Part {
  return bench.parts.some((part) => part === name);
}

function parseCount(option: string, text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1)
    throw new clipanion.UsageError(`${option}: expected a whole number from 1`);
  return value;
}
