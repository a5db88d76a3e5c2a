/** The operators' command: exit codes, what it asks, and what it tells to do. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as cli from '../src/index.js';

interface Asked {
  readonly line: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
}

type Reply = readonly [status: number, body: unknown] | 'break';

const asked: Asked[] = [];
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
    asked.push({ line, body, headers: request.headers });
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

interface Run {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

async function run(
  args: readonly string[],
  answers: Record<string, Reply[]> = {},
  env: Record<string, string> = {},
): Promise<Run> {
  replies = answers;
  asked.length = 0;
  const [stdout, stderr] = [new stream.PassThrough(), new stream.PassThrough()];
  const set = {
    FLAMINGOWARD_ADDRESS: address,
    FLAMINGOWARD_KEY: 'k',
    USER: 'nadia',
    ...env,
  };
  const code = await cli.runCommand(args, {
    env: set,
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
  'wrong arguments end with 2 and name what is expected',
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
      const { code, error } = await run(args, {}, env);
      vitest.expect([args, code]).toEqual([args, 2]);
      vitest.expect(error).toContain(expected);
    }
    vitest.expect(asked).toEqual([]);
  },
);

vitest.test(
  'a process that cannot be reached ends with 3, and says what is certain',
  async () => {
    const closed = await run(['processes', '--address', '127.0.0.1:1']);
    vitest.expect(closed).toMatchObject({ code: 3, out: '' });
    vitest.expect(closed.error).toContain('Nothing was done');
    const broken = await run(['job', 'cancel', 'j'], {
      'DELETE /jobs/j?by=nadia': ['break'],
    });
    vitest.expect(broken.code).toBe(3);
    vitest
      .expect(broken.error)
      .toContain("isn't known whether the order was carried out");
    const other = await run(['processes'], {
      'GET /processes': [[502, 'proxy']],
    });
    vitest.expect(other.code).toBe(3);
  },
);

vitest.test(
  'check lists the faults with the file the operator named',
  async () => {
    const fault = {
      file: 'release note',
      section: 'release',
      key: 'base',
      message: 'expected base = 1',
    };
    const bad = await run(['release', 'check', note], {
      'POST /releases/check': [[200, { ok: false, faults: [fault] }]],
    });
    vitest.expect(bad).toEqual({
      code: 1,
      out: '',
      error: `${note}: [release] base: expected base = 1\n`,
    });
    const good = await run(['release', 'diff', note], {
      'POST /releases/check': [[200, { ok: true, lines: ['+ team roof'] }]],
    });
    vitest.expect(good).toEqual({ code: 0, out: '+ team roof\n', error: '' });
    vitest
      .expect(JSON.parse(asked[0]!.body))
      .toEqual({ text: '[release]\nid = 2\n' });
    vitest.expect(asked[0]!.headers.authorization).toBe('Bearer k');
  },
);

const adopted: Reply = [200, { id: '2', lines: ['adopted'] }];
const first = {
  accepted: false,
  inForce: ['a'],
  waitingFor: ['b'],
  without: ['c'],
  times: [{ process: 'a', tookMs: 4.4 }],
};
const last = {
  accepted: true,
  inForce: ['a', 'b'],
  waitingFor: [],
  without: [],
  tookMs: 310,
  times: [...first.times, { process: 'b', tookMs: 310 }],
};

vitest.test(
  'publish prints when each process had the release, and who is missing',
  async () => {
    const show = 'GET /releases/2?wait_ms=2000';
    const done = await run(['release', 'publish', note, '--wait-ms', '60000'], {
      'POST /releases': [adopted],
      [show]: [
        [200, { acceptance: first }],
        [200, { acceptance: last }],
      ],
    });
    vitest.expect(done).toEqual({
      code: 0,
      out: '2: adopted\nin force at a after 4 ms\nin force at b after 310 ms\naccepted after 310 ms: in force at a, b\n',
      error: '',
    });
    vitest
      .expect(JSON.parse(asked[0]!.body))
      .toMatchObject({ publisher: 'nadia' });
    const missing = await run(['release', 'publish', note, '--wait-ms', '0'], {
      'POST /releases': [adopted],
      'GET /releases/2?wait_ms=0': [[200, { acceptance: first }]],
    });
    vitest.expect(missing.code).toBe(1);
    vitest
      .expect(missing.out)
      .toContain('waiting for b\nnot waited for, because silent or gone: c\n');
    vitest.expect(missing.error).toContain("needn't be published again");
  },
);

vitest.test(
  'refusals end with 1 and show the reason of the process',
  async () => {
    const lost = await run(['release', 'publish', note], {
      'POST /releases': [
        [409, { error: 'not adopted: a conflict: release 1b' }],
      ],
    });
    vitest.expect(lost).toEqual({
      code: 1,
      out: '',
      error: 'not adopted: a conflict: release 1b\n',
    });
    const json = await run(['job', 'status', 'x/y', '--json'], {
      'GET /jobs/x%2Fy': [[404, { error: 'no job' }]],
    });
    vitest
      .expect(json)
      .toEqual({ code: 1, out: '{"error":"no job"}\n', error: 'no job\n' });
  },
);

vitest.test(
  'a job is built from a file and options, and its key is sent',
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
    const done = await run(args, { 'POST /jobs': [[202, { id: 'j1' }]] });
    vitest
      .expect(done)
      .toEqual({ code: 0, out: 'accepted as j1\n', error: '' });
    vitest.expect(asked[0]!.headers['idempotency-key']).toBe('k1');
    vitest.expect(JSON.parse(asked[0]!.body)).toEqual({
      kind: 'gang',
      name: 'cut',
      jobClass: 'cutting',
      count: 8,
      size: { cores: 2.5, memoryMb: 512, gpus: 0 },
      work: { run: 'cut', bolt: '7' },
    });
  },
);

vitest.test('drain stops only the process that is named', async () => {
  const who: Reply = [200, { answeredBy: 'a' }];
  const wrong = await run(['drain', 'b'], { 'GET /processes': [who] });
  vitest.expect(wrong.code).toBe(1);
  vitest.expect(wrong.error).toContain('is a, not b; nothing was done');
  vitest.expect(asked).toHaveLength(1);
  const right = await run(['drain', 'a'], {
    'GET /processes': [who],
    'POST /drain': [[202, {}]],
  });
  vitest.expect(right.code).toBe(0);
});

vitest.test('tables show what is known, and a dash for the rest', async () => {
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
  const shown = await run(['processes'], {
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
  const listed = await run(['workers'], {
    'GET /workers': [[200, { workers }]],
  });
  vitest
    .expect(listed.out.split('\n')[1])
    .toBe('w1  muscat-a  r1    live   16/32768/0  -     -      -');
});

vitest.test('settings are checked and printed without a process', async () => {
  const file = path.join(folder, 'a.ini');
  fs.writeFileSync(file, '[process]\nname = a b\n');
  const { code, error } = await run(['settings', 'check', file]);
  vitest.expect(code).toBe(1);
  vitest.expect(error).toContain(`${file}: [process] name: expected a name`);
  vitest.expect((await run(['settings', 'print', file])).code).toBe(1);
});
