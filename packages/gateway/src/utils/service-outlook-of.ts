import type { FirstTokenEstimate, ServiceOutlook } from '@ragwortrudder/admission';
import type { Random } from '@ragwortrudder/core';
import { placeModelRequest } from '@ragwortrudder/routing';
import type { PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';
import type { PlacementSurvey } from '../types/placement-survey.ts';

interface SurveyedRequest {
  readonly survey: PlacementSurvey;
  readonly placement: PlacementRequest;
  readonly random: Random;
}

interface PlacedRequest {
  readonly id: string;
  readonly firstTokenMs: number;
  readonly prefillTokens: number;
}

/** What the admission gate needs to know about the runners of a service when a request is placed. */
export function serviceOutlookOf({ survey, placement, random }: SurveyedRequest): ServiceOutlook {
  const { chosen, candidates } = survey;
  const { failureDomain, prefillMsPerToken } = placement;
  const estimateOf = ({ id, firstTokenMs, prefillTokens }: PlacedRequest): FirstTokenEstimate => {
    const slowness = candidates.find((candidate) => candidate.id === id)?.slowness ?? 1;
    const prefillMs = prefillTokens * prefillMsPerToken * slowness;
    return { prefillMs, waitMs: Math.max(0, firstTokenMs - prefillMs) };
  };
  const withRequest = (): readonly PlacementCandidate[] =>
    candidates.map((candidate) =>
      candidate.id === chosen.entry.id
        ? {
            ...candidate,
            inFlight: candidate.inFlight + 1,
            prefillTokens: candidate.prefillTokens + chosen.prefillTokens,
          }
        : candidate,
    );
  return {
    runners: candidates.length,
    estimate: estimateOf({
      id: chosen.entry.id,
      firstTokenMs: chosen.expectedMs,
      prefillTokens: chosen.prefillTokens,
    }),
    estimateAfter: (promptTokens) => {
      const request: PlacementRequest = {
        ownTokens: promptTokens,
        sharedTokens: 0,
        outputTokens: 0,
        session: '',
        failureDomain,
        prefillMsPerToken,
      };
      const placed = placeModelRequest(request, withRequest(), random);
      return placed && estimateOf(placed);
    },
    occupancy: () => ({
      slots: candidates.reduce((sum, { slots }) => sum + slots, 0),
      inFlight: candidates.reduce((sum, { inFlight }) => sum + inFlight, 0),
      hasWaiting: candidates.some(({ inFlight, slots }) => inFlight > slots),
    }),
  };
}
