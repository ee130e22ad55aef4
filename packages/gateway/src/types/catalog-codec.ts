import type { Configuration, RunnerEntry } from '@ragwortrudder/catalog';

/** Decodes the configuration and runner records of a deployment. */
export interface CatalogCodec {
  /** Topic and key of the configuration record. */
  readonly configurationTopic: string;
  readonly configurationKey: string;
  /** Topic with one entry for each runner, keyed by runner id. */
  readonly runnerTopic: string;
  /** Returns undefined when the record is not a valid configuration. */
  decodeConfiguration(value: Uint8Array): Configuration | undefined;
  /** Returns undefined when the record is not a valid entry. */
  decodeRunner(id: string, value: Uint8Array): RunnerEntry | undefined;
}
