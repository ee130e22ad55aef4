import type {
  Configuration,
  EvacuationOrder,
  RolloutOrder,
  RunnerEntry,
} from '@ragwortrudder/catalog';
import type { RolloutStatus } from './rollout-status.ts';

/** Translates the records of a deployment: configuration, roll-outs, evacuations and runners. */
export interface CatalogCodec {
  /** Topic of the configuration and the orders of roll-outs and evacuations, and key of the configuration. */
  readonly configurationTopic: string;
  readonly configurationKey: string;
  /** Topic with one entry for each runner, keyed by runner id. */
  readonly runnerTopic: string;
  /** Returns undefined when the record is not a valid configuration. */
  decodeConfiguration(value: Uint8Array): Configuration | undefined;
  /** Which values of a valid configuration have no effect because they are invalid, with their paths. */
  ignoredIn(configuration: Uint8Array): readonly string[];
  /** Topic of what the operator is told of roll-outs. */
  readonly statusTopic: string;
  /** Returns undefined when the record is not a valid order of a roll-out. */
  decodeRollout(key: string, value: Uint8Array): RolloutOrder | undefined;
  /**
   * Returns undefined when the key is not that of an order to evacuate a failure domain; a removed record
   * has no value.
   */
  decodeEvacuation(key: string, value: Uint8Array | undefined): EvacuationOrder | undefined;
  encodeRolloutStatus(status: RolloutStatus): { readonly key: string; readonly value: Uint8Array };
  /**
   * Why a record of the topics of the configuration and of the runners is not used; undefined when it is
   * used, or is not meant for nodes.
   */
  problemOf(topic: string, key: string, value: Uint8Array): string | undefined;
  /** Returns undefined when the record is not a valid entry. */
  decodeRunner(id: string, value: Uint8Array): RunnerEntry | undefined;
}
