import got from 'got';

const TIMEOUT_MS = 10_000;
const OPTIONS = { retry: { limit: 0 }, timeout: { request: TIMEOUT_MS } } as const;

/** Client for the control interfaces of stand-ins. */
export class ControlClient {
  async get<T>(url: string): Promise<T> {
    return got(url, OPTIONS).json<T>();
  }

  async post(url: string, json: unknown): Promise<void> {
    await got.post(url, { ...OPTIONS, json });
  }

  /** Returns the status of a GET request, or 0 if it got no response. */
  async status(url: string): Promise<number> {
    return got(url, { ...OPTIONS, throwHttpErrors: false }).then(
      (response) => response.statusCode,
      () => 0,
    );
  }
}
