/** Record to append to a keyed topic. */
export interface KeyedAppend {
  readonly topic: string;
  readonly key: string;
  /** Absent to remove the key. */
  readonly value?: Uint8Array;
  /** Offset at which the topic must end for the append to take effect. */
  readonly at?: number;
}
