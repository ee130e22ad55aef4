import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Request received by a scripted runner. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly id: string;
}

type Script = (socket: Socket, request: ReceivedRequest, index: number) => void;

const HEAD_END = '\r\n\r\n';

/** Test runner whose responses are written as raw bytes by a script. */
export class ScriptedRunner {
  readonly received: ReceivedRequest[] = [];
  readonly closed: string[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(script: Script) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      let pending = '';
      let current = '';
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#sockets.delete(socket);
        this.closed.push(current);
      });
      socket.on('data', (bytes) => {
        pending += bytes.toString('latin1');
        for (;;) {
          const end = pending.indexOf(HEAD_END);
          if (end < 0) return;
          const head = pending.slice(0, end);
          const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
          if (pending.length < end + HEAD_END.length + length) return;
          const body = pending.slice(end + HEAD_END.length, end + HEAD_END.length + length);
          pending = pending.slice(end + HEAD_END.length + length);
          current = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
          const request = { head, body, id: current };
          this.received.push(request);
          script(socket, request, this.received.length - 1);
        }
      });
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
