import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { receiveBody } from '../../packages/standins/src/utils/receive-body.ts';
import type { Act } from './acts.ts';
import type { Recorder } from './recorder.ts';

interface UsageReport {
  readonly window_seq: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Platform API that accepts all calls, and finds windows with reports of different counts. */
export class UsagePlatform {
  readonly #recorder: Recorder;
  readonly #server: Server;
  readonly #accepted = new Map<number, string>();
  readonly conflicts: string[] = [];
  /** Usage reports in the order in which they arrived. */
  readonly acts: Act[] = [];
  /** Called with the number of each window that is reported. */
  onReport: (window: number, holder: string) => void = () => undefined;

  constructor(recorder: Recorder) {
    this.#recorder = recorder;
    this.#server = createServer((request, response) => {
      void this.#receive(request, response);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  get windows(): number {
    return this.#accepted.size;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await receiveBody(request);
    const holder = String(request.headers['lease-holder']);
    const token = String(request.headers['fencing-token']);
    const text = body?.toString() ?? '';
    this.#recorder.add('platform', request.url ?? '', 'holder', holder, 'token', token, text);
    if (request.url === '/usage') {
      this.acts.push({ at: this.#recorder.nowMs, holder, token: Number(token) });
    }
    if (request.url === '/usage') this.#accept(JSON.parse(text) as UsageReport, holder);
    response.writeHead(200).end();
  }

  #accept({ window_seq: window, counts }: UsageReport, holder: string): void {
    const reported = JSON.stringify(Object.entries(counts).toSorted());
    const known = this.#accepted.get(window);
    if (known !== undefined && known !== reported) {
      this.conflicts.push(`window ${window}: ${known}, then ${reported} from ${holder}`);
    }
    this.#accepted.set(window, reported);
    this.onReport(window, holder);
  }
}
