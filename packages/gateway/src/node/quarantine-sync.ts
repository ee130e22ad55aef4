import { ageEvidence } from '@ragwortrudder/admission';
import type { PromptEvidence, PromptQuarantine, QuarantineChange } from '@ragwortrudder/admission';
import type { KeyedLog } from '@ragwortrudder/log';
import { StoredPromptEvidence } from '../types/stored-prompt-evidence.ts';
import { decodeJson } from '../utils/decode-json.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
import type { DecisionLog } from './decision-log.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';

interface QuarantineSyncOptions {
  readonly quarantine: PromptQuarantine;
  readonly log: KeyedLog;
  readonly node: string;
  readonly incarnation: number;
  /** Time of day that all nodes agree on, in milliseconds since the epoch. */
  readonly now: () => number;
  readonly decisions: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Some peers are unreachable, so that they exchange evidence with this node only through the log. */
  readonly isDivided: () => boolean;
  /** Called when requests may have to be stopped. */
  readonly onHeld: () => void;
}

const TOPIC = 'quarantine';

/**
 * Keeps the quarantine of prompt parts in the log, for nodes that start and for nodes that cannot
 * reach the others, and logs its changes.
 */
export class QuarantineSync {
  readonly #options: QuarantineSyncOptions;
  /** Parts in this node's record in the log. */
  #storedParts: ReadonlySet<string> = new Set();
  /** Undefined when it is not known what the log has. */
  #storedText: string | undefined = '';
  /** Era of the log in which the records of the other nodes were read. */
  #readEra: number | undefined;
  #isDirty = false;

  constructor(options: QuarantineSyncOptions) {
    this.#options = options;
  }

  /** Decides on the evidence and applies the result to requests in progress. */
  update(): void {
    const { quarantine, decisions, metrics, onHeld } = this.#options;
    const changes = quarantine.update();
    for (const change of changes) {
      const { part, kind, failedTrials, forMs } = change;
      metrics.count('prompt_parts', { change: kind });
      decisions.notable(`prompt-part-${kind}`, { part, failedTrials, forMs });
      this.#isDirty ||= this.#mustStore(change);
    }
    if (changes.some(({ kind }) => kind === 'quarantined' || kind === 'adopted')) onHeld();
  }

  /** Reads the records of the other nodes and stores this node's, where that is needed. */
  async exchange(): Promise<void> {
    const { log } = this.#options;
    const isRead = this.#readEra === log.era;
    if (!isRead && this.#readEra !== undefined) this.#forgetStored();
    const isDivided = this.#options.isDivided();
    if (!isRead || isDivided) await this.#read();
    if (this.#isDirty || isDivided) await this.#store();
  }

  /** After a restore the log may have any earlier record of this node, or none. */
  #forgetStored(): void {
    if (this.#storedText !== '') this.#storedText = undefined;
    this.#isDirty = true;
  }

  /** A quarantine is stored by the nodes that decided on it, and its end by those that stored it. */
  #mustStore({ kind, part }: QuarantineChange): boolean {
    return kind === 'quarantined' || (kind === 'released' && this.#storedParts.has(part));
  }

  async #read(): Promise<void> {
    const { log, quarantine, now, decisions } = this.#options;
    const { records, era } = await log.newest(TOPIC);
    for (const { key, value } of records) {
      if (!value) continue;
      const { data: stored, error } = StoredPromptEvidence.safeParse(decodeJson(value));
      if (!stored) {
        decisions.rejected({ topic: TOPIC, key, cause: schemaProblem(error) });
        continue;
      }
      if (key === this.#options.node && stored.life === this.#options.incarnation) continue;
      const sinceMs = Math.max(0, now() - stored.at);
      quarantine.setPeerEvidence(
        { node: `record of ${key}`, incarnation: String(stored.life) },
        ageEvidence(stored.evidence, sinceMs),
      );
    }
    this.#readEra = era;
  }

  async #store(): Promise<void> {
    const { log, quarantine, node, incarnation, now } = this.#options;
    const { evidence } = quarantine;
    const text = keyTextOf(evidence);
    if (text === this.#storedText) {
      this.#isDirty = false;
      return;
    }
    const stored: StoredPromptEvidence | undefined = evidence && {
      life: incarnation,
      at: now(),
      evidence,
    };
    const value = stored && Buffer.from(JSON.stringify(stored));
    await log.append({ topic: TOPIC, key: node, ...(value ? { value } : {}) });
    this.#isDirty = false;
    this.#storedText = text;
    this.#storedParts = new Set(evidence?.quarantined.map(({ part }) => part));
  }
}

/** Text that changes whenever the evidence does, other than by ageing. */
function keyTextOf(evidence: PromptEvidence | undefined): string {
  if (!evidence) return '';
  return JSON.stringify([
    evidence.interrupted.map(({ runner, request }) => `${runner} ${request}`),
    evidence.quarantined.map(({ part, failedTrials }) => `${part} ${failedTrials}`),
  ]);
}
