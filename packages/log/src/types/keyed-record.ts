/** Record of a keyed topic; a record without a value is a tombstone that deletes its key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}
