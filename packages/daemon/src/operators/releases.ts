/** Operators' routes that list, show, check and publish release notes. */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import * as http from './http.js';
import * as views from './views.js';

/** Longest time that one request may wait until the release is accepted. */
const MAX_WAIT_MS = 10_000;

const ACCEPTANCE_POLL_INTERVAL_MS = 50;

/**
 * Builds the routes for release notes. `GET /releases/<id>?wait_ms=` answers as soon as
 * the release is accepted, at the latest after that time.
 */
export function buildReleaseRoutes(
  releases: types.Releases,
  timers: core.TimerService,
): readonly http.Route[] {
  return [
    { method: 'GET', path: '/releases', handle: () => listReleases(releases) },
    {
      method: 'GET',
      path: '/releases/:id',
      handle: ({ params, query }) =>
        describeRelease(
          releases,
          timers,
          params[0] ?? '',
          query.get('wait_ms'),
        ),
    },
    {
      method: 'POST',
      path: '/releases/check',
      handle: ({ body }) => checkNote(releases, parsePublication(body)),
    },
    {
      method: 'POST',
      path: '/releases',
      handle: ({ body }) => publishNote(releases, parsePublication(body)),
    },
  ];
}

function listReleases(releases: types.Releases): http.Reply {
  const state = releases.getState();
  return {
    status: 200,
    body: {
      ready: releases.isReady(),
      current: state.current,
      offset: state.offset,
      entries: core.listEntries(state),
      history: state.history.map(views.buildHistoryItem),
      lines: core.describeHistory(state),
    },
  };
}

function refuseUnready(): http.Reply {
  return http.refuse(
    503,
    'this process does not know the release in force yet; ask another one, or try again',
  );
}

async function describeRelease(
  releases: types.Releases,
  timers: core.TimerService,
  id: string,
  waitText: string | null,
): Promise<http.Reply> {
  const waitMs = Number(waitText ?? 0);
  if (!(waitMs >= 0 && waitMs <= MAX_WAIT_MS))
    return http.refuse(400, `wait_ms: expected 0 to ${MAX_WAIT_MS}`);
  if (!releases.isReady()) return refuseUnready();
  const item = views.findHistoryItem(releases.getState(), id);
  if (item === undefined)
    return http.refuse(
      404,
      `release ${id} isn't known to this process; "flamingoward release history" lists the releases`,
    );
  if (item.verdict.verdict === 'adopted' && waitMs > 0)
    await waitForAcceptance(releases, timers, item.offset, waitMs);
  return { status: 200, body: buildReleaseView(releases, item) };
}

async function waitForAcceptance(
  releases: types.Releases,
  timers: core.TimerService,
  offset: core.ids.Offset,
  waitMs: number,
): Promise<void> {
  const untilMs = timers.getNow() + waitMs;
  while (!releases.getAcceptance(offset).accepted && timers.getNow() < untilMs)
    await core.waitFor(
      timers,
      'operators.acceptance',
      ACCEPTANCE_POLL_INTERVAL_MS,
    );
}

function buildReleaseView(
  releases: types.Releases,
  item: core.releases.ReleaseHistoryItem,
): unknown {
  const isAdopted = item.verdict.verdict === 'adopted';
  return {
    ...views.buildHistoryItem(item),
    text: item.note.text,
    inForce: item.offset === releases.getState().offset,
    lines: core.describeVerdict(item.verdict),
    ...(isAdopted && { acceptance: releases.getAcceptance(item.offset) }),
  };
}

interface Publication {
  readonly text: string | undefined;
  readonly publisher: unknown;
}

/** Parses a body: either `{"text", "publisher"}` or the plain text of the note. */
function parsePublication(body: string): Publication {
  if (!body.trimStart().startsWith('{'))
    return { text: body === '' ? undefined : body, publisher: 'operator' };
  const json = http.parseObject(body);
  const text = json?.text;
  return {
    text: typeof text === 'string' ? text : undefined,
    publisher: json?.publisher ?? 'operator',
  };
}

const expectedBody =
  'expected the text of a release note, or a JSON object {"text": "<the note>", "publisher": "<name>"}';

function checkNote(
  releases: types.Releases,
  publication: Publication,
): http.Reply {
  const { text } = publication;
  if (text === undefined) return http.refuse(400, expectedBody);
  if (!releases.isReady()) return refuseUnready();
  const state = releases.getState();
  const result = checkText(state, text);
  if ('faults' in result)
    return {
      status: 200,
      body: { ok: false, current: state.current, faults: result.faults },
    };
  const lines = core.describeDiff(state, result.note);
  const { id } = result.note;
  return { status: 200, body: { ok: true, id, current: state.current, lines } };
}

function checkText(
  state: core.releases.ReleaseState,
  text: string,
): core.NoteResult {
  const parsed = core.parseReleaseNote(text, NOTE_FILE);
  if ('faults' in parsed) return parsed;
  const { note } = parsed;
  const faults = [
    ...checkHeader(state, note),
    ...core.checkRelease(state, note, NOTE_FILE),
  ];
  return faults.length > 0 ? { faults } : parsed;
}

const NOTE_FILE = 'release note';

function checkHeader(
  state: core.releases.ReleaseState,
  note: core.releases.ReleaseNote,
): readonly core.releases.ConfigFault[] {
  const faults: core.releases.ConfigFault[] = [];
  const addFault = (key: string, message: string) => {
    faults.push({ file: NOTE_FILE, section: 'release', key, message });
  };
  const sameId = views.findHistoryItem(state, note.id);
  if (sameId?.verdict.verdict === 'adopted')
    addFault('id', `${note.id} is already adopted; expected a new id`);
  if (note.base !== state.current)
    addFault(
      'base',
      `the release in force is ${state.current}; expected base = ${state.current}`,
    );
  return faults;
}

async function publishNote(
  releases: types.Releases,
  publication: Publication,
): Promise<http.Reply> {
  const { text, publisher } = publication;
  if (text === undefined) return http.refuse(400, expectedBody);
  if (typeof publisher !== 'string' || !/^[\w.@+-]{1,63}$/.test(publisher))
    return http.refuse(
      400,
      'publisher: expected a name of at most 63 letters, digits and ._@+-',
    );
  // An unparsable note could never be adopted, so it isn't appended to the log.
  const parsed = core.parseReleaseNote(text, NOTE_FILE);
  if ('faults' in parsed)
    return {
      status: 422,
      body: { error: 'the release note is refused', faults: parsed.faults },
    };
  const result = await releases.publish(text, publisher);
  return buildPublishReply(releases, parsed.note.id, result);
}

function buildPublishReply(
  releases: types.Releases,
  id: string,
  result: types.PublishResult,
): http.Reply {
  switch (result.result) {
    case 'not-published':
      return { status: 503, body: { error: result.reason, answer: 'not-run' } };
    case 'unknown':
      return { status: 504, body: { error: result.reason, answer: 'unknown' } };
    case 'verdict':
      return buildVerdictReply(releases, id, result.offset, result.verdict);
  }
}

function buildVerdictReply(
  releases: types.Releases,
  id: string,
  offset: core.ids.Offset,
  verdict: core.releases.Verdict,
): http.Reply {
  const lines = core.describeVerdict(verdict);
  switch (verdict.verdict) {
    case 'adopted':
    case 'repeat': {
      const adoptedAt = verdict.verdict === 'repeat' ? verdict.of : offset;
      const acceptance = releases.getAcceptance(adoptedAt);
      const body = { id, offset: adoptedAt, verdict, lines, acceptance };
      return { status: 200, body };
    }
    case 'conflict': {
      const error = `not adopted: ${lines.join('; ')}`;
      return { status: 409, body: { error, id, offset, verdict } };
    }
    case 'invalid': {
      const { faults } = verdict;
      const error = 'not adopted: the release note is invalid';
      return { status: 422, body: { error, id, offset, verdict, faults } };
    }
  }
}
