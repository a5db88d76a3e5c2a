#!/usr/bin/env node
/** Command of the stand-ins: run a platform, generate a trace, replay a trace. */
import * as clipanion from 'clipanion';
import * as files from './platformfile.js';
import * as platforms from './platform.js';

class PlatformCommand extends clipanion.Command {
  static override paths = [['platform']];
  static override usage = clipanion.Command.Usage({
    description: 'run the platform that an INI file describes until a signal',
  });
  file = clipanion.Option.String();

  async execute(): Promise<number> {
    const platform = new platforms.Platform(files.loadPlatformFile(this.file));
    const { log, vmList, audit } = await platform.start();
    this.context.stdout.write(
      `event=started log=${log} vm_list=${vmList} audit=${audit}\n`,
    );
    await waitForSignal();
    await platform.stop();
    return 0;
  }
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

const cli = new clipanion.Cli({
  binaryLabel: 'flamingoward stand-ins',
  binaryName: 'standins',
});
cli.register(clipanion.Builtins.HelpCommand);
cli.register(PlatformCommand);
await cli.runExit(process.argv.slice(2));
