/** The list of all commands of `flamingoward`, and the entry point that runs a command line. */
import type * as tty from 'node:tty';
import * as clipanion from 'clipanion';
import * as cluster from './cluster.js';
import * as command from './command.js';
import * as jobs from './jobs.js';
import * as release from './release.js';
import * as settings from './settings.js';

const commands = [
  release.ReleaseCheck,
  release.ReleaseDiff,
  release.ReleasePublish,
  release.ReleaseHistory,
  release.ReleaseShow,
  jobs.JobSubmit,
  jobs.JobStatus,
  jobs.JobCancel,
  jobs.JobList,
  jobs.JobExplain,
  jobs.RequestExplain,
  cluster.Workers,
  cluster.Backends,
  cluster.Processes,
  cluster.Dump,
  cluster.Drain,
  settings.SettingsCheck,
  settings.SettingsPrint,
  clipanion.Builtins.HelpCommand,
];

/**
 * Runs a command line, given without the program's name, and returns the exit code.
 * `extraCommands` are those of programs that know more than this package.
 */
export async function runCommand(
  args: readonly string[],
  context: clipanion.BaseContext,
  extraCommands: readonly clipanion.CommandClass[] = [],
): Promise<number> {
  const cli = new clipanion.Cli({
    binaryName: 'flamingoward',
    binaryLabel: 'The command for operators of flamingoward',
    enableColors: (context.stdout as Partial<tty.WriteStream>).isTTY === true,
  });
  for (const commandClass of [...commands, ...extraCommands])
    cli.register(commandClass);
  try {
    return await cli.run(cli.process([...args], context), context);
  } catch (error) {
    context.stderr.write(cli.error(error, { colored: false }));
    return command.exitCodes.usage;
  }
}

/** Runs the program's own command line and sets the exit code of the process. */
export async function runProgram(
  extraCommands: readonly clipanion.CommandClass[] = [],
): Promise<void> {
  // A reader of the output, such as `head`, may close the pipe early; that isn't an error.
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error;
    process.exit();
  });
  process.exitCode = await runCommand(
    process.argv.slice(2),
    clipanion.Cli.defaultContext,
    extraCommands,
  );
}
