import { repeatKey } from '@ragwortrudder/admission';
import type { CallerRequest } from '../types/caller-request.ts';
import { requestFingerprint } from './request-fingerprint.ts';
import { sharedPartsOf } from './shared-parts-of.ts';

/** What a request may be quarantined for: itself, and the prompt parts that others may share. */
export function quarantineKeysOf(
  request: CallerRequest,
  team: string | undefined,
): readonly string[] {
  return [repeatKey(requestFingerprint(request, team)), ...sharedPartsOf(request)];
}
