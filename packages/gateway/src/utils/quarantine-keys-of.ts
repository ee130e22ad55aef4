import { repeatKey } from '@ragwortrudder/admission';
import type { CallerRequest } from '../types/caller-request.ts';
import { sharedPartsOf } from './shared-parts-of.ts';

/** What a request may be quarantined for: itself, and the prompt parts that others may share. */
export function quarantineKeysOf(request: CallerRequest, fingerprint: string): readonly string[] {
  return [repeatKey(fingerprint), ...sharedPartsOf(request)];
}
