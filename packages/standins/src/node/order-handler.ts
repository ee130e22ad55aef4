import * as z from 'zod';
import type { HttpCall } from '../types/http-call.ts';
import type { HttpReply } from '../types/http-reply.ts';
import { parseBody } from './parse-body.ts';

interface Order {
  readonly fence: number;
  readonly action: string;
  readonly applied: boolean;
  readonly body: unknown;
}

const orderSchema = z.looseObject({ fence: z.number(), action: z.string() });

/** Handles the orders sent to a model runner: applies them in order of arrival, or rejects those with an outdated fence. */
export class OrderHandler {
  readonly #fencing: boolean;
  #orders: readonly Order[] = [];
  #fence = -Infinity;
  #state: unknown = {};

  constructor(fencing: boolean) {
    this.#fencing = fencing;
  }

  receive(call: HttpCall): HttpReply {
    const body = parseBody(orderSchema, call.body);
    const { fence, action } = body;
    const applied = !this.#fencing || fence >= this.#fence;
    this.#orders = [...this.#orders, { fence, action, applied, body }];
    if (!applied) return { status: 409, body: { code: 'old-fence', fence: this.#fence } };
    this.#fence = this.#fencing ? fence : Math.max(fence, this.#fence);
    this.#state = body;
    return { status: 200, body: { state: this.#state } };
  }

  /** Replies with the body of the last applied order. */
  state(): HttpReply {
    return { status: 200, body: { state: this.#state } };
  }

  /** Replies with every order received, applied or not. */
  dump(): HttpReply {
    return { status: 200, body: { orders: this.#orders } };
  }
}
