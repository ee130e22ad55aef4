import { request as sendRequest } from 'node:http';
import { invalidResponseReason } from '@ragwortrudder/core';

interface Probe {
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
}

/** Status that a node answers to a request; undefined without a valid answer in time. */
export async function statusOf({
  address,
  path,
  headers,
  timeoutMs,
}: Probe): Promise<number | undefined> {
  const [host, port] = address.split(':');
  const signal = AbortSignal.timeout(timeoutMs);
  return new Promise((resolve) => {
    const client = sendRequest({ host, port, path, headers, signal, agent: false }, (response) => {
      response.resume();
      resolve(invalidResponseReason(response) === undefined ? response.statusCode : undefined);
    });
    client.on('error', () => {
      resolve(undefined);
    });
    client.end();
  });
}
