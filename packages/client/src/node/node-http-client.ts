import { callHttp, isSuccess } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import { RequestRefused } from '../errors/request-refused.ts';
import { Problem } from '../types/problem.ts';

const DEFAULT_TIMEOUT_MS = 5000;
/** Bound of an answer, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

interface NodeHttpClientOptions {
  /** Addresses of nodes, `host:port`; tried in round-robin order. */
  readonly nodes: readonly string[];
  /** API key of the tenant or operator. */
  readonly key: string;
  /**
   * Index of the node that is called first.
   * @default 0
   */
  readonly first?: number;
}

interface NodeRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Body of a POST, sent as JSON. */
  readonly body?: unknown;
  /**
   * Time in milliseconds within which a node must answer.
   * @default 5000
   */
  readonly timeoutMs?: number;
}

/** JSON client that tries the nodes in round-robin order until one answers. */
export class NodeHttpClient {
  readonly #options: NodeHttpClientOptions;
  #nextIndex: number;

  constructor(options: NodeHttpClientOptions) {
    this.#options = options;
    this.#nextIndex = options.first ?? 0;
  }

  /** Returns the next node in round-robin order. */
  nextNode(): string {
    const node = this.#node;
    this.#nextIndex += 1;
    return node;
  }

  /**
   * Returns the body of the first successful answer. The next call starts with the node that gave it.
   * @throws a refusal that is not retryable, else the failure of the last node that was tried.
   */
  async call(call: NodeRequest): Promise<unknown> {
    let lastError: unknown;
    for (let remaining = this.#options.nodes.length; remaining > 0; remaining -= 1) {
      try {
        return await this.#callOnce(this.#node, call);
      } catch (error) {
        lastError = error;
        this.#nextIndex += 1;
        if (error instanceof RequestRefused && !error.retryable) throw error;
      }
    }
    throw lastError;
  }

  get #node(): string {
    const { nodes } = this.#options;
    return nodes[this.#nextIndex % nodes.length] ?? '';
  }

  async #callOnce(node: string, { method, path, body, timeoutMs }: NodeRequest): Promise<unknown> {
    const answer = await callHttp({
      url: `http://${node}${path}`,
      method,
      headers: {
        accept: 'application/json',
        authorization: `Bearer ${this.#options.key}`,
        ...(method === 'POST' ? { 'content-type': 'application/json' } : {}),
      },
      ...(method === 'POST' ? { body: JSON.stringify(body ?? {}) } : {}),
      timeoutMs: timeoutMs ?? DEFAULT_TIMEOUT_MS,
      maxBodyBytes: MAX_ANSWER_BYTES,
    }).catch((error: unknown) => {
      throw new ConnectionLost(node, error);
    });
    const content = parseJson(answer.body.toString(), node);
    if (isSuccess(answer.status)) return content;
    const problem = Problem.safeParse(content);
    throw problem.success ? new RequestRefused(problem.data) : new ConnectionLost(node, content);
  }
}

function parseJson(text: string, node: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ConnectionLost(node, error);
  }
}
