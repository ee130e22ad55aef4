import { EVIDENCE_LIMITS, MAX_COLD_MS } from '@ragwortrudder/admission';
import type {
  BrittleReport,
  ColdStatement,
  PromptEvidence,
  StatedLimit,
} from '@ragwortrudder/admission';
import { MAX_COLD_STATEMENTS } from './max-cold-statements.ts';
import { VALUE_CHECKS } from './value-checks.ts';

const { anyOf, isAmount, isBoolean, isNull, isOrdinal, isText } = VALUE_CHECKS;
const { isWholeNumber, listOf, numberIn, objectOf, recordOf, tupleOf } = VALUE_CHECKS;

/** Bounds of the schemas; with smaller ones the schemas would decide more often. */
const MAX_RATE = 1_000_000;
const MAX_COUNT = 1_000_000_000;
const MAX_REJECTION_AGE_MS = 3_600_000;

const isCount = isWholeNumber(0, MAX_COUNT);
const limits = listOf(
  objectOf<StatedLimit>({
    required: {
      runner: isText,
      perSecond: anyOf(isNull, numberIn(0, MAX_RATE)),
      ageMs: isAmount,
    },
    optional: {},
  }),
);

/** Checks of what nodes tell each other of runners, for reports and digests. */
export const STATEMENT_CHECKS = {
  limits,
  cold: listOf(
    objectOf<ColdStatement>({
      required: { runner: isText, coldMs: numberIn(0, MAX_COLD_MS), ageMs: isAmount },
      optional: {},
    }),
    MAX_COLD_STATEMENTS,
  ),
  boots: listOf(tupleOf(isText, isOrdinal)),
  brittle: objectOf<BrittleReport>({
    required: {
      stated: limits,
      rejections: recordOf(tupleOf(isCount, numberIn(0, MAX_REJECTION_AGE_MS))),
      rooms: recordOf(isCount),
    },
    optional: {},
  }),
  prompts: objectOf<PromptEvidence>({
    required: {
      interrupted: listOf(
        objectOf<PromptEvidence['interrupted'][number]>({
          required: {
            runner: isText,
            request: isText,
            parts: listOf(isText, EVIDENCE_LIMITS.parts),
            hasResponded: isBoolean,
            ageMs: isAmount,
          },
          optional: {},
        }),
        EVIDENCE_LIMITS.interrupted,
      ),
      served: recordOf(isAmount),
      servedCount: isAmount,
      quarantined: listOf(
        objectOf<PromptEvidence['quarantined'][number]>({
          required: {
            part: isText,
            ageMs: isAmount,
            remainingMs: isAmount,
            failedTrials: isAmount,
          },
          optional: {},
        }),
        EVIDENCE_LIMITS.quarantined,
      ),
    },
    optional: {},
  }),
} as const;
