import type { NodeReport } from '../types/node-report.ts';
import { STATEMENT_CHECKS } from './statement-checks.ts';
import { USAGE_WINDOW_PATTERN } from './usage-window-pattern.ts';
import { VALUE_CHECKS } from './value-checks.ts';

const { isAmount, isBoolean, isLeftToSchema, isOrdinal, isPort, isText } = VALUE_CHECKS;
const { matching, objectOf, recordOf, tupleOf } = VALUE_CHECKS;

const isRecordOfAmounts = recordOf(isAmount);

/** Accepts reports as their schema does, but for those with outcomes of roll-outs. */
export const isCommonReport = objectOf<NodeReport>({
  required: {
    node: isText,
    host: isText,
    port: isPort,
    failureDomain: isText,
    life: isOrdinal,
    sequence: isOrdinal,
    now: isOrdinal,
    work: recordOf(tupleOf(isAmount, isAmount, isAmount)),
    taken: isRecordOfAmounts,
    usage: recordOf(isRecordOfAmounts, matching(USAGE_WINDOW_PATTERN)),
    demand: recordOf(tupleOf(isAmount, isAmount, isAmount)),
    duty: isOrdinal,
    isLeaving: isBoolean,
  },
  optional: {
    earlierDemand: recordOf(tupleOf(isAmount, isAmount, isAmount, isAmount)),
    configuration: isOrdinal,
    readsLocalDigests: isBoolean,
    readsCompressed: isBoolean,
    keepsHomeRegions: isBoolean,
    asksQuotaLevels: isBoolean,
    fingerprint: isOrdinal,
    listReadMs: isOrdinal,
    leaving: STATEMENT_CHECKS.boots,
    outOfReach: STATEMENT_CHECKS.boots,
    reached: STATEMENT_CHECKS.boots,
    limits: STATEMENT_CHECKS.limits,
    cold: STATEMENT_CHECKS.cold,
    speeds: recordOf(tupleOf(isAmount, isAmount)),
    outcomes: isLeftToSchema,
    brittle: STATEMENT_CHECKS.brittle,
    prompts: STATEMENT_CHECKS.prompts,
  },
});
