/** Commands that submit, list, cancel and explain jobs, and explain requests. */
import * as clipanion from 'clipanion';
import type * as client from './client.js';
import * as command from './command.js';
import * as files from './files.js';

const category = 'Jobs and requests';

type Body = client.Answer['body'];

/** `job submit`. */
export class JobSubmit extends command.RemoteCommand {
  static override paths = [['job', 'submit']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'submit a job from a JSON file, from options, or from both',
    details:
      'Options replace what the file says. With --idempotency-key the command may be repeated: the job is accepted once.',
    examples: [
      [
        'Four tasks that cut fabric',
        '$0 job submit --kind batch --name cut --team roof --class cutting --count 4 --cores 1 --memory-mb 512 --run-ms 60000 --work run=cut',
      ],
    ],
  });

  file = clipanion.Option.String({ name: 'file', required: false });
  kind = clipanion.Option.String('--kind', {
    description: 'batch, gang or service',
  });
  name = clipanion.Option.String('--name', { description: 'name of the job' });
  team = clipanion.Option.String('--team', {
    description: 'team whose quota it uses',
  });
  jobClass = clipanion.Option.String('--class', {
    description: 'class of the release in force',
  });
  count = clipanion.Option.String('--count', {
    description: 'number of tasks, members or replicas',
  });
  cores = clipanion.Option.String('--cores', {
    description: 'cores of each task',
  });
  memoryMb = clipanion.Option.String('--memory-mb', {
    description: 'memory of each task in MB',
  });
  gpus = clipanion.Option.String('--gpus', {
    description: 'GPUs of each task (default: 0)',
  });
  runMs = clipanion.Option.String('--run-ms', {
    description: 'declared run time of a task in ms; 0 for services',
  });
  region = clipanion.Option.String('--region', {
    description: 'region to run in',
  });
  zone = clipanion.Option.String('--zone', {
    description: 'availability zone to run in',
  });
  maxRacks = clipanion.Option.String('--max-racks', {
    description: 'most racks that a gang may span',
  });
  work = clipanion.Option.Array('--work', {
    description: 'key=value for the worker; may be repeated',
  });
  idempotencyKey = clipanion.Option.String('--idempotency-key', {
    description: 'makes it safe to repeat the command',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const body = await this.buildJob();
    const key = this.idempotencyKey;
    const headers = key === undefined ? {} : { 'idempotency-key': key };
    const answer = await target.ask({
      method: 'POST',
      path: '/jobs',
      body,
      headers,
    });
    return this.reportAnswer(answer, ({ id }) => [
      `accepted as ${command.formatCell(id)}`,
    ]);
  }

  private async buildJob(): Promise<Body> {
    const fileFields = await readJobFile(this.file);
    const size = {
      gpus: 0,
      ...(fileFields.size as Body | undefined),
      ...parseNumberField('--cores', 'cores', this.cores),
      ...parseNumberField('--memory-mb', 'memoryMb', this.memoryMb),
      ...parseNumberField('--gpus', 'gpus', this.gpus),
    };
    return {
      ...fileFields,
      ...buildTextField('kind', this.kind),
      ...buildTextField('name', this.name),
      ...buildTextField('team', this.team),
      ...buildTextField('jobClass', this.jobClass),
      ...buildTextField('region', this.region),
      ...buildTextField('availabilityZone', this.zone),
      ...parseNumberField('--count', 'count', this.count),
      ...parseNumberField('--run-ms', 'declaredMs', this.runMs),
      ...parseNumberField('--max-racks', 'maxRacks', this.maxRacks),
      size,
      work: {
        ...(fileFields.work as Body | undefined),
        ...parseWork(this.work),
      },
    };
  }
}

async function readJobFile(file: string | undefined): Promise<Body> {
  if (file === undefined) return {};
  const text = await files.readText(file);
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null && !Array.isArray(value))
      return value as Body;
  } catch {
    // Invalid JSON is reported below, like JSON that isn't an object.
  }
  throw new command.UsageError(`${file}: expected a JSON object`);
}

function buildTextField(key: string, value: string | undefined): Body {
  return value === undefined ? {} : { [key]: value };
}

function parseNumberField(
  option: string,
  key: string,
  value: string | undefined,
): Body {
  if (value === undefined) return {};
  if (!/^[0-9]+(\.[0-9]+)?$/.test(value))
    throw new command.UsageError(
      `${option} ${value}: expected a number without a unit`,
    );
  return { [key]: Number(value) };
}

function parseWork(pairs: readonly string[] | undefined): Body {
  return Object.fromEntries(
    (pairs ?? []).map((pair) => {
      const equals = pair.indexOf('=');
      if (equals < 1)
        throw new command.UsageError(`--work ${pair}: expected key=value`);
      return [pair.slice(0, equals), pair.slice(equals + 1)];
    }),
  );
}

/** `job status`. */
export class JobStatus extends command.RemoteCommand {
  static override paths = [['job', 'status']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'show the state of a job and of its tasks',
  });

  id = clipanion.Option.String({ name: 'id' });

  protected async runWith(target: client.Client): Promise<number> {
    const answer = await target.ask({
      method: 'GET',
      path: buildJobPath(this.id),
    });
    return this.reportAnswer(answer, describeJob);
  }
}

function buildJobPath(id: string): string {
  return `/jobs/${encodeURIComponent(id)}`;
}

function describeJob(body: Body): readonly string[] {
  const job = body.job as Body;
  const spec = job.spec as Body;
  const counts = Object.entries(body.counts as Body);
  const endReason = job.endReason;
  return [
    `${command.formatCell(job.id)}: ${command.formatCell(job.state)}${job.cancelRequested === true ? ', cancellation requested' : ''}`,
    `${command.formatCell(spec.kind)} ${command.formatCell(spec.name)} of team ${command.formatCell(spec.team)}, class ${command.formatCell(spec.jobClass)}, decided in ${command.formatCell(job.shard)}`,
    ...(body.stale === true
      ? [
          'the log service does not answer this process, so the job may have been cancelled or have ended',
        ]
      : []),
    ...(endReason === undefined
      ? []
      : [`ended: ${command.formatCell(endReason)}`]),
    body.tasksUnknown === true
      ? 'tasks: not known now, because the owner of the shard does not answer or is taking over'
      : `tasks: ${counts.map(([state, count]) => `${command.formatCell(count)} ${state}`).join(', ')}`,
  ];
}

/** `job cancel`. */
export class JobCancel extends command.RemoteCommand {
  static override paths = [['job', 'cancel']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'cancel a job; cancelling it again does no harm',
  });

  id = clipanion.Option.String({ name: 'id' });

  by = clipanion.Option.String('--as', {
    env: 'USER',
    description: 'your name in the history (default: USER)',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const by = encodeURIComponent(this.by ?? 'operator');
    const path = `${buildJobPath(this.id)}?by=${by}`;
    const answer = await target.ask({ method: 'DELETE', path });
    return this.reportAnswer(answer, () => [
      `cancellation of ${this.id} is in the log; its tasks are being stopped`,
    ]);
  }
}

/** `job list`. */
export class JobList extends command.RemoteCommand {
  static override paths = [['job', 'list']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'list jobs, the newest first',
  });

  team = clipanion.Option.String('--team', { description: 'only this team' });
  state = clipanion.Option.String('--state', {
    description: 'accepted, done, failed, cancelled or unknown',
  });
  limit = clipanion.Option.String('--limit', '100', {
    description: 'most jobs to list (default: 100)',
  });

  protected async runWith(target: client.Client): Promise<number> {
    const query = new URLSearchParams({ limit: this.limit });
    if (this.team !== undefined) query.set('team', this.team);
    if (this.state !== undefined) query.set('state', this.state);
    const path = `/jobs?${query.toString()}`;
    const answer = await target.ask({ method: 'GET', path });
    return this.reportAnswer(answer, (body) => {
      const jobs = command.toObjectList(body.jobs);
      const total = command.formatCell(body.total);
      return [
        ...command.formatTable(
          ['ID', 'STATE', 'URGENCY', 'KIND', 'TEAM', 'COUNT', 'NAME'],
          jobs.map(listJobCells),
        ),
        `${jobs.length} of ${total} jobs`,
        ...(body.incomplete === true
          ? [
              'the log service does not answer this process, so later jobs and ends may be missing',
            ]
          : []),
      ];
    });
  }
}

function listJobCells(job: Body): readonly string[] {
  const spec = job.spec as Body;
  return [
    job.id,
    job.state,
    job.urgency,
    spec.kind,
    spec.team,
    spec.count,
    spec.name,
  ].map(command.formatCell);
}

/** `job explain`. */
export class JobExplain extends command.RemoteCommand {
  static override paths = [['job', 'explain']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'explain why a job waits, was refused, moved or stopped',
  });

  id = clipanion.Option.String({ name: 'id' });

  protected async runWith(target: client.Client): Promise<number> {
    const path = `${buildJobPath(this.id)}/explain`;
    const answer = await target.ask({ method: 'GET', path });
    return this.reportAnswer(answer, (body) => command.toTextList(body.lines));
  }
}

/** `request explain`. */
export class RequestExplain extends command.RemoteCommand {
  static override paths = [['request', 'explain']];
  static override usage = clipanion.Command.Usage({
    category,
    description: 'explain what became of a request, by the id in its answer',
  });

  id = clipanion.Option.String({ name: 'id' });

  protected async runWith(target: client.Client): Promise<number> {
    const path = `/requests/${encodeURIComponent(this.id)}/explain`;
    const answer = await target.ask({ method: 'GET', path });
    return this.reportAnswer(answer, (body) => command.toTextList(body.lines));
  }
}
