import type { Random } from '@ragwortrudder/core';
import type { Member } from '../types/member.ts';
import { shuffle } from './shuffle.ts';

/** Round-robin order that is reshuffled after each pass, which bounds the time until each member is probed. */
export class ProbeOrder {
  readonly #random: Random;
  #remaining: readonly string[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  next(members: readonly Member[]): Member | undefined {
    const byId = new Map(members.map((member) => [member.nodeId, member]));
    this.#remaining = this.#remaining.filter((nodeId) => byId.has(nodeId));
    if (this.#remaining.length === 0) this.#remaining = shuffle([...byId.keys()], this.#random);
    const [first, ...rest] = this.#remaining;
    this.#remaining = rest;
    return first === undefined ? undefined : byId.get(first);
  }
}
