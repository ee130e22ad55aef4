import { deflateRawSync } from 'node:zlib';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import { COMPACT_MARK } from './compact-mark.ts';

interface Message {
  readonly method: string;
  readonly params: object;
  /** All receivers read compressed messages. */
  readonly mayCompress: boolean;
}

/** Length from which a message is compressed, in bytes: a shorter one is a single packet as it is. */
const MIN_COMPRESSED_BYTES = 1_400;
const LEVEL = 3;

/** Encodes a message for peers. */
export function encodeMessage({ method, params, mayCompress }: Message): Buffer {
  const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(method, params)));
  if (!mayCompress || bytes.length < MIN_COMPRESSED_BYTES) return bytes;
  return Buffer.concat([COMPACT_MARK, deflateRawSync(bytes, { level: LEVEL })]);
}
