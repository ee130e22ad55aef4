import { request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  ByteBuffer,
  ConnectionMonitor,
  InterimMonitor,
  invalidFieldsReason,
  invalidResponseReason,
  isParseError,
  isSuccess,
  quoteText,
  responseFraming,
} from '@ragwortrudder/core';
import type { ResponseFraming } from '@ragwortrudder/core';
import type { RunnerResponse } from '../types/runner-response.ts';
import type { ResponseHead } from '../types/response-head.ts';
import type { ResponseSink } from '../types/response-sink.ts';
import type { ResponseTransfer } from '../types/response-transfer.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { Dialect } from '../types/dialect.ts';
import type { ForwardingMetadata } from '../types/forwarding-metadata.ts';
import { exceedsFramingLimit } from '../utils/exceeds-framing-limit.ts';
import { linkFailureOf } from '../utils/link-failure-of.ts';
import { incompleteReason } from '../utils/incomplete-reason.ts';
import { invalidHeadReason } from '../utils/invalid-head-reason.ts';
import { isEventStream } from '../utils/is-event-stream.ts';
import { reasonOf } from '../utils/reason-of.ts';
import type { Intake } from './intake.ts';
import { PacedReader } from './paced-reader.ts';
import type { RunnerAgent } from './runner-agent.ts';

interface RunnerAttemptOptions {
  readonly dialect: Dialect;
  readonly agent: RunnerAgent;
  /** Shared by all attempts of the node. */
  readonly intake: Intake;
  readonly request: CallerRequest;
  readonly metadata: ForwardingMetadata;
  /** Receives the body of a successful response as it arrives; when absent, the response is buffered. */
  readonly sink?: ResponseSink;
  /** Called with the head of a valid response to this request. */
  readonly onHead: (head: ResponseHead) => void;
  /** Called whenever bytes arrive. */
  readonly onProgress: () => void;
  /** Called when the response is read again, with the time for which it waited for its turn. */
  readonly onRelease?: (heldMs: number) => void;
}

const MISDIRECTED = 421;
/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);
/** Maximum size of an event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Framing of any response: a stream of 200 KB can come in chunks of one byte. */
const MAX_FRAMING_BYTES = 1024 * 1024;
/** Interim responses that a runner may send before a response. */
const MAX_INTERIM_RESPONSES = 1_000;
const BUFFER_LIMIT_REASON = 'response exceeds the buffer limit';
const FRAMING_LIMIT_REASON = 'response exceeds the framing limit';

/** One attempt to send a request to a runner. Settles exactly once, with the outcome. */
export class RunnerAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  readonly #options: RunnerAttemptOptions;
  readonly #client: ClientRequest;
  #settle: (outcome: AttemptOutcome) => void = () => undefined;
  #isSettled = false;
  #wasConnected = false;
  #connection: ConnectionMonitor | undefined;
  #framing: ResponseFraming | undefined;
  #bytes = 0;
  #interim: InterimMonitor | undefined;
  /** Memory that is held for the response, in bytes. */
  #heldBytes = 0;
  #isRelayed = false;
  #response: IncomingMessage | undefined;
  #reader: PacedReader | undefined;

  constructor(options: RunnerAttemptOptions) {
    this.#options = options;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#client = this.#send();
  }

  /** The response waits for its turn to be read. */
  get isHeld(): boolean {
    return this.#reader?.isHeld ?? false;
  }

  /** Ends the attempt with `outcome` and closes the connection to the runner. */
  abort(outcome: AttemptOutcome): void {
    this.#finish(outcome);
    this.#client.destroy();
  }

  #send(): ClientRequest {
    const { dialect, agent, request, metadata } = this.#options;
    const { host, port } = metadata.runner.address;
    const client = sendRequest({
      host,
      port,
      agent,
      method: request.method,
      path: request.target,
      headers: dialect.runnerHeaders(request, metadata),
      setHost: false,
    });
    this.#connection = new ConnectionMonitor(client);
    this.#interim = new InterimMonitor(client);
    client.on('socket', (socket) => {
      this.#paceReads(client, socket);
      if (!socket.connecting) this.#wasConnected = true;
      else
        socket.once('connect', () => {
          this.#wasConnected = true;
        });
    });
    client.on('response', (response) => {
      this.#guard(() => {
        this.#handleResponse(response);
      });
    });
    client.on('error', (error: NodeJS.ErrnoException) => {
      // What follows a whole response on its connection belongs to no request.
      if (this.#isWhole) return;
      if (this.#wasConnected) this.#break(error.message, !isParseError(error));
      else this.#finish({ kind: 'unsent', failure: linkFailureOf(error) });
    });
    client.on('close', () => {
      if (this.#isWhole) return;
      this.#break('connection closed before a response was received');
    });
    client.on('upgrade', (_response, socket) => {
      socket.destroy();
    });
    client.end(request.body);
    return client;
  }

  /** Bounds what the node reads, and the time that it takes, also where no body arrives. */
  #paceReads(client: ClientRequest, socket: Socket): void {
    const { intake, onRelease } = this.#options;
    const reader = new PacedReader({ socket, turns: intake.turns, onRelease });
    this.#reader = reader;
    const bytesBefore = socket.bytesRead;
    const onRead = (): void => {
      reader.begin();
    };
    const onHandled = (): void => {
      if (this.#isSettled || this.#isWhole) return;
      const wireBytes = socket.bytesRead - bytesBefore;
      if (
        (this.#interim?.count ?? 0) > MAX_INTERIM_RESPONSES ||
        exceedsFramingLimit({ baseBytes: MAX_FRAMING_BYTES, wireBytes, bodyBytes: this.#bytes })
      ) {
        this.#reject(FRAMING_LIMIT_REASON);
        return;
      }
      reader.end();
    };
    socket.prependListener('data', onRead);
    socket.on('data', onHandled);
    client.once('close', () => {
      socket.off('data', onRead);
      socket.off('data', onHandled);
      reader.close();
    });
  }

  /** Runs `handle`, which reads the response or passes it on; what it throws ends the attempt only. */
  #guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.#reject(`response could not be handled: ${quoteText(reasonOf(error))}`);
    }
  }

  /** Ends the attempt because of what the runner has sent; its connection was not lost. */
  #reject(reason: string): void {
    this.abort({ kind: 'broken', reason, isConnectionLost: false });
  }

  #handleResponse(response: IncomingMessage): void {
    if (this.#isSettled) return;
    const { dialect, request, sink, onHead, onProgress, agent } = this.#options;
    onProgress();
    const malformedReason = this.#interim?.malformedReason ?? invalidResponseReason(response);
    if (malformedReason !== undefined) {
      this.#reject(malformedReason);
      return;
    }
    const keepAlive = response.headers['keep-alive'];
    if (typeof keepAlive === 'string') agent.setKeepAlive(keepAlive);
    const head = dialect.parseResponseHead(response.statusCode ?? 0, response.rawHeaders);
    const invalidReason = invalidHeadReason(head, {
      requestId: request.id,
      hasBegun: sink?.hasBegun ?? false,
    });
    if (invalidReason !== undefined) {
      this.#reject(invalidReason);
      return;
    }
    this.#framing = responseFraming({
      method: request.method,
      status: head.status,
      headers: response.headers,
    });
    this.#response = response;
    onHead(head);
    response.on('data', (bytes: Buffer) => {
      this.#bytes += bytes.length;
    });
    response.on('error', (error) => {
      this.#break(error.message);
    });
    if (sink && isSuccess(head.status)) this.#relay(response, head, sink);
    else this.#collect(response, head);
  }

  #relay(response: IncomingMessage, head: ResponseHead, sink: ResponseSink): void {
    this.#isRelayed = true;
    sink.begin(head);
    response.on('data', (bytes: Buffer) => {
      this.#guard(() => {
        this.#passOn(response, bytes, sink);
      });
    });
    response.on('end', () => {
      this.#guard(() => {
        this.#endRelay(response, head, sink);
      });
    });
  }

  #passOn(response: IncomingMessage, bytes: Buffer, sink: ResponseSink): void {
    if (this.#isSettled) return;
    const drained = sink.push(bytes);
    const { bufferedBytes, heldBytes, unfinishedBytes, fault } = sink;
    if (fault !== undefined) {
      this.#reject(fault);
      return;
    }
    if (!this.#mayHold(heldBytes, bufferedBytes <= MAX_EVENT_BYTES)) return;
    // Bytes that complete no event are no progress.
    if (unfinishedBytes < bytes.length) this.#options.onProgress();
    if (!drained) return;
    response.pause();
    void drained.then(() => response.resume());
  }

  #endRelay(response: IncomingMessage, head: ResponseHead, sink: ResponseSink): void {
    if (this.#isSettled) return;
    const transfer = this.#transfer();
    const isEmptyStream = isEventStream(head.contentType) && !sink.hasEvents;
    if (!this.#acceptEnd(response, isEmptyStream)) return;
    sink.end();
    if (sink.fault === undefined) this.#finish({ kind: 'relayed', transfer });
    else this.#reject(sink.fault);
  }

  #collect(response: IncomingMessage, head: ResponseHead): void {
    const body = new ByteBuffer();
    response.on('data', (bytes: Buffer) => {
      if (this.#isSettled) return;
      this.#guard(() => {
        body.append(bytes);
        if (this.#mayHold(body.heldBytes)) this.#options.onProgress();
      });
    });
    response.on('end', () => {
      if (this.#isSettled) return;
      this.#guard(() => {
        if (!this.#acceptEnd(response)) return;
        this.#finish(this.#outcomeOf({ head, body: body.take() }));
      });
    });
  }

  /**
   * Ends the attempt as broken, and returns false, unless the body is whole and the trailer, which is not
   * passed on, is valid.
   */
  #acceptEnd({ complete, rawTrailers }: IncomingMessage, isEmptyStream = false): boolean {
    const transfer = this.#transfer();
    const hasEnded = this.#connection?.hasFramingEnded(transfer.framing) ?? false;
    const incomplete = incompleteReason(hasEnded, transfer, isEmptyStream);
    if (incomplete !== undefined) {
      // The end of the connection has cut the body, or would have marked its end.
      this.#break(incomplete, !complete || transfer.framing === 'connection');
      return false;
    }
    const invalid = invalidFieldsReason(rawTrailers);
    if (invalid !== undefined) this.#reject(invalid);
    return invalid === undefined;
  }

  /** Accounts for the memory held for the response; ends the attempt when it is too much. */
  #mayHold(heldBytes: number, isWithinLimit = true): boolean {
    if (isWithinLimit && this.#options.intake.responses.tryGrow(this.#heldBytes, heldBytes)) {
      this.#heldBytes = heldBytes;
      return true;
    }
    this.#reject(BUFFER_LIMIT_REASON);
    return false;
  }

  #outcomeOf(response: RunnerResponse): AttemptOutcome {
    const { status, isNotExecuted } = response.head;
    if (isNotExecuted || status === MISDIRECTED) {
      return { kind: 'refused', isMisdirected: status === MISDIRECTED, head: response.head };
    }
    if (NOT_RUN_STATUSES.has(status)) {
      const reason = `status ${status} without Not-Executed`;
      return { kind: 'broken', reason, isConnectionLost: false, transfer: this.#transfer() };
    }
    return { kind: 'answered', response, transfer: this.#transfer() };
  }

  /** The framing of the response has ended; what it had to read may still be on its way to `end`. */
  get #isWhole(): boolean {
    return this.#framing !== 'connection' && this.#response?.complete === true;
  }

  #transfer(): ResponseTransfer {
    return {
      framing: this.#framing ?? 'length',
      bytes: this.#bytes,
      connection: this.#connection?.state ?? 'open',
      partialEventBytes: this.#isRelayed ? this.#options.sink?.partialEventBytes : undefined,
    };
  }

  #break(reason: string, isConnectionLost = true): void {
    const hasHead = this.#framing !== undefined;
    this.#finish({
      kind: 'broken',
      reason,
      isConnectionLost,
      ...(hasHead ? { transfer: this.#transfer() } : {}),
    });
  }

  #finish(outcome: AttemptOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#options.intake.responses.tryGrow(this.#heldBytes, 0);
    this.#settle(outcome);
  }
}
