/**
 * An open connection between two processes: handshake, framing, questions matched
 * with their answers by id, and pings that detect a peer which has stopped responding.
 */
import type * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as frames from './frames.js';
import * as handshake from './handshake.js';

/** Time without received bytes after which a ping is sent. */
export const PROBE_AFTER_MS = 500;

/** Time without received bytes after which the connection is closed as unresponsive. */
export const UNRESPONSIVE_AFTER_MS = 1_500;

/** Answers the questions of the peer. */
export type QuestionHandler = (
  question: core.messages.Question,
  from: core.messages.Hello,
) => Promise<core.messages.Answer>;

/** Options of a connection. */
export interface ConnectionOptions {
  readonly socket: net.Socket;
  readonly identity: handshake.LinkIdentity;
  readonly key: string;
  readonly maxFrameBytes: number;
  readonly timers: core.TimerService;
  /** Address or name of the peer for errors, until its `hello` has arrived. */
  readonly peer: string;
  readonly onQuestion: QuestionHandler;
  /** Called whenever bytes arrive after the handshake, before they are decoded. */
  readonly onBytesReceived?: ((from: core.messages.Hello) => void) | undefined;
  readonly onNotice: (
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ) => void;
  readonly onOpen: (
    connection: Connection,
    peerHello: core.messages.Hello,
  ) => void;
  /** Called once. The cause is undefined when `close` was called without one. */
  readonly onClose: (connection: Connection, cause: Error | undefined) => void;
}

/** An open connection. */
export interface Connection {
  /** Sends a notice; it is dropped when the handshake isn't complete. */
  notify(notice: core.messages.Notice): void;
  /** Sends a question; rejects with `timeout` or `link-closed`. An answer after the timeout is dropped. */
  ask(
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer>;
  /** Pings an idle connection and closes an unresponsive one; the hub calls this periodically for all connections. */
  checkProgress(nowMs: number): void;
  /** Returns the peer's `hello`; undefined until the peer is authenticated. */
  getPeerHello(): core.messages.Hello | undefined;
  close(cause?: Error): void;
}

interface PendingQuestion {
  readonly resolve: (answer: core.messages.Answer) => void;
  readonly reject: (cause: Error) => void;
  readonly timer: core.TimerSubscription;
}

/** Creates a connection on an open socket and starts the handshake. */
export function createConnection(options: ConnectionOptions): Connection {
  const { socket, timers } = options;
  const frameReader = frames.createFrameReader(
    () =>
      authenticated
        ? options.maxFrameBytes
        : Math.min(options.maxFrameBytes, handshake.MAX_HANDSHAKE_FRAME_BYTES),
    options.peer,
  );
  const ownHello = handshake.buildHello(options.identity);
  const pendingQuestions = new Map<number, PendingQuestion>();
  let peerHello: core.messages.Hello | undefined;
  let authenticated = false;
  let closed = false;
  let nextQuestionId = 1;
  let lastReceivedMs = timers.getNow();
  let pingsSinceReceived = 0;
  const connection: Connection = {
    notify,
    ask,
    checkProgress,
    getPeerHello: () => (authenticated ? peerHello : undefined),
    close,
  };

  function getPeerName(): string {
    return peerHello?.name ?? options.peer;
  }

  function write(message: unknown): void {
    if (closed) return;
    socket.write(frames.encodeFrame(message, options.maxFrameBytes));
  }

  function notify(notice: core.messages.Notice): void {
    if (authenticated) write({ type: 'notice', body: notice });
  }

  function ask(
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer> {
    return new Promise((resolve, reject) => {
      if (closed || !authenticated) {
        reject(createClosedFault());
        return;
      }
      const id = nextQuestionId;
      nextQuestionId += 1;
      const timer = timers.subscribe(
        { name: 'links.ask', delayMs: timeoutMs, repeat: 'once' },
        () => {
          pendingQuestions.delete(id);
          reject(
            core.createFault(
              'timeout',
              { step: `links.ask.${question.kind}`, peer: getPeerName() },
              String(timeoutMs),
            ),
          );
        },
      );
      pendingQuestions.set(id, { resolve, reject, timer });
      write({ type: 'question', id, body: question });
    });
  }

  function createClosedFault(): Error {
    return core.createFault('link-closed', {
      step: 'links.ask',
      peer: getPeerName(),
    });
  }

  function close(cause?: Error): void {
    if (closed) return;
    closed = true;
    socket.destroy();
    for (const question of pendingQuestions.values()) {
      question.timer.end();
      question.reject(createClosedFault());
    }
    pendingQuestions.clear();
    options.onClose(connection, cause);
  }

  function checkProgress(nowMs: number): void {
    const idleMs = nowMs - lastReceivedMs;
    if (idleMs > UNRESPONSIVE_AFTER_MS) {
      // A pause of this process looks the same as an unresponsive peer, so a ping is
      // sent first, and the connection is closed if no bytes arrive before the next check.
      if (pingsSinceReceived === 0) sendPing();
      else
        close(
          core.createFault(
            'link-silent',
            { step: 'links.probe', peer: getPeerName() },
            String(Math.round(idleMs)),
          ),
        );
      return;
    }
    if (idleMs > PROBE_AFTER_MS) sendPing();
  }

  function sendPing(): void {
    pingsSinceReceived += 1;
    notify({ kind: 'ping', seq: pingsSinceReceived });
  }

  function receive(bytes: Buffer): void {
    lastReceivedMs = timers.getNow();
    pingsSinceReceived = 0;
    if (authenticated && peerHello !== undefined)
      options.onBytesReceived?.(peerHello);
    try {
      for (const message of frameReader.read(bytes)) {
        if (closed) return;
        receiveMessage(message);
      }
    } catch (cause) {
      close(cause instanceof Error ? cause : new Error(String(cause)));
    }
  }

  function receiveMessage(message: unknown): void {
    if (peerHello === undefined) {
      peerHello = handshake.checkHello(message, options.peer);
      write(
        handshake.buildProof(
          options.key,
          peerHello.nonce,
          options.identity.instance,
        ),
      );
      return;
    }
    if (!authenticated) {
      handshake.checkProof(message, options.key, ownHello.nonce, peerHello);
      authenticated = true;
      options.onOpen(connection, peerHello);
      return;
    }
    receiveFrame(checkFrame(message), peerHello);
  }

  function checkFrame(message: unknown): core.messages.Frame {
    if (!isFrame(message))
      throw core.createFault(
        'bad-frame',
        { step: 'links.read', peer: getPeerName() },
        'expected a notice, a question or an answer with a body',
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
        code: core.getFaultInfo(cause)?.code ?? 'invariant',
        message: core.describeError(cause),
      }));
    write({ type: 'answer', re: id, body: answer });
  }

  function receiveAnswer(re: number, answer: core.messages.Answer): void {
    const question = pendingQuestions.get(re);
    if (question === undefined) return;
    pendingQuestions.delete(re);
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
  write(ownHello);
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
