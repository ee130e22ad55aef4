/** Record to append to a keyed topic. */
export interface KeyedAppend {
  readonly topic: string;
  readonly key: string;
  /** New value of the key; absent to delete the key. */
  readonly value?: Uint8Array;
  /** Expected end offset of the topic; the append takes effect only if the topic ends there. */
  readonly at?: number;
  /** Era in which `at` is valid; the append is a conflict when the log is in another one. */
  readonly era?: number;
}
