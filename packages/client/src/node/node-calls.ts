import got from 'got';
import { ConnectionLost } from '../errors/connection-lost.ts';
import { RequestRefused } from '../errors/request-refused.ts';
import { Problem } from '../types/problem.ts';

const DEFAULT_TIMEOUT_MS = 5000;

interface NodeCallsOptions {
  /** Addresses of nodes, `host:port`; they are tried in turn. */
  readonly nodes: readonly string[];
  /** Key of the tenant or operator. */
  readonly key: string;
  /**
   * Index of the node that is called first.
   * @default 0
   */
  readonly first?: number;
}

interface NodeCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Body of a POST, sent as JSON. */
  readonly body?: unknown;
  /**
   * Time in milliseconds for one node to answer.
   * @default 5000
   */
  readonly timeoutMs?: number;
}

/** Calls with JSON answers, sent to one node after the other until one answers. */
export class NodeCalls {
  readonly #options: NodeCallsOptions;
  #next: number;

  constructor(options: NodeCallsOptions) {
    this.#options = options;
    this.#next = options.first ?? 0;
  }

  /** Node whose turn it is. */
  nextNode(): string {
    const node = this.#node;
    this.#next += 1;
    return node;
  }

  /**
   * Body of the first answer. The node that gave it is asked first the next time.
   * @throws a refusal that is final, else the failure of the last node.
   */
  async call(call: NodeCall): Promise<unknown> {
    let last: unknown;
    for (let left = this.#options.nodes.length; left > 0; left -= 1) {
      try {
        return await this.#callOnce(this.#node, call);
      } catch (error) {
        last = error;
        this.#next += 1;
        if (error instanceof RequestRefused && !error.retryable) throw error;
      }
    }
    throw last;
  }

  get #node(): string {
    const { nodes } = this.#options;
    return nodes[this.#next % nodes.length] ?? '';
  }

  async #callOnce(node: string, { method, path, body, timeoutMs }: NodeCall): Promise<unknown> {
    const answer = await got(`http://${node}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.#options.key}` },
      ...(method === 'POST' ? { json: body ?? {} } : {}),
      timeout: { request: timeoutMs ?? DEFAULT_TIMEOUT_MS },
      retry: { limit: 0 },
      throwHttpErrors: false,
    }).catch((error: unknown) => {
      throw new ConnectionLost(node, error);
    });
    const content = parse(answer.body, node);
    if (answer.ok) return content;
    const problem = Problem.safeParse(content);
    throw problem.success ? new RequestRefused(problem.data) : new ConnectionLost(node, content);
  }
}

function parse(text: string, node: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ConnectionLost(node, error);
  }
}
