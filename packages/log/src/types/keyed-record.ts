/** Record of a keyed topic; without a value it removes its key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}
