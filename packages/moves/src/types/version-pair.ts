/** The two versions of a service that a move compares. */
export interface VersionPair {
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
}
