import { createHash } from 'node:crypto';
import type { CallerRequest } from '../types/caller-request.ts';

type RepeatedRequest = Pick<CallerRequest, 'method' | 'host' | 'target' | 'body'>;

const FINGERPRINT_LENGTH = 16;

/** Fingerprint that only repeats of a request share: the same team, method, target and body. */
export function requestFingerprint(request: RepeatedRequest, team = ''): string {
  const { method, host, target, body } = request;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([team, method, host, target]));
  if (body) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_LENGTH);
}
