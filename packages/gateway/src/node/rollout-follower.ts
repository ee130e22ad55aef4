import type { Clock, Random } from '@ragwortrudder/core';
import type { KeyedLog, KeyedPosition } from '@ragwortrudder/log';
import type { TopicFeed } from '../types/topic-feed.ts';
import { decodeJson } from '../utils/decode-json.ts';
import { encodeChange } from '../utils/encode-change.ts';
import { DutyTermStore } from './duty-term-store.ts';
import { Rollouts } from './rollouts.ts';

interface RolloutFollowerOptions {
  readonly log: Pick<KeyedLog, 'newest'>;
  readonly rollouts: Pick<Rollouts, 'isFollowing' | 'applyState'>;
  readonly clock: Clock;
  readonly random: Random;
  /** This node reads topics on behalf of its failure domain. */
  readonly isReader: () => boolean;
  /** Sends the result of a read to the other nodes of the failure domain. */
  readonly publishFeed: (feed: TopicFeed) => void;
}

/** Interval between reads of the states of open roll-outs, in milliseconds. */
const PERIOD_MS = 500;
/**
 * Maximum random delay by which a reader lets another one read first, in milliseconds; drawn after
 * each read.
 */
const READER_STAGGER_MS = 250;
/** Time beyond the period in which the feed of a reader arrives, in milliseconds. */
const FEED_SLACK_MS = 500;

/**
 * Follows the states of open roll-outs that the duty holder records. One of the readers of a failure
 * domain reads them and sends them to its other nodes, which read themselves when no feed arrives.
 */
export class RolloutFollower {
  readonly #options: RolloutFollowerOptions;
  /** Monotonic time of the next read, in milliseconds. */
  #readAt = -Infinity;
  /** Up to where the states that were applied last had been read. */
  #position: KeyedPosition = { offset: 0, era: 0 };

  constructor(options: RolloutFollowerOptions) {
    this.#options = options;
  }

  /** Reads the states if a roll-out is open and they have not been received. Called several times a second. */
  async update(): Promise<void> {
    const { log, rollouts, clock, publishFeed } = this.#options;
    if (!rollouts.isFollowing || clock.monotonic() < this.#readAt) return;
    this.#postpone();
    const { records, next, era } = await log.newest(DutyTermStore.topic);
    if (!this.#advance({ offset: next, era })) return;
    const states = records.filter(({ key }) => Rollouts.isKey(key));
    for (const { value } of states) rollouts.applyState(decodeJson(value));
    const changes = states.map(encodeChange);
    publishFeed({ topic: DutyTermStore.topic, from: next, next, era, changes, isWhole: true });
  }

  /** Applies the states that a peer of the failure domain has read. */
  applyFeed({ changes, next, era }: TopicFeed): void {
    if (!this.#advance({ offset: next, era })) return;
    this.#postpone();
    for (const [key, value] of changes) {
      if (!Rollouts.isKey(key) || value === null) continue;
      this.#options.rollouts.applyState(decodeJson(Buffer.from(value, 'base64')));
    }
  }

  /** Returns false for states that are older than those that were applied last. */
  #advance({ offset, era }: KeyedPosition): boolean {
    const known = this.#position;
    if (era < known.era || (era === known.era && offset < known.offset)) return false;
    this.#position = { offset, era };
    return true;
  }

  #postpone(): void {
    const { clock, random, isReader } = this.#options;
    const slackMs = isReader() ? random.next() * READER_STAGGER_MS : FEED_SLACK_MS;
    this.#readAt = clock.monotonic() + PERIOD_MS + slackMs;
  }
}
