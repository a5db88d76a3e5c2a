/**
 * One connection of a link after the socket is open: handshake, frames, questions
 * with their answers, and the probe that finds a connection which has gone silent.
 */
import type * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as frames from './frames.js';
import * as handshake from './handshake.js';

/** Silence after which a ping is sent, in ms. */
export const PROBE_AFTER_MS = 500;

/** Silence after which the connection counts as dead, in ms. */
export const SILENT_AFTER_MS = 1_500;

/** Answers the questions of the other side. */
export type QuestionHandler = (
  question: core.messages.Question,
  from: core.messages.Hello,
) => Promise<core.messages.Answer>;

/** What a connection needs. */
export interface ConnectionOptions {
  readonly socket: net.Socket;
  readonly identity: handshake.LinkIdentity;
  readonly key: string;
  readonly maxFrameBytes: number;
  readonly timers: core.TimerService;
  /** Address or name for errors until the other side has named itself. */
  readonly peer: string;
  readonly onQuestion: QuestionHandler;
  /** Bytes arrived after the handshake, whatever they say. */
  readonly onHeard?: ((from: core.messages.Hello) => void) | undefined;
  readonly onNotice: (
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ) => void;
  readonly onOpen: (
    connection: Connection,
    theirs: core.messages.Hello,
  ) => void;
  /** Called once. The cause is absent after `close`. */
  readonly onClose: (connection: Connection, cause: Error | undefined) => void;
}

/** An open connection. */
export interface Connection {
  /** Sends a notice; dropped before the handshake is over. */
  notify(notice: core.messages.Notice): void;
  /** Asks; rejects with `timeout` or `link-closed`. Late answers are dropped. */
  ask(
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer>;
  /** Pings a quiet connection and closes a silent one; called by the hub for all connections at once. */
  checkProgress(nowMs: number): void;
  readTheirs(): core.messages.Hello | undefined;
  close(cause?: Error): void;
}

interface PendingQuestion {
  readonly resolve: (answer: core.messages.Answer) => void;
  readonly reject: (cause: Error) => void;
  readonly timer: core.TimerSubscription;
}

/** Runs the protocol on an open socket. */
export function createConnection(options: ConnectionOptions): Connection {
  const { socket, timers } = options;
  const reader = frames.createFrameReader(options.maxFrameBytes, options.peer);
  const ours = handshake.buildHello(options.identity);
  const pending = new Map<number, PendingQuestion>();
  let theirs: core.messages.Hello | undefined;
  let proven = false;
  let closed = false;
  let nextId = 1;
  let heardMs = timers.readNow();
  let pingSeq = 0;
  const connection: Connection = {
    notify,
    ask,
    checkProgress,
    readTheirs: () => (proven ? theirs : undefined),
    close,
  };

  function readPeer(): string {
    return theirs?.name ?? options.peer;
  }

  function write(message: unknown): void {
    if (closed) return;
    socket.write(frames.encodeFrame(message, options.maxFrameBytes));
  }

  function notify(notice: core.messages.Notice): void {
    if (proven) write({ type: 'notice', body: notice });
  }

  function ask(
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer> {
    return new Promise((resolve, reject) => {
      if (closed || !proven) {
        reject(createClosedFault());
        return;
      }
      const id = nextId;
      nextId += 1;
      const timer = timers.subscribe(
        { name: 'links.ask', delayMs: timeoutMs, repeat: 'once' },
        () => {
          pending.delete(id);
          reject(
            core.createFault(
              'timeout',
              { step: `links.ask.${question.kind}`, peer: readPeer() },
              String(timeoutMs),
            ),
          );
        },
      );
      pending.set(id, { resolve, reject, timer });
      write({ type: 'question', id, body: question });
    });
  }

  function createClosedFault(): Error {
    return core.createFault('link-closed', {
      step: 'links.ask',
      peer: readPeer(),
    });
  }

  function close(cause?: Error): void {
    if (closed) return;
    closed = true;
    socket.destroy();
    for (const question of pending.values()) {
      question.timer.end();
      question.reject(createClosedFault());
    }
    pending.clear();
    options.onClose(connection, cause);
  }

  function checkProgress(nowMs: number): void {
    const silentMs = nowMs - heardMs;
    if (silentMs > SILENT_AFTER_MS) {
      // A pause of this process looks like silence: probe once more before closing.
      if (pingSeq === 0) sendPing();
      else
        close(
          core.createFault(
            'link-silent',
            { step: 'links.probe', peer: readPeer() },
            String(Math.round(silentMs)),
          ),
        );
      return;
    }
    if (silentMs > PROBE_AFTER_MS) sendPing();
  }

  function sendPing(): void {
    pingSeq += 1;
    notify({ kind: 'ping', seq: pingSeq });
  }

  function receive(bytes: Buffer): void {
    heardMs = timers.readNow();
    pingSeq = 0;
    if (proven && theirs !== undefined) options.onHeard?.(theirs);
    try {
      for (const message of reader.read(bytes)) {
        if (closed) return;
        receiveMessage(message);
      }
    } catch (cause) {
      close(cause instanceof Error ? cause : new Error(String(cause)));
    }
  }

  function receiveMessage(message: unknown): void {
    if (theirs === undefined) {
      theirs = handshake.checkHello(message, options.peer);
      write(
        handshake.buildProof(
          options.key,
          theirs.nonce,
          options.identity.instance,
        ),
      );
      return;
    }
    if (!proven) {
      handshake.checkProof(message, options.key, ours.nonce, theirs);
      proven = true;
      options.onOpen(connection, theirs);
      return;
    }
    receiveFrame(checkFrame(message), theirs);
  }

  function checkFrame(message: unknown): core.messages.Frame {
    if (!isFrame(message))
      throw core.createFault(
        'bad-frame',
        { step: 'links.read', peer: readPeer() },
        'expected a notice, a question or an answer',
      );
    return message;
  }

  function receiveFrame(
    frame: core.messages.Frame,
    from: core.messages.Hello,
  ): void {
    switch (frame.type) {
      case 'notice':
        receiveNotice(frame.body, from);
        return;
      case 'question':
        void respond(frame.id, frame.body, from);
        return;
      case 'answer':
        receiveAnswer(frame.re, frame.body);
        return;
    }
  }

  function receiveNotice(
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ): void {
    if (notice.kind === 'ping') notify({ kind: 'pong', seq: notice.seq });
    else if (notice.kind !== 'pong') options.onNotice(notice, from);
  }

  async function respond(
    id: number,
    question: core.messages.Question,
    from: core.messages.Hello,
  ): Promise<void> {
    const answer = await options
      .onQuestion(question, from)
      .catch((cause: unknown): core.messages.Answer => ({
        kind: 'refused',
        code: core.readFault(cause)?.code ?? 'invariant',
        message: core.describeError(cause),
      }));
    write({ type: 'answer', re: id, body: answer });
  }

  function receiveAnswer(re: number, answer: core.messages.Answer): void {
    const question = pending.get(re);
    if (question === undefined) return;
    pending.delete(re);
    question.timer.end();
    question.resolve(answer);
  }

  socket.setNoDelay(true);
  socket.on('data', receive);
  socket.on('error', (cause) => {
    close(cause);
  });
  socket.on('close', () => {
    close(createClosedFault());
  });
  write(ours);
  return connection;
}

function isFrame(message: unknown): message is core.messages.Frame {
  if (typeof message !== 'object' || message === null) return false;
  const frame = message as Partial<Record<string, unknown>>;
  const body = frame.body;
  if (typeof body !== 'object' || body === null) return false;
  if (typeof (body as Partial<Record<string, unknown>>).kind !== 'string')
    return false;
  switch (frame.type) {
    case 'notice':
      return true;
    case 'question':
      return typeof frame.id === 'number';
    case 'answer':
      return typeof frame.re === 'number';
    default:
      return false;
  }
}
