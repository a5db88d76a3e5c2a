/** Commands that check and print a settings file, without contacting a process. */
import * as clipanion from 'clipanion';
import * as core from '@flamingoward/core';
import * as command from './command.js';
import * as files from './files.js';

const category = 'Settings';

abstract class SettingsCommand extends command.BaseCommand {
  file = clipanion.Option.String({ name: 'file' });

  protected async readSettings(): Promise<core.settings.Settings | undefined> {
    const text = await files.readText(this.file);
    const result = core.parseSettings(text, this.file);
    if ('settings' in result) return result.settings;
    this.printError(...result.faults.map(core.describeFault));
    return undefined;
  }
}

/** `settings check`. */
export class SettingsCheck extends SettingsCommand {
  static override paths = [['settings', 'check']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'check a settings file and list every fault',
  });

  protected async run(): Promise<number> {
    const settings = await this.readSettings();
    if (settings === undefined) return command.exitCodes.refused;
    this.print(`${this.file} is in order`);
    return command.exitCodes.done;
  }
}

/** `settings print`. */
export class SettingsPrint extends SettingsCommand {
  static override paths = [['settings', 'print']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'print the settings with their defaults; keys are masked',
  });

  protected async run(): Promise<number> {
    const settings = await this.readSettings();
    if (settings === undefined) return command.exitCodes.refused;
    this.context.stdout.write(core.printSettings(settings));
    return command.exitCodes.done;
  }
}
