import type { KeyedLog } from '@ragwortrudder/log';
import type { CatalogCodec } from '../types/catalog-codec.ts';
import type { RolloutStatus } from '../types/rollout-status.ts';

interface RolloutStatusWriterOptions {
  readonly log: Pick<KeyedLog, 'newest' | 'append'>;
  readonly codec: Pick<CatalogCodec, 'statusTopic' | 'encodeRolloutStatus'>;
}

/** Writes the states of roll-outs for the operator. */
export class RolloutStatusWriter {
  readonly #options: RolloutStatusWriterOptions;

  constructor(options: RolloutStatusWriterOptions) {
    this.#options = options;
  }

  /** Writes a state; one whose reply is lost and that is done later replaces no newer state. */
  async write(status: RolloutStatus): Promise<void> {
    const { log, codec } = this.#options;
    const topic = codec.statusTopic;
    const { key, value } = codec.encodeRolloutStatus(status);
    const { next: at, era } = await log.newest(topic);
    await log.append({ topic, key, value, at, era });
  }
}
