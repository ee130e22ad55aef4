import { inject, injectable } from 'inversify';
import type { Incarnation } from '@ragwortrudder/core';
import { ExecutorUnreachable } from '../../errors/executor-unreachable.ts';
import { ForwardedRefusal } from '../../errors/forwarded-refusal.ts';
import { InProgressElsewhere } from '../../errors/in-progress-elsewhere.ts';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import { requestsSubmit } from '../../types/methods/requests-submit.ts';
import type { KeyedRequest } from '../../types/keyed-request.ts';
import type { Submission } from '../../types/submission.ts';
import { recordedOutcomeEvents } from '../../utils/recorded-outcome-events.ts';
import { PeerClient } from '../peers/peer-client.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';
import { KeyDirectory } from './key-directory.ts';

const SUBMIT_TIMEOUT_MS = 5000;

/** Forwards a request under a key to the node that may run it, or looks up its outcome. */
@injectable()
export class KeyForwarder {
  readonly #client: PeerClient;
  readonly #peers: PeerDirectory;
  readonly #keyDirectory: KeyDirectory;

  constructor(
    @inject(PeerClient) client: PeerClient,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(KeyDirectory) keyDirectory: KeyDirectory,
  ) {
    this.#client = client;
    this.#peers = peers;
    this.#keyDirectory = keyDirectory;
  }

  /**
   * Submits `request` to `executor`; looks up its outcome if that incarnation has ended.
   * @throws {@link ExecutorUnreachable} if the executor may be alive but does not answer.
   * @throws {@link InProgressElsewhere} if another node has already forwarded the request.
   */
  async forward(request: KeyedRequest, executor: Incarnation): Promise<Submission> {
    if (request.forwarded) throw new InProgressElsewhere(executor.nodeId);
    if (this.#peers.isGone(executor)) return this.resolve(request);
    const member = this.#peers.find(executor.nodeId);
    if (member?.incarnation !== executor.number) throw new ExecutorUnreachable(executor.nodeId);
    const response = await this.#client
      .call({
        address: member.peerAddress,
        method: requestsSubmit,
        params: { ...request, forwarded: true },
        timeoutMs: SUBMIT_TIMEOUT_MS,
      })
      .catch(() => {
        throw new ExecutorUnreachable(executor.nodeId);
      });
    if (response.state === 'refused') throw new ForwardedRefusal(response.refusal);
    if (response.state === 'answered') return { kind: 'answer', events: response.events };
    return { kind: 'request', id: response.id };
  }

  /**
   * Finds the request under the key, or its outcome, on any reachable node.
   * @throws {@link OutcomeUnknown} if no node has a record of it.
   */
  async resolve(request: KeyedRequest): Promise<Submission> {
    const found = await this.#keyDirectory.find(request.tenant, request.key);
    if (found.requestId !== undefined) return { kind: 'request', id: found.requestId };
    const { word: outcome, result } = found;
    if (outcome === 'completed' || outcome === 'failed' || outcome === 'not-run') {
      return { kind: 'answer', events: recordedOutcomeEvents(request.key, outcome, result) };
    }
    throw new OutcomeUnknown(request.key);
  }
}
