import type { Closeable } from '@ragwortrudder/core';
import * as z from 'zod';
import { UnknownName } from '../errors/unknown-name.ts';
import { LinkFault } from '../types/link-fault.ts';
import type { LinkReport } from '../types/link-report.ts';
import type { RelayLink } from '../types/relay-link.ts';
import { HttpServer } from './http-server.ts';
import { parseBody } from './parse-body.ts';
import { RelayListener } from './relay-listener.ts';

const ALL_LINKS = '*';
const linkFaultsSchema = z.object({ faults: z.array(LinkFault) });

/** TCP relay with links that can be cut, frozen or delayed. */
export class Relay implements Closeable {
  readonly #server = new HttpServer('relay');
  readonly #links: ReadonlyMap<string, RelayListener>;

  constructor(links: readonly RelayLink[]) {
    this.#links = new Map(links.map((link) => [link.name, new RelayListener(link)]));
    this.#server.get('/control/links', () => ({ status: 200, body: { links: this.links() } }));
    this.#server.post('/control/links', async (call) => {
      for (const fault of parseBody(linkFaultsSchema, call.body).faults) await this.setFault(fault);
      return { status: 200, body: { links: this.links() } };
    });
  }

  get port(): number {
    return this.#server.port;
  }

  /** State of every link. */
  links(): readonly LinkReport[] {
    return [...this.#links.values()].map(({ name, port, mode, accepted, lostBytes }) => {
      return { name, port, mode, accepted, lostBytes };
    });
  }

  async setFault(fault: LinkFault): Promise<void> {
    const found = [...this.#links.values()].filter(
      (link) => fault.name === ALL_LINKS || link.name === fault.name,
    );
    if (found.length === 0) throw new UnknownName(fault.name);
    for (const link of found) await link.setMode(fault.mode, fault.delayMs ?? 0);
  }

  async listen(host = '127.0.0.1', port = 0): Promise<void> {
    for (const link of this.#links.values()) await link.listen();
    await this.#server.listen(host, port);
  }

  async drain(graceMs: number): Promise<void> {
    await this.#server.drain(graceMs);
    await this.close();
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.close()));
    await this.#server.close();
  }
}
