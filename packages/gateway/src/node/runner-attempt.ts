import { request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Answer } from '../types/answer.ts';
import type { AnswerHead } from '../types/answer-head.ts';
import type { AnswerSink } from '../types/answer-sink.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import type { RunnerOrder } from '../types/runner-order.ts';
import type { RunnerAgent } from './runner-agent.ts';

interface RunnerAttemptOptions {
  readonly dialect: Dialect;
  readonly agent: RunnerAgent;
  readonly request: CallerRequest;
  readonly order: RunnerOrder;
  /** Receives the answer's bytes as they come when it is a success; absent to collect the answer. */
  readonly sink?: AnswerSink;
  /** Called with the head of an answer to this request. */
  readonly onHead: (head: AnswerHead) => void;
  /** Called whenever bytes arrive. */
  readonly onProgress: () => void;
}

const MISDIRECTED = 421;
const OK = 200;
const FIRST_REDIRECT = 300;
/** Bytes of a collected answer; a larger one counts as broken. */
const MAX_COLLECTED_BYTES = 16 * 1024 * 1024;

function isSuccess(status: number): boolean {
  return status >= OK && status < FIRST_REDIRECT;
}

/** One send of a request to one runner. Settles once, with how it ended. */
export class RunnerAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  readonly #options: RunnerAttemptOptions;
  readonly #client: ClientRequest;
  #settle: (outcome: AttemptOutcome) => void = () => undefined;
  #isSettled = false;
  #wasConnected = false;
  #wasReset = false;

  constructor(options: RunnerAttemptOptions) {
    this.#options = options;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#client = this.#send();
  }

  /** Ends the attempt; the runner sees its connection close. */
  abort(outcome: AttemptOutcome): void {
    this.#finish(outcome);
    this.#client.destroy();
  }

  #send(): ClientRequest {
    const { dialect, agent, request, order } = this.#options;
    const { host, port } = order.runner.address;
    const client = sendRequest({
      host,
      port,
      agent,
      method: request.method,
      path: request.target,
      headers: dialect.runnerHeaders(request, order),
      setHost: false,
    });
    client.on('socket', (socket) => {
      this.#watchForReset(client, socket);
      if (!socket.connecting) this.#wasConnected = true;
      else
        socket.once('connect', () => {
          this.#wasConnected = true;
        });
    });
    client.on('response', (response) => {
      this.#receive(response);
    });
    client.on('error', (error) => {
      this.#finish(
        this.#wasConnected ? { kind: 'broken', reason: error.message } : { kind: 'unsent' },
      );
    });
    client.on('close', () => {
      this.#finish({ kind: 'broken', reason: 'connection closed without an answer' });
    });
    client.on('upgrade', (_response, socket) => {
      socket.destroy();
    });
    client.end(request.body);
    return client;
  }

  /**
   * An answer without a length ends with its connection, and a reset that arrives together with data
   * is reported as an ordinary end. Only a connection that was reset has no peer by then.
   */
  #watchForReset(client: ClientRequest, socket: Socket): void {
    const onEnd = (): void => {
      this.#wasReset = socket.remoteAddress === undefined;
    };
    socket.prependListener('end', onEnd);
    client.once('close', () => {
      socket.off('end', onEnd);
    });
  }

  #receive(response: IncomingMessage): void {
    const { dialect, request, sink, onHead, onProgress, agent } = this.#options;
    const keepAlive = response.headers['keep-alive'];
    if (typeof keepAlive === 'string') agent.setKeepAlive(keepAlive);
    onProgress();
    const head = dialect.readAnswer(response.statusCode ?? 0, response.rawHeaders);
    const isOther =
      head.requestId === undefined ? isSuccess(head.status) : head.requestId !== request.id;
    if (isOther) {
      this.abort({ kind: 'broken', reason: 'the answer belongs to another request' });
      return;
    }
    if (isSuccess(head.status) && head.signature === undefined) {
      this.abort({ kind: 'broken', reason: 'the answer has no signature' });
      return;
    }
    onHead(head);
    response.on('error', (error) => {
      this.#finish({ kind: 'broken', reason: error.message });
    });
    if (sink && isSuccess(head.status)) this.#relay(response, head, sink);
    else this.#collect(response, head);
  }

  #relay(response: IncomingMessage, head: AnswerHead, sink: AnswerSink): void {
    sink.begin(head);
    response.on('data', (bytes: Buffer) => {
      if (this.#isSettled) return;
      this.#options.onProgress();
      const drained = sink.push(bytes);
      if (!drained) return;
      response.pause();
      void drained.then(() => response.resume());
    });
    response.on('end', () => {
      if (this.#isSettled) return;
      if (!response.complete || this.#wasReset) {
        this.#finish({ kind: 'broken', reason: 'the stream was cut short' });
        return;
      }
      sink.end();
      this.#finish({ kind: 'relayed' });
    });
  }

  #collect(response: IncomingMessage, head: AnswerHead): void {
    const chunks: Buffer[] = [];
    let size = 0;
    response.on('data', (bytes: Buffer) => {
      chunks.push(bytes);
      size += bytes.length;
      this.#options.onProgress();
      if (size > MAX_COLLECTED_BYTES) {
        this.abort({ kind: 'broken', reason: 'the answer is too large' });
      }
    });
    response.on('end', () => {
      if (!response.complete || this.#wasReset) {
        this.#finish({ kind: 'broken', reason: 'the answer was cut short' });
        return;
      }
      this.#finish(this.#outcomeOf({ head, body: Buffer.concat(chunks) }));
    });
  }

  #outcomeOf(answer: Answer): AttemptOutcome {
    const { status, isNotExecuted } = answer.head;
    if (isNotExecuted || status === MISDIRECTED) {
      return { kind: 'refused', isMisdirected: status === MISDIRECTED };
    }
    return { kind: 'answered', answer };
  }

  #finish(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#settle(outcome);
  }
}
