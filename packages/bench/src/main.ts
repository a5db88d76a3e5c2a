/** Entry point of the command `bench` with its subcommands. */
import * as clipanion from 'clipanion';
import * as cost from './cost/cost.js';
import * as cell from './cell/command.js';
import * as table from './decisions/table.js';

class DecisionsCommand extends clipanion.Command {
  static override readonly paths = [['decisions']];
  static override readonly usage = clipanion.Command.Usage({
    description:
      'Replays seeded traces through the scheduler and the baselines.',
  });
  readonly only = clipanion.Option.String('--trace', '', {
    description: 'Only traces whose name contains this.',
  });

  override execute(): Promise<number> {
    const rows = table.measureRows(this.only);
    this.context.stdout.write(`${table.formatTable(rows)}\n\n`);
    this.context.stdout.write(`${table.formatTargets(rows)}\n`);
    return Promise.resolve(0);
  }
}

class CostCommand extends clipanion.Command {
  static override readonly paths = [['cost']];
  static override readonly usage = clipanion.Command.Usage({
    description: 'Measures processor time and memory of decisions.',
  });

  override execute(): Promise<number> {
    this.context.stdout.write(`${cost.measureCost().join('\n')}\n`);
    return Promise.resolve(0);
  }
}

const cli = new clipanion.Cli({ binaryName: 'bench' });
cli.register(DecisionsCommand);
cli.register(CostCommand);
cli.register(cell.CellCommand);
cli.register(clipanion.Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
