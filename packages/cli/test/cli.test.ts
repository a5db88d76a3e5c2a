/** Command line for operators: exit codes, requests to the process, and printed output. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as cli from '../src/index.js';

interface ReceivedRequest {
  readonly line: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** Response of the test server: status and body, or a closed connection. */
type Reply = readonly [status: number, body: unknown] | 'break';

const receivedRequests: ReceivedRequest[] = [];
let replies: Record<string, Reply[]> = {};
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'flamingoward-cli-'));
const note = path.join(folder, 'note.ini');
const server = http.createServer((request, response) => {
  let body = '';
  request.on('data', (chunk: Buffer) => {
    body += chunk.toString();
  });
  request.on('end', () => {
    const line = `${request.method ?? ''} ${request.url ?? ''}`;
    receivedRequests.push({ line, body, headers: request.headers });
    const reply = replies[line]?.shift() ?? [
      404,
      { error: `no reply to ${line}` },
    ];
    if (reply === 'break') {
      request.socket.destroy();
      return;
    }
    response.statusCode = reply[0];
    response.end(
      typeof reply[1] === 'string' ? reply[1] : JSON.stringify(reply[1]),
    );
  });
});
let address = '';

vitest.beforeAll(async () => {
  fs.writeFileSync(note, '[release]\nid = 2\n');
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
});

vitest.afterAll(() => {
  fs.rmSync(folder, { recursive: true });
  server.close();
});

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

async function runCommand(
  args: readonly string[],
  answers: Record<string, Reply[]> = {},
  env: Record<string, string> = {},
): Promise<CommandResult> {
  replies = answers;
  receivedRequests.length = 0;
  const [stdout, stderr] = [new stream.PassThrough(), new stream.PassThrough()];
  const environment = {
    FLAMINGOWARD_ADDRESS: address,
    FLAMINGOWARD_KEY: 'k',
    USER: 'nadia',
    ...env,
  };
  const code = await cli.runCommand(args, {
    env: environment,
    stdin: new stream.PassThrough(),
    stdout,
    stderr,
    colorDepth: 1,
  });
  const read = (from: stream.PassThrough) =>
    (from.read() as Buffer | null)?.toString() ?? '';
  return { code, out: read(stdout), error: read(stderr) };
}

vitest.test(
  'exits with code 2 on wrong arguments, names what is expected, and sends no request',
  async () => {
    const cases: readonly (readonly [
      readonly string[],
      Record<string, string>,
      string,
    ])[] = [
      [['release', 'list'], {}, 'Command not found'],
      [
        ['release', 'check', 'missing.ini'],
        {},
        "can't read missing.ini: ENOENT",
      ],
      [['processes'], { FLAMINGOWARD_ADDRESS: '' }, 'set FLAMINGOWARD_ADDRESS'],
      [['processes'], { FLAMINGOWARD_KEY: '' }, 'set FLAMINGOWARD_KEY'],
      [['processes', '--address', 'a b'], {}, "isn't an address"],
      [
        ['job', 'submit', '--cores', '4c'],
        {},
        '--cores 4c: expected a number without a unit',
      ],
      [['job', 'submit', '--work', 'cut'], {}, 'expected key=value'],
      [['job', 'submit', note], {}, 'expected a JSON object'],
    ];
    for (const [args, env, expected] of cases) {
      const { code, error } = await runCommand(args, {}, env);
      vitest.expect([args, code]).toEqual([args, 2]);
      vitest.expect(error).toContain(expected);
    }
    vitest.expect(receivedRequests).toEqual([]);
  },
);

vitest.test(
  'exits with code 3 when a process is unreachable, and says whether the request may have been carried out',
  async () => {
    const closed = await runCommand(['processes', '--address', '127.0.0.1:1']);
    vitest.expect(closed).toMatchObject({ code: 3, out: '' });
    vitest.expect(closed.error).toContain('Nothing was done');
    const broken = await runCommand(['job', 'cancel', 'j'], {
      'DELETE /jobs/j?by=nadia': ['break'],
    });
    vitest.expect(broken.code).toBe(3);
    vitest
      .expect(broken.error)
      .toContain("isn't known whether the order was carried out");
    const other = await runCommand(['processes'], {
      'GET /processes': [[502, 'proxy']],
    });
    vitest.expect(other.code).toBe(3);
  },
);

vitest.test(
  'lists the faults of a release note under the file name that the operator gave',
  async () => {
    const fault = {
      file: 'release note',
      section: 'release',
      key: 'base',
      message: 'expected base = 1',
    };
    const bad = await runCommand(['release', 'check', note], {
      'POST /releases/check': [[200, { ok: false, faults: [fault] }]],
    });
    vitest.expect(bad).toEqual({
      code: 1,
      out: '',
      error: `${note}: [release] base: expected base = 1\n`,
    });
    const good = await runCommand(['release', 'diff', note], {
      'POST /releases/check': [[200, { ok: true, lines: ['+ team roof'] }]],
    });
    vitest.expect(good).toEqual({ code: 0, out: '+ team roof\n', error: '' });
    vitest
      .expect(JSON.parse(receivedRequests[0]!.body))
      .toEqual({ text: '[release]\nid = 2\n' });
    vitest.expect(receivedRequests[0]!.headers.authorization).toBe('Bearer k');
  },
);

const adopted: Reply = [200, { id: '2', lines: ['adopted'] }];
const incomplete = {
  accepted: false,
  inForce: ['a'],
  waitingFor: ['b'],
  without: ['c'],
  times: [{ process: 'a', tookMs: 4.4 }],
};
const complete = {
  accepted: true,
  inForce: ['a', 'b'],
  waitingFor: [],
  without: [],
  tookMs: 310,
  times: [...incomplete.times, { process: 'b', tookMs: 310 }],
};

vitest.test(
  'prints after a publication when the release was in force at each process, and which processes are missing',
  async () => {
    const show = 'GET /releases/2?wait_ms=2000';
    const done = await runCommand(
      ['release', 'publish', note, '--wait-ms', '60000'],
      {
        'POST /releases': [adopted],
        [show]: [
          [200, { acceptance: incomplete }],
          [200, { acceptance: complete }],
        ],
      },
    );
    vitest.expect(done).toEqual({
      code: 0,
      out: '2: adopted\nin force at a after 4 ms\nin force at b after 310 ms\naccepted after 310 ms: in force at a, b\n',
      error: '',
    });
    vitest
      .expect(JSON.parse(receivedRequests[0]!.body))
      .toMatchObject({ publisher: 'nadia' });
    const missing = await runCommand(
      ['release', 'publish', note, '--wait-ms', '0'],
      {
        'POST /releases': [adopted],
        'GET /releases/2?wait_ms=0': [[200, { acceptance: incomplete }]],
      },
    );
    vitest.expect(missing.code).toBe(1);
    vitest
      .expect(missing.out)
      .toContain('waiting for b\nnot waited for, because silent or gone: c\n');
    vitest.expect(missing.error).toContain("needn't be published again");
  },
);

vitest.test(
  'exits with code 1 on a refusal and prints the error of the process',
  async () => {
    const refused = await runCommand(['release', 'publish', note], {
      'POST /releases': [
        [409, { error: 'not adopted: a conflict: release 1b' }],
      ],
    });
    vitest.expect(refused).toEqual({
      code: 1,
      out: '',
      error: 'not adopted: a conflict: release 1b\n',
    });
    const json = await runCommand(['job', 'status', 'x/y', '--json'], {
      'GET /jobs/x%2Fy': [[404, { error: 'no job' }]],
    });
    vitest
      .expect(json)
      .toEqual({ code: 1, out: '{"error":"no job"}\n', error: 'no job\n' });
  },
);

vitest.test(
  'builds a job from a file and options, and sends its idempotency key',
  async () => {
    const file = path.join(folder, 'job.json');
    fs.writeFileSync(
      file,
      '{"kind": "gang", "name": "cut", "size": {"cores": 1, "memoryMb": 512}, "work": {"run": "cut"}}',
    );
    const args = [
      'job',
      'submit',
      file,
      '--cores',
      '2.5',
      '--count',
      '8',
      '--work',
      'bolt=7',
      '--class',
      'cutting',
      '--idempotency-key',
      'k1',
    ];
    const done = await runCommand(args, {
      'POST /jobs': [[202, { id: 'j1' }]],
    });
    vitest
      .expect(done)
      .toEqual({ code: 0, out: 'accepted as j1\n', error: '' });
    vitest.expect(receivedRequests[0]!.headers['idempotency-key']).toBe('k1');
    vitest.expect(JSON.parse(receivedRequests[0]!.body)).toEqual({
      kind: 'gang',
      name: 'cut',
      jobClass: 'cutting',
      count: 8,
      size: { cores: 2.5, memoryMb: 512, gpus: 0 },
      work: { run: 'cut', bolt: '7' },
    });
  },
);

vitest.test(
  'drains a process only if its name matches the one given (guards against a stop through a wrong address)',
  async () => {
    const identity: Reply = [200, { answeredBy: 'a' }];
    const wrong = await runCommand(['drain', 'b'], {
      'GET /processes': [identity],
    });
    vitest.expect(wrong.code).toBe(1);
    vitest.expect(wrong.error).toContain('is a, not b; nothing was done');
    vitest.expect(receivedRequests).toHaveLength(1);
    const right = await runCommand(['drain', 'a'], {
      'GET /processes': [identity],
      'POST /drain': [[202, {}]],
    });
    vitest.expect(right.code).toBe(0);
  },
);

vitest.test('prints tables with a dash for missing values', async () => {
  const shard = {
    shard: 'workers/muscat',
    epoch: { offset: 4, provisional: 1 },
  };
  const processes = [
    {
      name: 'a',
      availabilityZone: 'muscat-a',
      health: 'self',
      state: 'ready',
      heardAgoMs: 0,
      release: '2',
      shards: [shard],
    },
  ];
  const shown = await runCommand(['processes'], {
    'GET /processes': [
      [
        200,
        {
          answeredBy: 'a',
          release: '2',
          ready: false,
          logAwayMs: 900,
          processes,
        },
      ],
    ],
  });
  vitest
    .expect(shown.out)
    .toBe(
      [
        'answered by a, release 2 in force',
        'this process does not know the release in force yet and takes no requests',
        'the log service has not answered for 900 ms',
        'NAME  ZONE      HEALTH  STATE  HEARD MS AGO  RELEASE  SHARDS',
        'a     muscat-a  self    ready  0             2        workers/muscat:4+1',
        '',
      ].join('\n'),
    );
  const workers = [
    {
      id: 'w1',
      availabilityZone: 'muscat-a',
      rack: 'r1',
      state: 'live',
      size: { cores: 16, memoryMb: 32768, gpus: 0 },
    },
  ];
  const listed = await runCommand(['workers'], {
    'GET /workers': [[200, { workers }]],
  });
  vitest
    .expect(listed.out.split('\n')[1])
    .toBe('w1  muscat-a  r1    live   16/32768/0  -     -      -');
});

vitest.test(
  'checks and prints a settings file without a process, and names the fault',
  async () => {
    const file = path.join(folder, 'a.ini');
    fs.writeFileSync(file, '[process]\nname = a b\n');
    const { code, error } = await runCommand(['settings', 'check', file]);
    vitest.expect(code).toBe(1);
    vitest.expect(error).toContain(`${file}: [process] name: expected a name`);
    vitest.expect((await runCommand(['settings', 'print', file])).code).toBe(1);
  },
);

// Guards against a history that a process which hasn't read the log prints like a whole one.
vitest.test(
  'says above the history that a process does not know the release in force',
  async () => {
    const lines = ['the cluster does nothing'];
    const shown = await runCommand(['release', 'history'], {
      'GET /releases': [[200, { ready: false, lines }]],
    });
    vitest.expect(shown.out).toMatch(/^this process does not know/);
    const known = await runCommand(['release', 'history'], {
      'GET /releases': [[200, { ready: true, lines }]],
    });
    vitest.expect(known.out).toBe('the cluster does nothing\n');
  },
);

// Guards against a list that a process cut off from the log prints like a whole one.
vitest.test('says below a list of jobs that it may be incomplete', async () => {
  const path = 'GET /jobs?limit=100';
  const partial = await runCommand(['job', 'list'], {
    [path]: [[200, { total: 0, jobs: [], incomplete: true }]],
  });
  vitest.expect(partial.code).toBe(0);
  vitest.expect(partial.out).toContain('0 of 0 jobs\nthe log service does not');
  const whole = await runCommand(['job', 'list'], {
    [path]: [[200, { total: 0, jobs: [] }]],
  });
  vitest.expect(whole.out).toMatch(/0 of 0 jobs\n$/);
});

// Guards against the state of a job at a process cut off from the log that looks like the current one.
vitest.test('says that the state of a job may be stale', async () => {
  const spec = { kind: 'batch', name: 'cut', team: 'roof', jobClass: 'c' };
  const job = { id: 'j1', state: 'accepted', shard: 'workers/muscat', spec };
  const show = (body: object) =>
    runCommand(['job', 'status', 'j1'], {
      'GET /jobs/j1': [[200, { job, counts: { waiting: 1 }, ...body }]],
    });
  vitest
    .expect((await show({ stale: true })).out)
    .toContain('may have been cancelled or have ended');
  vitest.expect((await show({})).out).not.toContain('may have');
});
