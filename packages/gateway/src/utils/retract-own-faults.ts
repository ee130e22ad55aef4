import type { PromptQuarantine } from '@ragwortrudder/admission';
import type { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerLinks } from '../node/runner-links.ts';
import { incarnationOf } from './incarnation-of.ts';

interface RetractOwnFaultsOptions {
  readonly quarantine: Pick<PromptQuarantine, 'setListed' | 'retract'>;
  readonly directory: Pick<RunnerDirectory, 'all'>;
  readonly links: Pick<RunnerLinks, 'ownFaults'>;
}

/** Time in which a node finds out that it has lost a link, in milliseconds. */
const LOST_LINK_DETECTION_MS = 2_000;

/** Holds nothing against prompts that this node's own lost links explain. */
export function retractOwnFaults({ quarantine, directory, links }: RetractOwnFaultsOptions): void {
  quarantine.setListed(new Set(directory.all().map(incarnationOf)));
  for (const { runner, since } of links.ownFaults()) {
    quarantine.retract(runner, since - LOST_LINK_DETECTION_MS);
  }
}
