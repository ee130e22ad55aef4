import type { ProcessorMeter } from '@ragwortrudder/core';
import type * as z from 'zod';
import { ConfigurationPart } from '../types/configuration-part.ts';
import { ConfigurationRequest } from '../types/configuration-request.ts';
import type { DomainDigest } from '../types/domain-digest.ts';
import { Introduction } from '../types/introduction.ts';
import type { NodeReport } from '../types/node-report.ts';
import { PromptAnnouncement } from '../types/prompt-announcement.ts';
import { QuotaLevels } from '../types/quota-levels.ts';
import { TopicFeed } from '../types/topic-feed.ts';
import { parseDomainDigest } from '../utils/parse-domain-digest.ts';
import { parseNodeReport } from '../utils/parse-node-report.ts';
import { reasonOf } from '../utils/reason-of.ts';
import { schemaProblem } from '../utils/schema-problem.ts';
import type { DecisionLog } from './decision-log.ts';

interface PeerMessagesOptions {
  readonly log: Pick<DecisionLog, 'rejected'>;
  readonly processor: Pick<ProcessorMeter, 'measure'>;
  readonly onReport: (report: NodeReport) => void;
  readonly onDigest: (digest: DomainDigest) => void;
  readonly onIntroduction: (introduction: Introduction) => void;
  readonly onPromptAnnouncement: (announcement: PromptAnnouncement) => void;
  readonly onConfigurationRequest: (request: ConfigurationRequest) => void;
  readonly onConfigurationPart: (part: ConfigurationPart) => void;
  readonly onQuotaLevels: (levels: QuotaLevels) => void;
  readonly onFeed: (feed: TopicFeed) => void;
}

const METHODS = {
  report: 'report',
  digest: 'digest',
  introduction: 'introduction',
  feed: 'feed',
  prompt: 'prompt',
  configurationRequest: 'configuration-request',
  configuration: 'configuration',
  quotaLevels: 'quota-levels',
} as const;
/** By method: the activity that its processor time counts to. */
const ACTIVITIES: ReadonlyMap<string, string> = new Map(
  Object.entries(METHODS).map(([name, method]) => [method, name]),
);
/** Under which rejected messages are logged. */
const MESSAGE_TOPIC = 'peer-message';

/** Checks the messages of peers and hands them to their receivers. */
export class PeerMessages {
  /** Methods of the messages. */
  static readonly methods = METHODS;
  readonly #options: PeerMessagesOptions;

  constructor(options: PeerMessagesOptions) {
    this.#options = options;
  }

  receive(method: string, params: unknown): void {
    const activity = ACTIVITIES.get(method);
    if (!activity) {
      this.#reject(method, 'unknown method');
      return;
    }
    this.#options.processor.measure(activity, () => {
      this.#receive(method, params);
    });
  }

  #receive(method: string, params: unknown): void {
    const { methods } = PeerMessages;
    const options = this.#options;
    switch (method) {
      case methods.report:
        this.#apply(method, parseNodeReport(params), options.onReport);
        return;
      case methods.digest:
        this.#apply(method, parseDomainDigest(params), options.onDigest);
        return;
      case methods.introduction:
        this.#apply(method, Introduction.safeParse(params), options.onIntroduction);
        return;
      case methods.prompt:
        this.#apply(method, PromptAnnouncement.safeParse(params), options.onPromptAnnouncement);
        return;
      case methods.configurationRequest:
        this.#apply(method, ConfigurationRequest.safeParse(params), options.onConfigurationRequest);
        return;
      case methods.configuration:
        this.#apply(method, ConfigurationPart.safeParse(params), options.onConfigurationPart);
        return;
      case methods.quotaLevels:
        this.#apply(method, QuotaLevels.safeParse(params), options.onQuotaLevels);
        return;
      case methods.feed:
        this.#apply(method, TopicFeed.safeParse(params), options.onFeed);
        return;
    }
  }

  /** Applies a message; one that cannot be applied must not end the node. */
  #apply<T>(method: string, parsed: z.ZodSafeParseResult<T>, apply: (message: T) => void): void {
    if (!parsed.success) {
      this.#reject(method, schemaProblem(parsed.error));
      return;
    }
    try {
      apply(parsed.data);
    } catch (error) {
      this.#reject(method, reasonOf(error));
    }
  }

  #reject(method: string, cause: string): void {
    this.#options.log.rejected({ topic: MESSAGE_TOPIC, key: method, cause });
  }
}
