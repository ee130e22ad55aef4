/** Request under an issued key. */
export interface KeyRequest {
  readonly tenant: string;
  readonly key: string;
  readonly requestDigest: string;
}
