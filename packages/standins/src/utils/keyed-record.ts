const LENGTH_BYTES = 4;

/** Encodes a record of a keyed topic in the published format: length, length of the key, key, value. */
export function keyedRecord(key: string, value: Buffer): Buffer {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  return Buffer.concat([length, Buffer.from([keyBytes.length]), keyBytes, value]);
}
