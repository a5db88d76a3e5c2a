/** Commands that show workers, backend servers, processes and dumps, and that start the planned stop of a process. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';

const category = 'Cluster';

type Body = client.Answer['body'];

/** `workers`. */
export class Workers extends command.RemoteCommand {
  static override paths = [['workers']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'list the workers',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await target.ask({ method: 'GET', path: '/workers' });
    return this.reportAnswer(answer, (body) =>
      command.formatTable(
        ['ID', 'ZONE', 'RACK', 'STATE', 'SIZE', 'USED', 'TASKS', 'NO NEW WORK'],
        command.toObjectList(body.workers).map(listWorkerCells),
      ),
    );
  }
}

function listWorkerCells(worker: Body): readonly string[] {
  return [
    command.formatCell(worker.id),
    command.formatCell(worker.availabilityZone),
    command.formatCell(worker.rack),
    command.formatCell(worker.state),
    formatResources(worker.size),
    formatResources(worker.used),
    command.formatCell(worker.running),
    command.formatCell(worker.closedBy),
  ];
}

function formatResources(value: unknown): string {
  if (typeof value !== 'object' || value === null) return '-';
  const { cores, memoryMb, gpus } = value as Body;
  return [cores, memoryMb, gpus].map(command.formatCell).join('/');
}

/** `backends`. */
export class Backends extends command.RemoteCommand {
  static override paths = [['backends']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'list the backend servers',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await target.ask({ method: 'GET', path: '/backends' });
    return this.reportAnswer(answer, (body) =>
      command.formatTable(
        ['ID', 'BACKEND', 'ZONE', 'STATE', 'BUSY SLOTS', 'NO NEW REQUESTS'],
        command
          .toObjectList(body.backends)
          .map((server) =>
            [
              server.id,
              server.backend,
              server.availabilityZone,
              server.state,
              server.busySlots,
              server.closedBy,
            ].map(command.formatCell),
          ),
      ),
    );
  }
}

/** `processes`. */
export class Processes extends command.RemoteCommand {
  static override paths = [['processes']];
  static override usage = clipanion.Command.Usage({
    category,
    description:
      'list the processes: health, release in force and owned shards',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await target.ask({ method: 'GET', path: '/processes' });
    return this.reportAnswer(answer, describeProcesses);
  }
}

function describeProcesses(body: Body): readonly string[] {
  const logUnreachableMs = body.logAwayMs;
  return [
    `answered by ${command.formatCell(body.answeredBy)}, release ${command.formatCell(body.release)} in force`,
    ...(body.ready === false
      ? [
          'this process does not know the release in force yet and takes no requests',
        ]
      : []),
    ...(logUnreachableMs === undefined
      ? []
      : [
          `the log service has not answered for ${command.formatCell(logUnreachableMs)} ms`,
        ]),
    ...command.formatTable(
      ['NAME', 'ZONE', 'HEALTH', 'STATE', 'HEARD MS AGO', 'RELEASE', 'SHARDS'],
      command.toObjectList(body.processes).map(listProcessCells),
    ),
  ];
}

function listProcessCells(process: Body): readonly string[] {
  return [
    ...[
      process.name,
      process.availabilityZone,
      process.health,
      process.state,
      process.heardAgoMs,
      process.release ?? `offset ${command.formatCell(process.releaseOffset)}`,
    ].map(command.formatCell),
    command.toObjectList(process.shards).map(formatShard).join(' ') || '-',
  ];
}

function formatShard(ownedShard: Body): string {
  const { offset, provisional } = ownedShard.epoch as Body;
  const suffix = provisional === 0 ? '' : `+${command.formatCell(provisional)}`;
  return `${command.formatCell(ownedShard.shard)}:${command.formatCell(offset)}${suffix}`;
}

/** `dump`. */
export class Dump extends command.RemoteCommand {
  static override paths = [['dump']];
  static override usage = clipanion.Command.Usage({
    category,
    description:
      'print the state of a process, or of one of its parts, as JSON',
  });

  part = clipanion.Option.String({ name: 'part', required: false });

  protected async runWith(target: client.Client): Promise<number> {
    const { part } = this;
    const answer = await target.ask({ method: 'GET', path: '/dump' });
    if (answer.status >= 300) return this.reportRefusal(answer);
    const names = Object.keys(answer.body);
    if (part !== undefined && !names.includes(part))
      throw new command.UsageError(
        `no part ${part}; expected one of ${names.join(', ')}`,
      );
    const selected = part === undefined ? answer.body : answer.body[part];
    this.print(JSON.stringify(selected, null, 2));
    return command.exitCodes.done;
  }
}

/** `drain`. */
export class Drain extends command.RemoteCommand {
  static override paths = [['drain']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'begin the planned stop of the process at the address',
    details:
      'Names the process, so that a wrong address stops nothing. The process hands over its shards, answers the work in progress and exits.',
  });

  process = clipanion.Option.String({ name: 'process' });

  protected async runWith(target: client.Client): Promise<number> {
    const processes = await target.ask({ method: 'GET', path: '/processes' });
    if (processes.status >= 300) return this.reportRefusal(processes);
    const name = command.formatCell(processes.body.answeredBy);
    if (name !== this.process) {
      this.printError(
        `the process at ${target.origin} is ${name}, not ${this.process}; nothing was done. Use --address with [operators] listen of ${this.process}.`,
      );
      return command.exitCodes.refused;
    }
    const answer = await target.ask({ method: 'POST', path: '/drain' });
    return this.reportAnswer(answer, () => [
      `${name} takes no new work and stops; "flamingoward processes" at another process shows who takes over its shards`,
    ]);
  }
}
