import type * as z from 'zod';
import { DomainDigest } from '../types/domain-digest.ts';
import { VALUE_CHECKS } from './value-checks.ts';

const { isAmount, isBoolean, isOrdinal, isPort, isText } = VALUE_CHECKS;
const { listOf, objectOf, recordOf, tupleOf } = VALUE_CHECKS;

/** The fields that most digests have. */
const isCommonDigest = objectOf({
  required: {
    relay: isText,
    failureDomain: isText,
    life: isOrdinal,
    sequence: isOrdinal,
    members: recordOf(tupleOf(isText, isPort, isOrdinal)),
    work: recordOf(tupleOf(isAmount, isAmount, isAmount)),
    taken: recordOf(isAmount),
  },
  optional: {
    configuration: isOrdinal,
    now: isOrdinal,
    listReadMs: isOrdinal,
    heard: recordOf(tupleOf(isOrdinal, isOrdinal, isOrdinal)),
    readsCompressed: isBoolean,
    leaving: listOf(tupleOf(isText, isOrdinal)),
    speeds: recordOf(tupleOf(isAmount, isAmount)),
  },
});

/** Checks a digest of another domain; the schema is only used for digests with fields that few have. */
export function parseDomainDigest(value: unknown): z.ZodSafeParseResult<DomainDigest> {
  if (isCommonDigest(value)) return { success: true, data: value as DomainDigest };
  return DomainDigest.safeParse(value);
}
