import type { Random } from '@ragwortrudder/core';
import type { Member } from '../types/member.ts';
import { shuffle } from './shuffle.ts';

/** Round robin in a random order that changes after each pass, so that each member's turn comes in bounded time. */
export class ProbeOrder {
  readonly #random: Random;
  #waiting: readonly string[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  next(members: readonly Member[]): Member | undefined {
    const byId = new Map(members.map((member) => [member.nodeId, member]));
    this.#waiting = this.#waiting.filter((nodeId) => byId.has(nodeId));
    if (this.#waiting.length === 0) this.#waiting = shuffle([...byId.keys()], this.#random);
    const [first, ...rest] = this.#waiting;
    this.#waiting = rest;
    return first === undefined ? undefined : byId.get(first);
  }
}
