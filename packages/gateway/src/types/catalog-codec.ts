import type { Configuration, RunnerEntry } from '@ragwortrudder/catalog';

/** Decodes the records in which operators and runners describe the deployment. */
export interface CatalogCodec {
  /** Topic and key of the configuration. */
  readonly configurationTopic: string;
  readonly configurationKey: string;
  /** Topic in which each runner keeps its entry under its id. */
  readonly runnerTopic: string;
  /** Undefined when the record is not a valid configuration. */
  decodeConfiguration(value: Uint8Array): Configuration | undefined;
  /** Undefined when the record is not a valid entry. */
  decodeRunner(id: string, value: Uint8Array): RunnerEntry | undefined;
}
