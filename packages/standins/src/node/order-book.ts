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

const order = z.looseObject({ fence: z.number(), action: z.string() });

/** Orders that a model runner received, applied in order of arrival or refused by their fence. */
export class OrderBook {
  readonly #fencing: boolean;
  #orders: readonly Order[] = [];
  #fence = -Infinity;
  #state: unknown = {};

  constructor(fencing: boolean) {
    this.#fencing = fencing;
  }

  place(call: HttpCall): HttpReply {
    const body = parseBody(order, call.body);
    const { fence, action } = body;
    const applied = !this.#fencing || fence >= this.#fence;
    this.#orders = [...this.#orders, { fence, action, applied, body }];
    if (!applied) return { status: 409, body: { code: 'old-fence', fence: this.#fence } };
    this.#fence = this.#fencing ? fence : Math.max(fence, this.#fence);
    this.#state = body;
    return { status: 200, body: { state: this.#state } };
  }

  /** The state that the last applied order asked for. */
  state(): HttpReply {
    return { status: 200, body: { state: this.#state } };
  }

  /** Every order received. */
  dump(): HttpReply {
    return { status: 200, body: { orders: this.#orders } };
  }
}
