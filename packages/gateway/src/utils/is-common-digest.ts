import type { DomainDigest } from '../types/domain-digest.ts';
import { STATEMENT_CHECKS } from './statement-checks.ts';
import { VALUE_CHECKS } from './value-checks.ts';

const { isAmount, isBoolean, isOrdinal, isPort, isText } = VALUE_CHECKS;
const { objectOf, recordOf, tupleOf } = VALUE_CHECKS;

/** Accepts digests as their schema does. */
export const isCommonDigest = objectOf<DomainDigest>({
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
    now: isOrdinal,
    heard: recordOf(tupleOf(isOrdinal, isOrdinal, isOrdinal)),
    configuration: isOrdinal,
    readsCompressed: isBoolean,
    listReadMs: isOrdinal,
    leaving: STATEMENT_CHECKS.boots,
    limits: STATEMENT_CHECKS.limits,
    cold: STATEMENT_CHECKS.cold,
    speeds: recordOf(tupleOf(isAmount, isAmount)),
    brittle: STATEMENT_CHECKS.brittle,
    prompts: STATEMENT_CHECKS.prompts,
  },
});
