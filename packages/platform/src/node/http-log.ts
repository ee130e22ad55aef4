import { Failure } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { LogExpired, LogRateExceeded, LogRecordTooLarge, LogUnavailable } from '@ragwortrudder/log';
import type { Log, LogAppend, LogPage, LogRead } from '@ragwortrudder/log';
import type { z } from 'zod';
import { AppendAnswer } from '../types/append-answer.ts';
import type { PlatformAnswer } from '../types/platform-answer.ts';
import type { PlatformCall } from '../types/platform-call.ts';
import { ExpiredAnswer } from '../types/expired-answer.ts';
import type { HttpLogOptions } from '../types/http-log-options.ts';
import { PageAnswer } from '../types/page-answer.ts';
import { validateAnswer } from '../utils/validate-answer.ts';
import { retryAfterMs } from '../utils/retry-after-ms.ts';
import { PlatformHttp } from './platform-http.ts';

/** {@link Log} backed by one stream of the platform's log service. */
export class HttpLog implements Log, Closeable {
  readonly #http: PlatformHttp;
  readonly #path: string;

  constructor({ stream, ...options }: HttpLogOptions) {
    this.#http = new PlatformHttp(options);
    this.#path = `log/${encodeURIComponent(stream)}/records`;
  }

  async append({ id, body }: LogAppend): Promise<number> {
    const answer = await this.#call({ method: 'POST', path: this.#path, body: { id, body } });
    if (answer.status === 413) throw new LogRecordTooLarge();
    if (answer.status === 429) {
      throw new LogRateExceeded(retryAfterMs(answer.retryAfter, Date.now()));
    }
    return parseContent(answer, 201, AppendAnswer).offset;
  }

  async read({ from, limit, waitMs, signal }: LogRead): Promise<LogPage> {
    const answer = await this.#call({
      method: 'GET',
      path: this.#path,
      query: { from, limit, waitMs },
      waitMs,
      ...(signal ? { signal } : {}),
    });
    if (answer.status === 410) {
      const { first, next } = parseContent(answer, 410, ExpiredAnswer);
      throw new LogExpired(first, next);
    }
    const { records, next, first } = parseContent(answer, 200, PageAnswer);
    return { records: records.map((record) => ({ ...record, body: record.body })), next, first };
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #call(call: PlatformCall): Promise<PlatformAnswer> {
    try {
      return await this.#http.call(call);
    } catch (error) {
      const notRun = error instanceof Failure && error.notRun;
      throw new LogUnavailable('the log service did not answer', { cause: error, notRun });
    }
  }
}

function parseContent<T extends z.ZodType>(
  answer: PlatformAnswer,
  status: number,
  schema: T,
): z.infer<T> {
  if (answer.status !== status) {
    throw new LogUnavailable(`the log service answered with unexpected status ${answer.status}`);
  }
  try {
    return validateAnswer(schema, answer.body);
  } catch (error) {
    throw new LogUnavailable('the answer of the log service does not match its schema', {
      cause: error,
    });
  }
}
