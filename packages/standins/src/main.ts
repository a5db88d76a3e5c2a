#!/usr/bin/env node
/** Command line of the stand-ins: run a platform, generate a trace, replay a trace against running daemons. */
import * as fs from 'node:fs';
import * as clipanion from 'clipanion';
import * as undici from 'undici';
import * as platformFiles from './platformfile.js';
import * as generators from './generate.js';
import * as platforms from './platform.js';
import * as replays from './replay.js';
import * as reports from './report.js';
import * as traces from './trace.js';

class PlatformCommand extends clipanion.Command {
  static override paths = [['platform']];
  static override usage = clipanion.Command.Usage({
    description: 'run the platform that an INI file describes until a signal',
  });
  file = clipanion.Option.String();

  async execute(): Promise<number> {
    const platform = new platforms.Platform(
      platformFiles.loadPlatformFile(this.file),
    );
    const { log, vmList, audit } = await platform.start();
    this.context.stdout.write(
      `event=started log=${log} vm_list=${vmList} audit=${audit}\n`,
    );
    await waitForSignal();
    await platform.stop();
    return 0;
  }
}

class GenerateCommand extends clipanion.Command {
  static override paths = [['generate']];
  static override usage = clipanion.Command.Usage({
    description:
      'write the trace of a customer; the same seed gives the same trace',
  });
  customer = clipanion.Option.String();
  out = clipanion.Option.String();
  seed = clipanion.Option.String('--seed', '1');
  durationMs = clipanion.Option.String('--duration-ms', '20000');

  execute(): Promise<number> {
    const { customer } = this;
    if (customer !== 'sayeban' && customer !== 'nilewave')
      throw new clipanion.UsageError('expected sayeban or nilewave');
    const trace = generators.generateTrace(
      customer,
      Number(this.seed),
      Number(this.durationMs),
    );
    fs.writeFileSync(this.out, traces.formatTrace(trace));
    this.context.stdout.write(`event=written lines=${trace.events.length}\n`);
    return Promise.resolve(0);
  }
}

class ReplayCommand extends clipanion.Command {
  static override paths = [['replay']];
  static override usage = clipanion.Command.Usage({
    description: 'replay a trace against running daemons and print a report',
  });
  file = clipanion.Option.String();
  callers = clipanion.Option.String('--callers', {
    required: true,
    description: 'callers addresses of the daemons, separated by commas',
  });
  operators = clipanion.Option.String('--operators', '', {
    description: 'operators addresses of the daemons, for their metrics',
  });
  key = clipanion.Option.String('--key', '');
  audit = clipanion.Option.String('--audit', '', {
    description: 'audit address of the platform',
  });
  run = clipanion.Option.String('--run', Date.now().toString(36));

  async execute(): Promise<number> {
    const result = await replays.replayTrace(traces.loadTrace(this.file), {
      callers: this.callers.split(','),
      run: this.run,
    });
    const report = reports.buildReport(result, await this.fetchAudit());
    this.context.stdout.write(reports.renderReport(report));
    for (const address of this.operators.split(',').filter(Boolean))
      this.context.stdout.write(await reports.fetchCost(address, this.key));
    return reports.hasPassed(report) ? 0 : 1;
  }

  async fetchAudit(): Promise<platforms.PlatformAudit | undefined> {
    if (this.audit === '') return undefined;
    const answer = await undici.request(`http://${this.audit}/-/audit`);
    return (await answer.body.json()) as platforms.PlatformAudit;
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
cli.register(GenerateCommand);
cli.register(ReplayCommand);
await cli.runExit(process.argv.slice(2));
